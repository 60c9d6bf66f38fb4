package overload

import (
	"math"
	"time"
)

// Parameters of a Throttle.
const (
	// timeConstant is the time constant of the exponential decay of the counts. A longer one refuses
	// requests after the load has ended; with a shorter one a node with 15 requests a second counts
	// too few of them for a meaningful share.
	timeConstant = 400 * time.Millisecond
	// acceptMultiple is the ratio of sent to accepted requests that the throttle aims at. The excess
	// probes for capacity.
	acceptMultiple = 1.1
	// evidenceLifetime is how long evidence of overload counts.
	evidenceLifetime = time.Second
	// answerLifetime is how long a server that answered a request counts as one that answers. At a node
	// with less than one request in this time a single server's rejection counts as evidence of
	// overload, and budgetFloor pays for the retry.
	answerLifetime = 5 * time.Second
	// maxProbeInterval is the longest time for which all requests of a service are refused. The request
	// admitted then shows whether the servers have recovered.
	maxProbeInterval = time.Second
	// An attempt counts as accepted in full while its predicted latency is at most fullWeightShare of the
	// latency target, and not at all from zeroWeightShare on. The rest of the target is a margin for
	// requests that take longer than the mean.
	fullWeightShare, zeroWeightShare = 0.5, 0.9
	// minUtilizationSamples is the decayed number of stated loads below which the utilization is
	// unknown.
	minUtilizationSamples = 0.1

	// minRetryAfter is the smallest Retry-After of a refused request.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfterShare is the largest share of the caller's remaining time that a Retry-After above
	// minRetryAfter takes. It includes the jitter, which at most doubles a Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// minAccepted is the smallest decayed number of accepted attempts that Retry-After is calculated
	// from. It keeps Retry-After finite while nothing is accepted.
	minAccepted = 0.5
)

// Request is what the throttle needs to know about a request.
type Request struct {
	Priority int
	Tenant   string
	// Route names the route. Remaining is compared among the requests of one route.
	Route string
	// Remaining is how much longer the caller will wait.
	Remaining time.Duration
	// HasFreeSlot says that a server is known to have a free slot. The request is then admitted.
	HasFreeSlot bool
}

// Decision says whether a request may be sent.
type Decision struct {
	Admitted bool
	// RetryAfter is set for refused requests.
	RetryAfter time.Duration
	// RefusedShare is the share of recent requests that the throttle refuses, for logs.
	RefusedShare float64
}

// Sample is the outcome of an attempt at a server, as evidence for the throttle.
type Sample struct {
	// Server is the server that responded.
	Server string
	// Rejected says that the server did not run the request.
	Rejected bool
	// Predicted is the latency that the next request at the server is predicted to have; 0 if unknown
	// or if the server has no queue.
	Predicted time.Duration
	// Target is the latency target of the route. Without one, only the utilization counts.
	Target time.Duration
	// Utilization is what the server stated, (running + waiting) / slots; -1 if it did not.
	Utilization float64
}

// Evidence is a kind of evidence of overload.
type Evidence string

// Kinds of evidence.
const (
	EvidenceNone      Evidence = "none"
	EvidenceRejection Evidence = "rejected"
	EvidenceQueue     Evidence = "queue"
)

// ThrottleOptions configure a Throttle.
type ThrottleOptions struct {
	// TenantWeights holds the weights of tenants whose share is not 1.
	TenantWeights map[string]float64
}

// Throttle decides which requests for one service are refused because its servers are overloaded.
// It addresses demand above the capacity of the servers, by adaptive throttling ("Handling
// Overload", Site Reliability Engineering, chapter 21). It is the state of one service at one node,
// and not safe for concurrent use.
type Throttle struct {
	// offered counts the attempts and the refused requests, accepted the attempts without evidence
	// of overload, refused the refused requests. All are decayed to updatedAt.
	offered, accepted, refused float64
	// loadSum and loadSamples are the decayed sum and number of stated utilizations.
	loadSum, loadSamples float64
	updatedAt            time.Time
	// evidenceAt is when there was last evidence of overload, and evidence its kind.
	evidenceAt time.Time
	evidence   Evidence
	// unconfirmed says that the evidence is a rejection by one server while no other server was known to
	// answer. An answer of another server discards it.
	unconfirmed bool
	// rejections and answers hold the latest rejections and answers of two servers each.
	rejections, answers lastTwo
	// admittedAt is when a request was last admitted.
	admittedAt time.Time
	shares     shares
}

// NewThrottle returns a throttle without evidence, which admits all requests.
func NewThrottle(options ThrottleOptions) *Throttle {
	return &Throttle{evidence: EvidenceNone, shares: newShares(options.TenantWeights)}
}

// Admit decides about a request; draw is uniform in [0, 1). Without recent evidence of overload each
// request is admitted, and nothing is stored.
func (t *Throttle) Admit(now time.Time, request Request, draw float64) Decision {
	if !t.Loaded(now) {
		t.admittedAt = now
		t.shares.reset()
		return Decision{Admitted: true}
	}
	share := t.RefusedShare(now)
	chance := t.shares.chance(now, request, 1-share)
	if share == 0 || request.HasFreeSlot || draw < chance || now.Sub(t.admittedAt) >= maxProbeInterval {
		t.admittedAt = now
		return Decision{Admitted: true, RefusedShare: share}
	}
	t.offered++
	t.refused++
	// Given that the request is refused, the draw is uniform above the chance.
	jitter := (draw - chance) / (1 - chance)
	return Decision{RetryAfter: t.RetryAfter(now, request.Remaining, jitter), RefusedShare: share}
}

// Observe records the outcome of an attempt.
func (t *Throttle) Observe(now time.Time, sample Sample) {
	t.decay(now)
	if sample.Utilization >= 0 {
		t.loadSum += sample.Utilization
		t.loadSamples++
	}
	if sample.Target <= 0 {
		return
	}
	t.offered++
	if sample.Rejected {
		t.rejections.note(now, sample.Server)
		t.observeRejection(now, sample.Server)
		return
	}
	t.answers.note(now, sample.Server)
	if t.unconfirmed && sample.Server != t.rejections[0].server {
		t.evidenceAt, t.evidence, t.unconfirmed = time.Time{}, EvidenceNone, false
	}
	weight := acceptedWeight(sample.Predicted, sample.Target)
	t.accepted += weight
	if weight < 1 {
		t.evidenceAt, t.evidence, t.unconfirmed = now, EvidenceQueue, false
	}
}

// observeRejection records a rejection. It is evidence that the service is overloaded if another server
// rejects requests as well, or if none is known to answer them. A single server that rejects requests,
// such as one that starts or stops, says nothing of the others' capacity.
func (t *Throttle) observeRejection(now time.Time, server string) {
	confirmed := t.rejections.hasOther(now, server, evidenceLifetime)
	if confirmed || !t.answers.hasOther(now, server, answerLifetime) {
		t.evidenceAt, t.evidence, t.unconfirmed = now, EvidenceRejection, !confirmed
	}
}

// acceptedWeight returns how far an attempt counts as accepted, from 0 to 1.
func acceptedWeight(predicted, target time.Duration) float64 {
	used := float64(predicted) / float64(target)
	return min(1, max(0, (zeroWeightShare-used)/(zeroWeightShare-fullWeightShare)))
}

// Loaded reports whether there is recent evidence of overload.
func (t *Throttle) Loaded(now time.Time) bool {
	return !t.evidenceAt.IsZero() && now.Sub(t.evidenceAt) < evidenceLifetime
}

// RefusedShare returns the share of requests to refuse, from 0 to 1.
func (t *Throttle) RefusedShare(now time.Time) float64 {
	if !t.Loaded(now) {
		return 0
	}
	t.decay(now)
	return max(0, (t.offered-acceptMultiple*t.accepted)/(t.offered+1))
}

// RetryAfter returns the time in which the measured service rate frees capacity for the requests
// that were refused recently, with its jitter; draw is uniform in [0, 1).
func (t *Throttle) RetryAfter(now time.Time, remaining time.Duration, draw float64) time.Duration {
	t.decay(now)
	wait := time.Duration(t.refused / max(t.accepted, minAccepted) * float64(timeConstant))
	longest := time.Duration(float64(remaining) * maxRetryAfterShare / 2)
	wait = max(min(wait, longest), minRetryAfter)
	return time.Duration(float64(wait) * (1 + draw)).Truncate(time.Millisecond)
}

// Utilization returns the mean utilization that servers stated recently; ok is false if it is
// unknown.
func (t *Throttle) Utilization(now time.Time) (utilization float64, ok bool) {
	t.decay(now)
	if t.loadSamples < minUtilizationSamples {
		return 0, false
	}
	return t.loadSum / t.loadSamples, true
}

// Rates returns the recent attempts and refused requests a second, those of them that were accepted,
// and those that were refused.
func (t *Throttle) Rates(now time.Time) (offered, accepted, refused float64) {
	t.decay(now)
	seconds := timeConstant.Seconds()
	return t.offered / seconds, t.accepted / seconds, t.refused / seconds
}

// LastEvidence returns the kind of the last evidence of overload, and the time since then; the time
// is negative if there was none.
func (t *Throttle) LastEvidence(now time.Time) (Evidence, time.Duration) {
	if t.evidenceAt.IsZero() {
		return EvidenceNone, -1
	}
	return t.evidence, max(now.Sub(t.evidenceAt), 0)
}

// decay decays the counts by the time since the last call.
func (t *Throttle) decay(now time.Time) {
	factor := decayFactor(t.updatedAt, now)
	if factor == 1 {
		return
	}
	t.updatedAt = now
	t.offered *= factor
	t.accepted *= factor
	t.refused *= factor
	t.loadSum *= factor
	t.loadSamples *= factor
}

// decayFactor returns the factor by which a count decays between two times; 1 if the second is not
// later.
func decayFactor(from, to time.Time) float64 {
	if !to.After(from) {
		return 1
	}
	return math.Exp(-float64(to.Sub(from)) / float64(timeConstant))
}
