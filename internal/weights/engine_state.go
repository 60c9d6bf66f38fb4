package weights

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// target is what an engine should have loaded.
type target struct {
	model   cluster.ModelName
	version cluster.Version
}

// engineState is what a director remembers of one engine.
type engineState struct {
	// pending is set from an order until its end shows in a report.
	pending   bool
	fence     machine.Fence
	ordered   target
	orderedAt time.Time
	// finished is the last order whose end was seen: what the engine reports
	// under that fence is the outcome of this order.
	finished machine.Fence
	failures int
	retryAt  time.Time
	// trustAfter is set when only a report that came in later can say what an
	// order has done.
	trustAfter time.Time
	// loadingSince is when a load was first seen in the reports.
	loadingSince time.Time
	// behindSince is when the engine was first seen without its target.
	behindSince time.Time
	// aheadSince is when the engine was first seen on a version that is later
	// than its target.
	aheadSince time.Time
}

func (s *engineState) awaits(fence machine.Fence) bool { return s.pending && s.fence == fence }

func (s *engineState) pendingVersion() cluster.Version {
	if !s.pending {
		return 0
	}
	return s.ordered.version
}

// isSlow reports whether a load goes on for so long that it may be hung.
func (s *engineState) isSlow(now time.Time, parameters Parameters) bool {
	if s.pending {
		return now.Sub(s.orderedAt) >= parameters.SlowLoad
	}
	return now.Sub(s.loadingSince) >= parameters.SlowLoad
}

// begin remembers an order that is given now.
func (s *engineState) begin(now time.Time, fence machine.Fence, ordered target) {
	s.pending, s.fence, s.ordered, s.orderedAt = true, fence, ordered, now
}

// answered takes the engine's answer to the pending order. An order that was not
// accepted may have reached the engine all the same, so the next one waits for a
// report that is newer than the answer.
func (s *engineState) answered(now time.Time, parameters Parameters, result machine.OrderResult) {
	if result.Accepted {
		return
	}
	s.trustAfter = now
	s.end(now, parameters, false)
}

// end closes the pending order. After a failure the next one waits.
func (s *engineState) end(now time.Time, parameters Parameters, success bool) {
	s.pending = false
	if success {
		s.failures = 0
		s.retryAt = time.Time{}
		return
	}
	wait := parameters.RetryMax
	if s.failures < maxBackoffShift {
		wait = min(wait, parameters.RetryBase<<s.failures)
	}
	s.failures++
	s.retryAt = now.Add(wait)
}

// maxBackoffShift keeps the exponential backoff from overflowing.
const maxBackoffShift = 16

// observe compares the pending order with the engine's report. It reports
// whether the store refused the load for its rate.
func (s *engineState) observe(now time.Time, parameters Parameters, engine Engine) (rateLimited bool) {
	report := engine.Report
	s.observeLoading(now, report)
	if !s.pending {
		return false
	}
	if report.LastFence.Less(s.fence) {
		s.observeUnseen(now, parameters, engine)
		return false
	}
	if s.fence.Less(report.LastFence) {
		// Another order took its place; the report says what came of it.
		s.pending = false
		return false
	}
	s.finished = s.fence
	switch {
	case report.Loading != 0:
		if now.Sub(s.orderedAt) >= parameters.LoadTimeout {
			s.end(now, parameters, false)
		}
	case report.LoadError != "":
		s.end(now, parameters, false)
		return isRateLimit(report.LoadError)
	default:
		s.end(now, parameters, report.Model == s.ordered.model && report.Version == s.ordered.version)
	}
	return false
}

// observeLoading keeps track of how long the reports show a load.
func (s *engineState) observeLoading(now time.Time, report machine.BackendReport) {
	switch {
	case report.Loading == 0:
		s.loadingSince = time.Time{}
	case s.loadingSince.IsZero():
		s.loadingSince = now
	}
}

// observeUnseen ends an order that no report has shown for too long.
func (s *engineState) observeUnseen(now time.Time, parameters Parameters, engine Engine) {
	waited := now.Sub(s.orderedAt)
	fresh := engine.ReportedAt.Sub(s.orderedAt) >= parameters.OrderTimeout
	if fresh || waited >= parameters.LoadTimeout {
		s.end(now, parameters, false)
	}
}

// need says whether an engine has to load its target.
type need int

const (
	needNothing need = iota
	// needUpdate means that the engine has an earlier version or another model.
	needUpdate
	// needCorrection means that the engine is on a version nobody intended.
	needCorrection
)

// judge says what an engine needs. A version later than the target counts as
// unintended when it came out of this director's own order, or when it stays
// longer than an announcement can be on its way. Otherwise the engine is ahead
// of this node, and an earlier version is never ordered.
func (s *engineState) judge(now time.Time, parameters Parameters, report machine.BackendReport, want target) need {
	behind := report.Model != want.model || report.Version < want.version
	ahead := !behind && report.Version > want.version
	keepSince(&s.behindSince, now, behind)
	keepSince(&s.aheadSince, now, ahead)
	switch {
	case behind:
		return needUpdate
	case !ahead:
		return needNothing
	case s.finished == report.LastFence && s.ordered == want:
		return needCorrection
	case now.Sub(s.aheadSince) >= parameters.UnintendedWait:
		return needCorrection
	default:
		return needNothing
	}
}

func keepSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}
