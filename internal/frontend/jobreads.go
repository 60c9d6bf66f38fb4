package frontend

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/joblog"
	"dalehook/internal/jobread"
)

// readSource is where the answer to a read of a job was looked for last.
type readSource int

const (
	// sourceKnown: this node had read it already.
	sourceKnown readSource = iota
	// sourceCoordinator: the coordinator was asked.
	sourceCoordinator
	// sourceStore: this node read the store for it.
	sourceStore
)

// String implements fmt.Stringer.
func (s readSource) String() string { return [...]string{"known", "coordinator", "store"}[s] }

const (
	// followedPatience is how long the coordinator waits for its own reading to bring what
	// a read asks for. What was appended just now is read within some ms; a coordinator
	// that has taken over reads all partitions first.
	followedPatience = 500 * time.Millisecond
	// passOnPatience is how long a node waits for the coordinator's answer, beyond what the
	// answer may be held: followedPatience, the way, and the time of a node with a fifth of
	// a core. Callers wait 1.5 s.
	passOnPatience = 750 * time.Millisecond
	// passOnPause is how long a node asks a coordinator no more that did not answer.
	passOnPause = time.Second
	// successorPatience is how long a read waits for a coordinator to be known.
	successorPatience = 400 * time.Millisecond
	// passOnBytes bounds the texts of an answer. Callers get pages of this size.
	passOnBytes = 700 << 10
	// takeOverTime is how long a fleet may be without a coordinator until nodes look for
	// jobs that the index does not hold in whole partitions. Sooner, hundreds of nodes
	// would read at once what the next coordinator needs to read.
	takeOverTime = 4 * time.Second
)

// jobReader answers reads of batch jobs: from what this node knows, else from the
// coordinator, which follows all partitions, else from the store.
type jobReader struct {
	jobs    *joblog.Logs
	observe func(readSource)
	// observeMisread is told of each answer of a coordinator that did not understand the question.
	observeMisread func()
	logger         *zap.Logger

	mutex sync.Mutex
	// coordinator is where the coordinator answers; empty when nothing certain is known.
	coordinator string
	// leading says that this node coordinates.
	leading bool
	// changed is closed and replaced when either of these changes.
	changed chan struct{}
	// failedAt is when the coordinator last did not answer.
	failedAt time.Time
	// seenAt is when a coordinator was last known and answered, if it was asked.
	seenAt time.Time
	// misreadBy is the coordinator that last did not understand a question.
	misreadBy string
}

var _ jobread.Reader = (*jobReader)(nil)

func newJobReader(jobs *joblog.Logs, observe func(readSource), observeMisread func(), logger *zap.Logger) *jobReader {
	return &jobReader{jobs: jobs, observe: observe, observeMisread: observeMisread, logger: logger, changed: make(chan struct{}), seenAt: clock.Now()}
}

// observeCoordinator takes whether this node coordinates, and where another answers that
// does, empty when that is not known.
func (r *jobReader) observeCoordinator(leading bool, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leading != leading || r.coordinator != address {
		r.leading, r.coordinator, r.failedAt = leading, address, time.Time{}
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if leading || address != "" && r.failedAt.IsZero() {
		r.seenAt = clock.Now()
	}
}

// passOnTo returns where a read is passed on to, empty for nowhere. It waits a while for a
// coordinator to be known.
func (r *jobReader) passOnTo(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, successorPatience)
	defer cancel()
	for {
		r.mutex.Lock()
		known, changed := r.leading || r.coordinator != "", r.changed
		r.mutex.Unlock()
		if known {
			return r.answering()
		}
		select {
		case <-ctx.Done():
			return ""
		case <-changed:
		}
	}
}

// answering returns where another node coordinates that is not known to be silent; empty for
// none.
func (r *jobReader) answering() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leading || clock.Since(r.failedAt) < passOnPause {
		return ""
	}
	return r.coordinator
}

// readsWhole says whether this node reads a whole partition for a job that the index does
// not hold, since nobody else is there to do so.
func (r *jobReader) readsWhole() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leading || clock.Since(r.seenAt) > takeOverTime
}

// ask makes a call to the coordinator at an address, and notes whether it answered.
func (r *jobReader) ask(ctx context.Context, address, jobID string, patience time.Duration, call func(context.Context) error) (answered bool) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	err := call(bounded)
	if ctx.Err() == nil {
		// Else the caller has left, which says nothing of the coordinator.
		r.noteAnswer(address, jobID, err)
	}
	return err == nil
}

// noteAnswer takes whether the coordinator at an address answered.
func (r *jobReader) noteAnswer(address, jobID string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil {
		r.failedAt, r.seenAt = time.Time{}, clock.Now()
		return
	}
	if r.failedAt.IsZero() {
		r.logger.Warn("coordinator does not answer reads", zap.String("address", address), zap.String("job", jobID), zap.Error(err))
	}
	r.failedAt = clock.Now()
}

// results returns a job's results from a position on. Where there is none yet, the answer
// may be held for wait.
func (r *jobReader) results(ctx context.Context, job batch.JobKey, from int, wait time.Duration) (total int, results []batch.Result, verdict Verdict) {
	source := sourceKnown
	page := r.knownResults(job, from)
	if page.Verdict == jobread.Found {
		page = r.awaitLocally(ctx, job, from, wait, page)
	} else if page = r.passResultsOn(ctx, job, from, wait); page.Verdict != jobread.NotFollowed {
		source = sourceCoordinator
	} else {
		source = sourceStore
		page = r.awaitLocally(ctx, job, from, wait, r.storedResults(ctx, job, from))
	}
	r.observe(source)
	if page.Verdict == jobread.Absent {
		// A caller whose job was accepted asks who said that it is not there.
		r.logger.Info("job absent", zap.String("job", job.ID), zap.Stringer("source", source), zap.String("coordinator", r.answering()))
	}
	return page.Total, page.Results, verdictOf(page.Verdict)
}

func verdictOf(verdict jobread.Verdict) Verdict {
	switch verdict {
	case jobread.Found:
		return VerdictDone
	case jobread.Absent:
		return VerdictAbsent
	}
	return VerdictRefused
}

// passResultsOn asks the coordinator, if one is known: for what there is now, so that one
// that is gone is soon noticed, and once more where the answer may be held.
func (r *jobReader) passResultsOn(ctx context.Context, job batch.JobKey, from int, wait time.Duration) jobread.Results {
	address := r.passOnTo(ctx)
	if address == "" {
		return jobread.Results{}
	}
	question := jobread.ResultsQuestion{Job: job, From: from, MostBytes: passOnBytes}
	asked := clock.Now()
	page := r.askResults(ctx, address, question)
	if page.Verdict != jobread.Found || len(page.Results) > 0 || page.Ended || wait <= 0 {
		return page
	}
	question.Wait = wait
	later := r.askResults(ctx, address, question)
	if later.Verdict != jobread.Found && clock.Since(asked) < joblog.FreshFor {
		return page
	}
	return later // that there was nothing before the hold says too little by now
}

func (r *jobReader) askResults(ctx context.Context, address string, question jobread.ResultsQuestion) (page jobread.Results) {
	answered := r.ask(ctx, address, question.Job.ID, question.Wait+passOnPatience, func(ctx context.Context) (err error) {
		page, err = jobread.AskResults(ctx, address, question)
		return err
	})
	if !answered || !r.understood(address, question.Job, page.Job, page.Verdict) {
		return jobread.Results{}
	}
	return page
}

// understood says whether the coordinator at an address answered what it was asked. Where it did not, the
// store is read.
func (r *jobReader) understood(address string, asked, answered batch.JobKey, verdict jobread.Verdict) bool {
	if jobread.Understood(asked, answered, verdict) {
		return true
	}
	r.observeMisread()
	r.mutex.Lock()
	first := r.misreadBy != address
	r.misreadBy = address
	r.mutex.Unlock()
	if first {
		r.logger.Warn("coordinator does not understand reads", zap.String("address", address), zap.String("job", asked.ID))
	}
	return false
}

// awaitLocally holds a page without results until this node's own reading brings one.
func (r *jobReader) awaitLocally(ctx context.Context, job batch.JobKey, from int, wait time.Duration, page jobread.Results) jobread.Results {
	if page.Verdict != jobread.Found || len(page.Results) > 0 || page.Ended || wait <= 0 {
		return page
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	r.jobs.WaitFor(waiting, job.ID, from)
	cancel()
	return r.storedResults(ctx, job, from)
}

// knownResults returns what this node knows of a job, if that suffices.
func (r *jobReader) knownResults(job batch.JobKey, from int) (page jobread.Results) {
	r.jobs.ViewKnown(job.ID, joblog.HasPosition(from), func(state *batch.State) { page = pageOf(state, job, from) })
	return page
}

// storedResults returns what the store says of a job.
func (r *jobReader) storedResults(ctx context.Context, job batch.JobKey, from int) (page jobread.Results) {
	err := r.view(ctx, job.ID, joblog.HasPosition(from), func(state *batch.State) { page = pageOf(state, job, from) })
	if err != nil {
		r.logger.Warn("batch job not read", zap.String("job", job.ID), zap.Error(err))
		return jobread.Results{Verdict: jobread.Behind}
	}
	return page
}

// view reads the store for a job, no more of it than is the job's if others may do the rest.
func (r *jobReader) view(ctx context.Context, jobID string, satisfied joblog.Condition, visit func(*batch.State)) error {
	if r.readsWhole() {
		return r.jobs.View(ctx, jobID, satisfied, visit)
	}
	return r.jobs.ViewIndexed(ctx, jobID, satisfied, visit)
}

// pageOf returns a job's results from a position on; the state is nil for no such job. To
// other tenants a job is as if it were not there.
func pageOf(state *batch.State, job batch.JobKey, from int) jobread.Results {
	if state == nil || !state.Matches(job) {
		return jobread.Results{Verdict: jobread.Absent}
	}
	return jobread.Results{
		Verdict: jobread.Found, Total: state.Total(), Ended: state.Ended,
		Results: state.Results[min(from, len(state.Results)):],
	}
}

// FollowedResults implements jobread.Reader.
func (r *jobReader) FollowedResults(question jobread.ResultsQuestion) (page jobread.Results) {
	if question.Wait > 0 {
		waiting, cancel := context.WithTimeout(context.Background(), question.Wait)
		r.jobs.WaitFor(waiting, question.Job.ID, question.From)
		cancel()
	}
	err := r.viewFollowed(question.Job.ID, joblog.HasPosition(question.From), func(state *batch.State) {
		page = pageOf(state, question.Job, question.From)
	})
	if err != nil {
		return jobread.Results{Verdict: verdictOfError(err)}
	}
	page.Results = cutResults(page.Results, question.MostBytes)
	return page
}

func (r *jobReader) viewFollowed(jobID string, satisfied joblog.Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(context.Background(), followedPatience)
	defer cancel()
	return r.jobs.ViewFollowed(ctx, jobID, satisfied, visit)
}

func verdictOfError(err error) jobread.Verdict {
	if errors.Is(err, joblog.ErrNotFollowed) {
		return jobread.NotFollowed
	}
	return jobread.Behind
}

// cutResults returns the first results, whose texts hold no more than so many bytes, but one
// result at least.
func cutResults(results []batch.Result, most int) []batch.Result {
	size := 0
	for i, result := range results {
		size += len(result.Text)
		if i > 0 && size > most {
			return results[:i]
		}
	}
	return results
}

// itemBody returns the body of an item that has no result yet.
func (r *jobReader) itemBody(ctx context.Context, job batch.JobKey, itemID string) ([]byte, Verdict) {
	body, source := jobread.Body{}, sourceKnown
	if known := r.jobs.ViewKnown(job.ID, joblog.HasItem(itemID), func(state *batch.State) { body = bodyOf(state, job, itemID) }); !known {
		if body = r.passBodyOn(ctx, job, itemID); body.Verdict != jobread.NotFollowed {
			source = sourceCoordinator
		} else {
			source = sourceStore
			body = r.storedBody(ctx, job, itemID)
		}
	}
	r.observe(source)
	return body.Bytes, verdictOf(body.Verdict)
}

// passBodyOn asks the coordinator for a body, if one is known.
func (r *jobReader) passBodyOn(ctx context.Context, job batch.JobKey, itemID string) (body jobread.Body) {
	address := r.passOnTo(ctx)
	if address == "" {
		return jobread.Body{}
	}
	answered := r.ask(ctx, address, job.ID, passOnPatience, func(ctx context.Context) (err error) {
		body, err = jobread.AskBody(ctx, address, jobread.BodyQuestion{Job: job, ItemID: itemID})
		return err
	})
	if !answered || !r.understood(address, job, body.Job, body.Verdict) {
		return jobread.Body{}
	}
	return body
}

func (r *jobReader) storedBody(ctx context.Context, job batch.JobKey, itemID string) (body jobread.Body) {
	err := r.view(ctx, job.ID, joblog.HasItem(itemID), func(state *batch.State) { body = bodyOf(state, job, itemID) })
	if err != nil {
		r.logger.Warn("item not read", zap.String("job", job.ID), zap.String("item", itemID), zap.Error(err))
		return jobread.Body{Verdict: jobread.Behind}
	}
	return body
}

// bodyOf returns the body of a job's item; the state is nil for no such job.
func bodyOf(state *batch.State, job batch.JobKey, itemID string) jobread.Body {
	if state == nil || !state.Matches(job) || state.Item(itemID) == nil || state.HasResult(itemID) {
		return jobread.Body{Verdict: jobread.Absent}
	}
	return jobread.Body{Verdict: jobread.Found, Bytes: state.Item(itemID).Body}
}

// FollowedBody implements jobread.Reader.
func (r *jobReader) FollowedBody(question jobread.BodyQuestion) (body jobread.Body) {
	err := r.viewFollowed(question.Job.ID, joblog.HasItem(question.ItemID), func(state *batch.State) {
		body = bodyOf(state, question.Job, question.ItemID)
	})
	if err != nil {
		return jobread.Body{Verdict: verdictOfError(err)}
	}
	return body
}
