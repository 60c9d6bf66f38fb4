package batch

import "encoding/json"

// State is the state of one job according to the log.
type State struct {
	Job *Job
	// Results are in the order of the log. The index of a result is its position, which never
	// changes.
	Results []Result
	Ended   bool
	// EndedFirst is true if the end was read before the job, which has then never been open.
	EndedFirst bool
	// Start is the offset from which a reader finds the whole job: that of its first record or, if its
	// end came first, that of the end. It is 0 if the reader of the partition has not set it.
	Start int64

	withResult map[string]bool
	items      map[string]*Item
	total      int
	// memory is that of the job while its items are held.
	memory int64
}

// Matches reports whether the key is that of the job.
func (s *State) Matches(key JobKey) bool { return s.Job.ID == key.ID && s.Job.Tenant == key.Tenant }

// HasResult reports whether an item has a result.
func (s *State) HasResult(itemID string) bool { return s.withResult[itemID] }

// Item returns an item of the job, or nil.
func (s *State) Item(itemID string) *Item { return s.items[itemID] }

// Complete reports whether each item has a result, or whether the job has ended: its items are not held any more.
func (s *State) Complete() bool { return s.Ended || len(s.Results) == s.total }

// Total returns the number of items in the job.
func (s *State) Total() int { return s.total }

// Change is the effect of one record. All fields are nil if the record was ignored.
type Change struct {
	// Accepted is a newly accepted job. It has already ended if its end was read before it.
	Accepted *State
	// Result is a result that was added to State.
	Result *Result
	State  *State
	// Ended is a job that was open before the record.
	Ended *State
	// EarlyEnd is the end of a job that has not been read.
	EarlyEnd *EarlyEnd
}

// Fold builds the states of jobs from the records of one partition, in order.
type Fold struct {
	jobs map[string]*State
	// earlyEnds holds the ends that were read before their jobs.
	earlyEnds *EarlyEnds
	assembler assembler
	// memory is that of the jobs whose items are held.
	memory int64
}

// NewFold returns a Fold for an empty partition.
func NewFold() *Fold { return &Fold{jobs: make(map[string]*State), earlyEnds: NewEarlyEnds()} }

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
func (f *Fold) Drop(id string) {
	if state := f.jobs[id]; state != nil {
		f.release(state)
	}
	delete(f.jobs, id)
}

// Memory returns the memory of the jobs whose items are held, in bytes: those that are open and not complete.
func (f *Fold) Memory() int64 { return f.memory }

// Jobs calls visit for each job, in unspecified order.
func (f *Fold) Jobs(visit func(*State)) {
	for _, state := range f.jobs {
		visit(state)
	}
}

// RememberEnd adds an early end that stands before the first record of this fold.
func (f *Fold) RememberEnd(end EarlyEnd) { f.earlyEnds.Add(&end) }

// ForgetEnd drops an early end.
func (f *Fold) ForgetEnd(key JobKey) { f.earlyEnds.Take(key) }

// DropEndsBefore forgets the early ends that stand before an offset, for a reader that sets their offsets.
func (f *Fold) DropEndsBefore(offset int64) { f.earlyEnds.DropBefore(offset) }

// EarlyEnds calls visit for each end whose job has not been read, in the order of the log.
func (f *Fold) EarlyEnds(visit func(*EarlyEnd)) { f.earlyEnds.All(visit) }

// AtMessageBoundary reports whether the last record completed a message, so that the next record
// starts one.
func (f *Fold) AtMessageBoundary() bool { return len(f.assembler.pending) == 0 }

// Apply processes the next record. Of several records that accept the same job or hold a result of
// the same item, only the first counts. Results after the end of their job are ignored. An end counts
// wherever it stands: a job that comes after its end, of the same tenant, is accepted as ended.
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
	if early := f.earlyEnds.Take(JobKey{Tenant: job.Tenant, ID: job.ID}); early != nil {
		state.Start = early.Offset
		state.EndedFirst = true
		state.Ended = true
		state.releaseItems()
	}
	state.memory = state.Job.Memory()
	f.memory += state.memory
	return Change{Accepted: state}
}

func (f *Fold) addResult(result *Result) Change {
	state := f.jobs[result.JobID]
	if state == nil || state.Ended || state.withResult[result.ItemID] || state.items[result.ItemID] == nil {
		return Change{}
	}
	state.withResult[result.ItemID] = true
	state.Results = append(state.Results, *result)
	if state.Complete() {
		f.release(state)
	}
	return Change{Result: result, State: state}
}

func (f *Fold) end(end *End) Change {
	state := f.jobs[end.JobID]
	if state == nil {
		return f.endEarly(end)
	}
	if state.Ended || state.Job.Tenant != end.Tenant {
		return Change{}
	}
	state.Ended = true
	f.release(state)
	return Change{Ended: state}
}

// release drops the items of a job that is complete.
func (f *Fold) release(state *State) {
	f.memory -= state.memory
	state.memory = 0
	state.releaseItems()
}

// endEarly remembers an end whose job has not been read.
func (f *Fold) endEarly(end *End) Change {
	early := &EarlyEnd{Key: JobKey{Tenant: end.Tenant, ID: end.JobID}}
	if !f.earlyEnds.Add(early) {
		return Change{}
	}
	return Change{EarlyEnd: early}
}

// releaseItems drops the items, which are not needed any more. The job is copied, since the accepted one may still be in
// use elsewhere.
func (s *State) releaseItems() {
	released := *s.Job
	released.Items = nil
	s.Job = &released
	s.items = nil
}
