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

// readSource is the source of the answer to a read of a batch job.
type readSource int

const (
	// sourceLocal: this node had the records already.
	sourceLocal readSource = iota
	// sourceCoordinator: the coordinator was asked.
	sourceCoordinator
	// sourceStore: this node read the store.
	sourceStore
)

// String implements fmt.Stringer.
func (s readSource) String() string { return [...]string{"known", "coordinator", "store"}[s] }

const (
	// followTimeout bounds the time that the coordinator waits until its followed partitions hold
	// what a read asks for. New records arrive within some milliseconds; a coordinator that has
	// just taken over reads all partitions first.
	followTimeout = 500 * time.Millisecond
	// forwardTimeout is how long a node waits for the coordinator's answer, in addition to a long
	// poll: followTimeout, the round trip, and the delays of a node that has a fifth of a core.
	// Callers wait 1.5 s.
	forwardTimeout = 750 * time.Millisecond
	// forwardBackoff is the time for which a coordinator that didn't answer isn't asked again.
	forwardBackoff = time.Second
	// coordinatorWait is how long a read waits until a coordinator is known.
	coordinatorWait = 400 * time.Millisecond
	// maxPageBytes limits the texts in one answer of the coordinator, which is also the page size
	// that callers see.
	maxPageBytes = 700 << 10
	// noCoordinatorTimeout is how long there must be no coordinator before a node searches whole
	// partitions for jobs that aren't in the index. With a shorter time, hundreds of nodes would
	// read the same partitions at once as the next coordinator.
	noCoordinatorTimeout = 4 * time.Second
)

// jobReadRouter answers reads of batch jobs: from local records, else from the coordinator, which
// follows all partitions, else from the store.
type jobReadRouter struct {
	jobLogs *joblog.Logs
	observe func(readSource)
	// observeMisread is called for each answer of a coordinator that didn't understand the
	// request.
	observeMisread func()
	logger         *zap.Logger

	mutex sync.Mutex
	// coordinator is the internal address of the coordinator, empty while unknown.
	coordinator string
	// leading is true while this node is the coordinator.
	leading bool
	// changed is closed and replaced when coordinator or leading changes.
	changed chan struct{}
	// failedAt is when the coordinator last failed to answer; zero after an answer.
	failedAt time.Time
	// seenAt is when a coordinator was last known and, if it was called, answered.
	seenAt time.Time
	// misreadBy is the address of the coordinator that last didn't understand a request.
	misreadBy string
}

var _ jobread.Reader = (*jobReadRouter)(nil)

func newJobReadRouter(jobs *joblog.Logs, observe func(readSource), observeMisread func(), logger *zap.Logger) *jobReadRouter {
	return &jobReadRouter{jobLogs: jobs, observe: observe, observeMisread: observeMisread, logger: logger, changed: make(chan struct{}), seenAt: clock.Now()}
}

// observeCoordinator records whether this node is the coordinator, and the address of another one,
// empty if unknown.
func (r *jobReadRouter) observeCoordinator(leading bool, address string) {
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

// awaitForwardTarget returns the address to which a read is forwarded, empty for none. It waits up
// to coordinatorWait until a coordinator is known.
func (r *jobReadRouter) awaitForwardTarget(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, coordinatorWait)
	defer cancel()
	for {
		r.mutex.Lock()
		known, changed := r.leading || r.coordinator != "", r.changed
		r.mutex.Unlock()
		if known {
			return r.forwardTarget()
		}
		select {
		case <-ctx.Done():
			return ""
		case <-changed:
		}
	}
}

// forwardTarget returns the address of another node that is the coordinator, empty if there is none
// or if it failed to answer within forwardBackoff.
func (r *jobReadRouter) forwardTarget() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leading || clock.Since(r.failedAt) < forwardBackoff {
		return ""
	}
	return r.coordinator
}

// mayReadWholePartition reports whether this node searches a whole partition for a job that isn't
// in the index: as the coordinator, or if there has been none for noCoordinatorTimeout.
func (r *jobReadRouter) mayReadWholePartition() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leading || clock.Since(r.seenAt) > noCoordinatorTimeout
}

// callCoordinator calls the coordinator at an address and records whether it answered.
func (r *jobReadRouter) callCoordinator(ctx context.Context, address, jobID string, timeout time.Duration, call func(context.Context) error) (answered bool) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(bounded)
	if ctx.Err() == nil {
		// If the caller has cancelled, the error says nothing about the coordinator.
		r.recordAnswer(address, jobID, err)
	}
	return err == nil
}

// recordAnswer records the result of a call to the coordinator.
func (r *jobReadRouter) recordAnswer(address, jobID string, err error) {
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

// results returns a job's results from a position on. If there are none yet, it polls for up to
// wait.
func (r *jobReadRouter) results(ctx context.Context, job batch.JobKey, from int, wait time.Duration) (total int, results []batch.Result, verdict Verdict) {
	source := sourceLocal
	page := r.localResults(job, from)
	if page.Verdict == jobread.Found {
		page = r.awaitLocalResults(ctx, job, from, wait, page)
	} else if page = r.forwardResults(ctx, job, from, wait); page.Verdict != jobread.NotFollowed {
		source = sourceCoordinator
	} else {
		source = sourceStore
		page = r.awaitLocalResults(ctx, job, from, wait, r.storedResults(ctx, job, from))
	}
	r.observe(source)
	if page.Verdict == jobread.Absent {
		// Logged so that a wrong answer about an accepted job can be traced to its source.
		r.logger.Info("job absent", zap.String("job", job.ID), zap.Stringer("source", source), zap.String("coordinator", r.forwardTarget()))
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

// forwardResults asks the coordinator, if one is known. It first asks without a wait, so that a
// dead coordinator is noticed early, and then again as a long poll.
func (r *jobReadRouter) forwardResults(ctx context.Context, job batch.JobKey, from int, wait time.Duration) jobread.Results {
	address := r.awaitForwardTarget(ctx)
	if address == "" {
		return jobread.Results{}
	}
	request := jobread.ResultsRequest{Job: job, From: from, MostBytes: maxPageBytes}
	askedAt := clock.Now()
	page := r.callResults(ctx, address, request)
	if page.Verdict != jobread.Found || len(page.Results) > 0 || page.Ended || wait <= 0 {
		return page
	}
	request.Wait = wait
	held := r.callResults(ctx, address, request)
	if held.Verdict != jobread.Found && clock.Since(askedAt) < joblog.MaxStaleness {
		return page
	}
	return held // the page from before the long poll is too old
}

func (r *jobReadRouter) callResults(ctx context.Context, address string, request jobread.ResultsRequest) (page jobread.Results) {
	answered := r.callCoordinator(ctx, address, request.Job.ID, request.Wait+forwardTimeout, func(ctx context.Context) (err error) {
		page, err = jobread.RequestResults(ctx, address, request)
		return err
	})
	if !answered || !r.understood(address, request.Job, page.Job, page.Verdict) {
		return jobread.Results{}
	}
	return page
}

// understood reports whether the coordinator's answer refers to the job that was asked for. If not,
// the caller reads the store instead.
func (r *jobReadRouter) understood(address string, asked, answered batch.JobKey, verdict jobread.Verdict) bool {
	if jobread.Conclusive(asked, answered, verdict) {
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

// awaitLocalResults waits, for a page without results, until this node's own records have one.
func (r *jobReadRouter) awaitLocalResults(ctx context.Context, job batch.JobKey, from int, wait time.Duration, page jobread.Results) jobread.Results {
	if page.Verdict != jobread.Found || len(page.Results) > 0 || page.Ended || wait <= 0 {
		return page
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	r.jobLogs.WaitFor(waiting, job.ID, from)
	cancel()
	return r.storedResults(ctx, job, from)
}

// localResults returns a job's results from local records, if these suffice.
func (r *jobReadRouter) localResults(job batch.JobKey, from int) (page jobread.Results) {
	r.jobLogs.ViewCached(job.ID, joblog.HasPosition(from), func(state *batch.State) { page = resultsPage(state, job, from) })
	return page
}

// storedResults reads a job's results from the store.
func (r *jobReadRouter) storedResults(ctx context.Context, job batch.JobKey, from int) (page jobread.Results) {
	err := r.view(ctx, job.ID, joblog.HasPosition(from), func(state *batch.State) { page = resultsPage(state, job, from) })
	if err != nil {
		r.logger.Warn("batch job not read", zap.String("job", job.ID), zap.Error(err))
		return jobread.Results{Verdict: jobread.Behind}
	}
	return page
}

// view reads a job from the store. It reads only the job's own records, as the index has them,
// unless this node may read the whole partition.
func (r *jobReadRouter) view(ctx context.Context, jobID string, condition joblog.Condition, visit func(*batch.State)) error {
	if r.mayReadWholePartition() {
		return r.jobLogs.View(ctx, jobID, condition, visit)
	}
	return r.jobLogs.ViewIndexed(ctx, jobID, condition, visit)
}

// resultsPage returns a job's results from a position on; state is nil if the job doesn't exist. A
// job of another tenant is reported as absent.
func resultsPage(state *batch.State, job batch.JobKey, from int) jobread.Results {
	if state == nil || !state.Matches(job) {
		return jobread.Results{Verdict: jobread.Absent}
	}
	return jobread.Results{
		Verdict: jobread.Found, Total: state.Total(), Ended: state.Ended,
		Results: state.Results[min(from, len(state.Results)):],
	}
}

// FollowedResults implements jobread.Reader.
func (r *jobReadRouter) FollowedResults(request jobread.ResultsRequest) (page jobread.Results) {
	if request.Wait > 0 {
		waiting, cancel := context.WithTimeout(context.Background(), request.Wait)
		r.jobLogs.WaitFor(waiting, request.Job.ID, request.From)
		cancel()
	}
	err := r.viewFollowed(request.Job.ID, joblog.HasPosition(request.From), func(state *batch.State) {
		page = resultsPage(state, request.Job, request.From)
	})
	if err != nil {
		return jobread.Results{Verdict: verdictOfError(err)}
	}
	page.Results = limitResults(page.Results, request.MostBytes)
	return page
}

func (r *jobReadRouter) viewFollowed(jobID string, condition joblog.Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	return r.jobLogs.ViewFollowed(ctx, jobID, condition, visit)
}

func verdictOfError(err error) jobread.Verdict {
	if errors.Is(err, joblog.ErrNotFollowed) {
		return jobread.NotFollowed
	}
	return jobread.Behind
}

// limitResults returns the first results whose texts have at most maxBytes in all, and at least one
// result.
func limitResults(results []batch.Result, maxBytes int) []batch.Result {
	size := 0
	for i, result := range results {
		size += len(result.Text)
		if i > 0 && size > maxBytes {
			return results[:i]
		}
	}
	return results
}

// itemBody returns the body of an item that has no result yet.
func (r *jobReadRouter) itemBody(ctx context.Context, job batch.JobKey, itemID string) ([]byte, Verdict) {
	body, source := jobread.Body{}, sourceLocal
	if known := r.jobLogs.ViewCached(job.ID, joblog.HasItem(itemID), func(state *batch.State) { body = lookupBody(state, job, itemID) }); !known {
		if body = r.forwardBody(ctx, job, itemID); body.Verdict != jobread.NotFollowed {
			source = sourceCoordinator
		} else {
			source = sourceStore
			body = r.storedBody(ctx, job, itemID)
		}
	}
	r.observe(source)
	return body.Bytes, verdictOf(body.Verdict)
}

// forwardBody asks the coordinator for a body, if one is known.
func (r *jobReadRouter) forwardBody(ctx context.Context, job batch.JobKey, itemID string) (body jobread.Body) {
	address := r.awaitForwardTarget(ctx)
	if address == "" {
		return jobread.Body{}
	}
	answered := r.callCoordinator(ctx, address, job.ID, forwardTimeout, func(ctx context.Context) (err error) {
		body, err = jobread.RequestBody(ctx, address, jobread.BodyRequest{Job: job, ItemID: itemID})
		return err
	})
	if !answered || !r.understood(address, job, body.Job, body.Verdict) {
		return jobread.Body{}
	}
	return body
}

func (r *jobReadRouter) storedBody(ctx context.Context, job batch.JobKey, itemID string) (body jobread.Body) {
	err := r.view(ctx, job.ID, joblog.HasItem(itemID), func(state *batch.State) { body = lookupBody(state, job, itemID) })
	if err != nil {
		r.logger.Warn("item not read", zap.String("job", job.ID), zap.String("item", itemID), zap.Error(err))
		return jobread.Body{Verdict: jobread.Behind}
	}
	return body
}

// lookupBody returns the body of a job's item; state is nil if the job doesn't exist.
func lookupBody(state *batch.State, job batch.JobKey, itemID string) jobread.Body {
	if state == nil || !state.Matches(job) || state.Item(itemID) == nil || state.HasResult(itemID) {
		return jobread.Body{Verdict: jobread.Absent}
	}
	return jobread.Body{Verdict: jobread.Found, Bytes: state.Item(itemID).Body}
}

// FollowedBody implements jobread.Reader.
func (r *jobReadRouter) FollowedBody(request jobread.BodyRequest) (body jobread.Body) {
	err := r.viewFollowed(request.Job.ID, joblog.HasItem(request.ItemID), func(state *batch.State) {
		body = lookupBody(state, request.Job, request.ItemID)
	})
	if err != nil {
		return jobread.Body{Verdict: verdictOfError(err)}
	}
	return body
}
