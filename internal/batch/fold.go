package batch

import "encoding/json"

// State is what the log says of one job.
type State struct {
	Job *Job
	// Results stand in the order of the log; a result's index is its position.
	Results []Result
	Ended   bool
	// Start is the offset of the job's first record in its partition, where the reader
	// of the partition has noted it.
	Start int64

	listed map[string]bool
	items  map[string]*Item
	total  int
}

// Is says whether a name is that of the job.
func (s *State) Is(name Name) bool { return s.Job.ID == name.ID && s.Job.Tenant == name.Tenant }

// Listed says whether an item has a result.
func (s *State) Listed(itemID string) bool { return s.listed[itemID] }

// Item returns an item of the job, or nil.
func (s *State) Item(itemID string) *Item { return s.items[itemID] }

// Total returns the number of the job's items.
func (s *State) Total() int { return s.total }

// Change is what one record did. One field is set; none when the record was void.
type Change struct {
	// Accepted is a job that was not known before.
	Accepted *State
	// Listed is a result that took a position in State.
	Listed *Result
	State  *State
	// Ended is a job that was open.
	Ended *State
}

// Fold turns the records of one partition, in order, into states of jobs.
type Fold struct {
	jobs      map[string]*State
	assembler assembler
}

// NewFold returns the state of an empty partition.
func NewFold() *Fold { return &Fold{jobs: make(map[string]*State)} }

// NewJobFold returns the state of an empty partition of which only one job is wanted: messages
// that do not name it are not decoded.
func NewJobFold(jobID string) *Fold {
	fold := NewFold()
	if marker, err := json.Marshal(jobID); err == nil {
		// Each message names its job in its first fields.
		fold.assembler.marker = marker
	}
	return fold
}

// Job returns the state of a job, or nil.
func (f *Fold) Job(id string) *State { return f.jobs[id] }

// Drop forgets a job.
func (f *Fold) Drop(id string) { delete(f.jobs, id) }

// Jobs calls visit for each job, in no order.
func (f *Fold) Jobs(visit func(*State)) {
	for _, state := range f.jobs {
		visit(state)
	}
}

// Between says that the last record was the end of a message, so that the next one is a
// beginning.
func (f *Fold) Between() bool { return len(f.assembler.pending) == 0 }

// Apply takes the next record. Of several records that accept one job, or list
// one item, the first counts and the others are void,
// and so are results that come after the end of their job.
func (f *Fold) Apply(record []byte) (Change, error) {
	decoded, err := f.assembler.add(record)
	if err != nil || decoded == nil {
		return Change{}, err
	}
	switch {
	case decoded.Job != nil:
		return f.accept(decoded.Job), nil
	case decoded.Result != nil:
		return f.list(decoded.Result), nil
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
		Job:    job,
		listed: make(map[string]bool, len(job.Items)),
		items:  make(map[string]*Item, len(job.Items)),
		total:  len(job.Items),
	}
	for i := range job.Items {
		state.items[job.Items[i].ID] = &job.Items[i]
	}
	f.jobs[job.ID] = state
	return Change{Accepted: state}
}

func (f *Fold) list(result *Result) Change {
	state := f.jobs[result.JobID]
	if state == nil || state.Ended || state.listed[result.ItemID] || state.items[result.ItemID] == nil {
		return Change{}
	}
	state.listed[result.ItemID] = true
	state.Results = append(state.Results, *result)
	return Change{Listed: result, State: state}
}

func (f *Fold) end(end *End) Change {
	state := f.jobs[end.JobID]
	if state == nil || state.Ended || state.Job.Tenant != end.Tenant {
		return Change{}
	}
	state.Ended = true
	// Items are not asked for after the end. The job is copied, since others may
	// still hold the one that was accepted.
	closed := *state.Job
	closed.Items = nil
	state.Job = &closed
	state.items = nil
	return Change{Ended: state}
}
