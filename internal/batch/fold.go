package batch

import "encoding/json"

// State is the state of one job according to the log.
type State struct {
	Job *Job
	// Results are in the order of the log. The index of a result is its position, which never
	// changes.
	Results []Result
	Ended   bool
	// Start is the offset of the job's first record in its partition, if the reader of the
	// partition has set it.
	Start int64

	withResult map[string]bool
	items      map[string]*Item
	total      int
}

// Matches reports whether the key is that of the job.
func (s *State) Matches(key JobKey) bool { return s.Job.ID == key.ID && s.Job.Tenant == key.Tenant }

// HasResult reports whether an item has a result.
func (s *State) HasResult(itemID string) bool { return s.withResult[itemID] }

// Item returns an item of the job, or nil.
func (s *State) Item(itemID string) *Item { return s.items[itemID] }

// Total returns the number of items in the job.
func (s *State) Total() int { return s.total }

// Change is the effect of one record. All fields are nil if the record was ignored.
type Change struct {
	// Accepted is a newly accepted job.
	Accepted *State
	// Result is a result that was added to State.
	Result *Result
	State  *State
	// Ended is a job that was open before the record.
	Ended *State
}

// Fold builds the states of jobs from the records of one partition, in order.
type Fold struct {
	jobs      map[string]*State
	assembler assembler
}

// NewFold returns a Fold for an empty partition.
func NewFold() *Fold { return &Fold{jobs: make(map[string]*State)} }

// NewJobFold returns a Fold that only tracks one job. Messages that do not contain its ID are not
// decoded.
func NewJobFold(jobID string) *Fold {
	fold := NewFold()
	if marker, err := json.Marshal(jobID); err == nil {
		// Each message contains the ID of its job in its first fields.
		fold.assembler.marker = marker
	}
	return fold
}

// Job returns the state of a job, or nil.
func (f *Fold) Job(id string) *State { return f.jobs[id] }

// Drop removes a job.
func (f *Fold) Drop(id string) { delete(f.jobs, id) }

// Jobs calls visit for each job, in unspecified order.
func (f *Fold) Jobs(visit func(*State)) {
	for _, state := range f.jobs {
		visit(state)
	}
}

// AtMessageBoundary reports whether the last record completed a message, so that the next record
// starts one.
func (f *Fold) AtMessageBoundary() bool { return len(f.assembler.pending) == 0 }

// Apply processes the next record. Of several records that accept the same job or hold a result of
// the same item, only the first counts. Results after the end of their job are ignored.
func (f *Fold) Apply(record []byte) (Change, error) {
	decoded, err := f.assembler.add(record)
	if err != nil || decoded == nil {
		return Change{}, err
	}
	switch {
	case decoded.Job != nil:
		return f.accept(decoded.Job), nil
	case decoded.Result != nil:
		return f.addResult(decoded.Result), nil
	case decoded.End != nil:
		return f.end(decoded.End), nil
	}
	return Change{}, nil
}

func (f *Fold) accept(job *Job) Change {
	if f.jobs[job.ID] != nil {
		return Change{}
	}
	state := &State{
		Job:        job,
		withResult: make(map[string]bool, len(job.Items)),
		items:      make(map[string]*Item, len(job.Items)),
		total:      len(job.Items),
	}
	for i := range job.Items {
		state.items[job.Items[i].ID] = &job.Items[i]
	}
	f.jobs[job.ID] = state
	return Change{Accepted: state}
}

func (f *Fold) addResult(result *Result) Change {
	state := f.jobs[result.JobID]
	if state == nil || state.Ended || state.withResult[result.ItemID] || state.items[result.ItemID] == nil {
		return Change{}
	}
	state.withResult[result.ItemID] = true
	state.Results = append(state.Results, *result)
	return Change{Result: result, State: state}
}

func (f *Fold) end(end *End) Change {
	state := f.jobs[end.JobID]
	if state == nil || state.Ended || state.Job.Tenant != end.Tenant {
		return Change{}
	}
	state.Ended = true
	// Items are not needed after the end. The job is copied, since the accepted one may still be
	// in use elsewhere.
	closed := *state.Job
	closed.Items = nil
	state.Job = &closed
	state.items = nil
	return Change{Ended: state}
}
