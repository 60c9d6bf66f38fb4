package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/drain"
	"dalehook/internal/gateway"
	"dalehook/internal/routetable"
	"dalehook/internal/store"
)

// Verdict is the answer to a call about a batch job.
type Verdict int

// The verdicts.
const (
	// VerdictDone: the call was carried out.
	VerdictDone Verdict = iota
	// VerdictRefused: the call was not and will not be carried out.
	VerdictRefused
	// VerdictUnknown: the call may have been carried out.
	VerdictUnknown
	// VerdictAbsent: there is no such job or item.
	VerdictAbsent
	// VerdictKeyUnknown: the caller bears no key that is known.
	VerdictKeyUnknown
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"done", "refused", "unknown", "absent", "key unknown"}[v]
}

const (
	// appendTimeout bounds one append for a caller.
	appendTimeout = 700 * time.Millisecond
	// appendTries bounds the appends for one call. Records of a job may stand
	// twice in the log; the second copies are void.
	appendTries = 3
)

// Table returns the configuration in force, or nil.
func (n *Node) Table() *routetable.Table { return n.table.Load() }

// storeSilence is the time without an answer of the store after which a node asks
// for no new connections: others may still reach the store.
const storeSilence = 2 * time.Second

// quarantineWait is how long a node that starts takes no callers for want of what others know of
// requests that crash servers: their part of the store may be away alone. It is about what nodes
// have to tell each other anyway.
const quarantineWait = 2 * time.Second

// Ready says whether new connections are wanted.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.table.Load() == nil || !n.servers.Complete() {
		return false
	}
	if !n.quarantine.Loaded() && clock.Since(n.startedAt) < quarantineWait {
		return false
	}
	return n.storeSilentFor() < storeSilence
}

// storeSilentFor returns the time since the store answered this node: what the newest configuration is, or, where the
// coordinator tells that and this node does not ask, anything.
func (n *Node) storeSilentFor() time.Duration {
	now := clock.Now()
	asked := n.operatorReadAt.age(now)
	if !n.operatorGuide.Told() {
		return asked
	}
	return min(asked, n.storeAnsweredAt.age(now))
}

// observeStore takes the end of a call to the store.
func (n *Node) observeStore(call string, status int, took time.Duration) {
	n.metrics.observeStore(call, status, took)
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		n.storeAnsweredAt.advance(clock.Now())
	}
}

// Serve answers a single request.
func (n *Node) Serve(ctx context.Context, w http.ResponseWriter, table *routetable.Table, route *routetable.Route, request *gateway.Request) {
	n.gateway.Serve(ctx, w, table, route, request)
}

// Submit accepts a batch job: it is done when the store holds the whole job.
func (n *Node) Submit(ctx context.Context, job *batch.Job) Verdict {
	records, err := batch.EncodeJob(job)
	if err != nil {
		n.logger.Error("batch job not encoded", zap.String("job", job.ID), zap.Error(err))
		return VerdictRefused
	}
	verdict := n.append(ctx, job.ID, records)
	n.metrics.observeJobCall("submit", verdict)
	n.logger.Info("batch job submitted", zap.String("job", job.ID), zap.String("model", job.Model), zap.Int("step", job.Step),
		zap.Int("items", len(job.Items)), zap.Int("wanted_groups", job.WantedGroups), zap.Int64("minimum", job.MinVersion), zap.Stringer("verdict", verdict))
	return verdict
}

// End closes a batch job.
func (n *Node) End(ctx context.Context, job batch.JobKey) Verdict {
	records, err := batch.EncodeEnd(&batch.End{JobID: job.ID, Tenant: job.Tenant})
	if err != nil {
		return VerdictRefused
	}
	verdict := n.append(ctx, job.ID, records)
	n.metrics.observeJobCall("end", verdict)
	n.logger.Info("batch job ended", zap.String("job", job.ID), zap.Stringer("verdict", verdict))
	return verdict
}

func (n *Node) append(ctx context.Context, jobID string, records [][]byte) Verdict {
	verdict := VerdictRefused
	for range appendTries {
		err := n.appendOnce(ctx, jobID, records)
		if err == nil {
			return VerdictDone
		}
		n.logger.Warn("append failed", zap.String("job", jobID), zap.Error(err))
		if !errors.Is(err, store.ErrRefused) {
			verdict = VerdictUnknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	return verdict
}

// appendOnce appends for a caller, also for one that has left. Where this node has no more time it ends, so that the
// caller is answered.
func (n *Node) appendOnce(ctx context.Context, jobID string, records [][]byte) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), drain.ErrTimeUp) {
			cancel()
		}
	})
	defer stop()
	return n.jobs.Append(call, jobID, records)
}

// Results returns the results of a batch job from a position on.
func (n *Node) Results(ctx context.Context, job batch.JobKey, from int, wait time.Duration) (total int, results []batch.Result, verdict Verdict) {
	return n.jobReader.results(ctx, job, from, wait)
}

// ItemBody returns the body of an item that has no result yet.
func (n *Node) ItemBody(ctx context.Context, job batch.JobKey, itemID string) (body []byte, verdict Verdict) {
	return n.jobReader.itemBody(ctx, job, itemID)
}
