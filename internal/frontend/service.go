package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/drain"
	"dalehook/internal/gateway"
	"dalehook/internal/logs"
	"dalehook/internal/roundtrip"
	"dalehook/internal/routetable"
	"dalehook/internal/store"
	"dalehook/internal/stricthttp"
)

// Verdict is the result of a call about a batch job, or of the admission of any request.
type Verdict int

const (
	// VerdictDone: the call succeeded.
	VerdictDone Verdict = iota
	// VerdictRefused: the call has had no effect and will have none.
	VerdictRefused
	// VerdictUnknown: the call may have taken effect.
	VerdictUnknown
	// VerdictAbsent: the job or item doesn't exist.
	VerdictAbsent
	// VerdictKeyUnknown: the request has no key, or one that no tenant has.
	VerdictKeyUnknown
	// VerdictOverloaded: the call has had no effect and will have none, since too many jobs are open.
	VerdictOverloaded
	// VerdictLeaving: the call has had no effect and will have none, since the node has no time for it.
	VerdictLeaving
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"done", "refused", "unknown", "absent", "key unknown", "overloaded", "leaving"}[v]
}

const (
	// appendTimeout limits one append on behalf of a caller.
	appendTimeout = 700 * time.Millisecond
	// maxAppendAttempts limits the appends for one call. A retry may write a job's records twice;
	// readers ignore the second copies.
	maxAppendAttempts = 3
)

// Table returns the configuration in force, nil if none is.
func (n *Node) Table() *routetable.Table { return n.table.Load() }

// storeSilenceLimit is the time without an answer from the store after which a node reports itself
// as not ready: other nodes may still reach the store.
const storeSilenceLimit = 2 * time.Second

// quarantineWait is how long a starting node stays not ready because it hasn't read the quarantine.
// It then takes requests all the same, since only that part of the store may be unavailable. It is
// about the delay with which nodes learn of each other's quarantine cases in any case.
const quarantineWait = 2 * time.Second

// Ready reports whether the node wants new connections.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.table.Load() == nil || !n.servers.Complete() {
		return false
	}
	if !n.crashTracker.Loaded() && clock.Since(n.startedAt) < quarantineWait {
		return false
	}
	return n.storeSilentFor() < storeSilenceLimit
}

// storeSilentFor returns the time since the store last answered this node about the newest
// configuration or, where the coordinator announces that and this node doesn't ask the store, since
// it answered any call.
func (n *Node) storeSilentFor() time.Duration {
	now := clock.Now()
	asked := n.operatorReadAt.age(now)
	if !n.operatorGuide.HasAnnouncement() {
		return asked
	}
	return min(asked, n.storeAnsweredAt.age(now))
}

// observeStore records the result of a call to the store.
func (n *Node) observeStore(call string, status int, duration time.Duration) {
	n.metrics.observeStore(call, status, duration)
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		n.storeAnsweredAt.advance(clock.Now())
	}
}

// observeForeignResponse records a response of a server that came in the place of another one. Without its log line, a
// request that the server has rejected would look like one that met the rejection of another request.
func (n *Node) observeForeignResponse(serverID string, foreign *roundtrip.ForeignResponseError) {
	n.metrics.observeForeignResponse(foreign.Status)
	n.logger.Warn("response to another request", zap.String("server", serverID), zap.Int("status", foreign.Status),
		zap.String("request", foreign.RequestID), zap.String("named", foreign.ResponseID))
}

// observeBrokenResponse records a broken response of a server, the store or the provider.
func (n *Node) observeBrokenResponse(address string, broken *stricthttp.BrokenResponseError) {
	n.metrics.brokenResponses.WithLabelValues(string(broken.Kind)).Inc()
	n.logger.Warn("broken response", zap.String("address", address), zap.String("kind", string(broken.Kind)), logs.QuotedError(broken))
}

// handleGoneServer takes a server whose address belongs to another incarnation out of the list, for all requests,
// items and orders of this node.
func (n *Node) handleGoneServer(gone directory.Incarnation, address string) {
	if !n.directory.MarkGone(clock.Now(), gone, address) {
		return
	}
	n.metrics.serversFoundGone.Inc()
	n.logger.Info("server found gone", zap.String("server", gone.ID), zap.Int64("born", gone.Born), zap.String("address", address))
	n.coordinator.HandleGone(gone)
}

// Serve answers a single request.
func (n *Node) Serve(ctx context.Context, w http.ResponseWriter, table *routetable.Table, route *routetable.Route, request *gateway.Request) {
	if !n.mayTake(clock.Until(gateway.Deadline(route, request))) {
		n.refuseLate(w, route, request)
		return
	}
	n.gateway.Serve(ctx, w, table, route, request)
}

// ClientStall returns the time within which a caller must send each piece of a body.
func (n *Node) ClientStall() time.Duration { return n.options.Settings.clientStall() }

// Submit accepts a batch job. It has succeeded when the store holds the whole job, whose items are released then.
func (n *Node) Submit(ctx context.Context, job *batch.Job) Verdict {
	if memory := job.Memory(); !n.backlog.admit(memory) {
		n.metrics.observeJobCall("submit", VerdictOverloaded)
		n.logger.Info("batch job refused: too many are open", zap.String("job", job.ID), zap.String("tenant", job.Tenant),
			zap.Int("items", len(job.Items)), zap.Int64("memory", memory), zap.Int64("open", n.openMemory()), zap.Int64("limit", n.backlog.limit))
		return VerdictOverloaded
	}
	job.AcceptedAt = clock.TimeOfDay().UnixMilli()
	records, err := batch.EncodeJob(job)
	if err != nil {
		n.logger.Error("batch job not encoded", zap.String("job", job.ID), zap.Error(err))
		return VerdictRefused
	}
	items := len(job.Items)
	job.Items = nil // they are held by the records while these are appended
	verdict := n.appendRecords(ctx, job.ID, records)
	n.metrics.observeJobCall("submit", verdict)
	n.logger.Info("batch job submitted", zap.String("job", job.ID), zap.String("tenant", job.Tenant), zap.String("model", job.Model), zap.Int("step", job.Step),
		zap.Int("items", items), zap.Int("wanted_groups", job.WantedGroups), zap.Int64("minimum", job.MinVersion), zap.Stringer("verdict", verdict))
	return verdict
}

// End ends a batch job.
func (n *Node) End(ctx context.Context, job batch.JobKey) Verdict {
	records, err := batch.EncodeEnd(&batch.End{JobID: job.ID, Tenant: job.Tenant})
	if err != nil {
		return VerdictRefused
	}
	verdict := n.appendRecords(ctx, job.ID, records)
	n.metrics.observeJobCall("end", verdict)
	n.logger.Info("batch job ended", zap.String("job", job.ID), zap.String("tenant", job.Tenant), zap.Stringer("verdict", verdict))
	return verdict
}

func (n *Node) appendRecords(ctx context.Context, jobID string, records [][]byte) Verdict {
	if !n.mayTake(appendTime) {
		n.metrics.lateRequestsRefused.Inc()
		return VerdictLeaving
	}
	verdict := VerdictRefused
	for range maxAppendAttempts {
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

// appendOnce appends records on behalf of a caller, also after the caller has disconnected. It is
// cancelled when the node's drain deadline expires, so that the caller still gets an answer.
func (n *Node) appendOnce(ctx context.Context, jobID string, records [][]byte) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), drain.ErrDrainTimeout) {
			cancel()
		}
	})
	defer stop()
	return n.jobLogs.Append(call, jobID, records)
}

// Results returns the results of a batch job from a position on. If there are none yet, it polls
// for up to wait, unless too many other reads wait.
func (n *Node) Results(ctx context.Context, job batch.JobKey, from int, wait time.Duration) (total int, results []batch.Result, verdict Verdict) {
	if !n.beginWait() {
		wait = 0
	}
	defer n.waitingReads.Add(-1)
	return n.jobReadRouter.results(ctx, job, from, wait)
}

// beginWait counts a read of results and reports whether it may wait.
func (n *Node) beginWait() bool {
	waiting := int(n.waitingReads.Add(1))
	connections := n.maxConnections()
	return connections == 0 || waiting <= max(1, int(waitingReadsShare*float64(connections)))
}

// ItemBody returns the body of an item that has no result yet.
func (n *Node) ItemBody(ctx context.Context, job batch.JobKey, itemID string) (body []byte, verdict Verdict) {
	return n.jobReadRouter.itemBody(ctx, job, itemID)
}
