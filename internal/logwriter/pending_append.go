package logwriter

import (
	"cmp"
	"time"

	"dalehook/internal/record"
)

// Timing holds the times of a Writer.
type Timing struct {
	// RetryBase and RetryMax bound the exponential backoff between attempts.
	RetryBase time.Duration
	RetryMax  time.Duration
	// SettleWait is the further wait after an unknown outcome, in which the
	// reader of the log may show the record.
	SettleWait time.Duration
	// CallTimeout is the time after which an attempt without an answer counts
	// as unknown. It lies above the driver's own limit on a call.
	CallTimeout time.Duration
	// GiveUp ends an append that could not be settled. The default outlasts an
	// outage of the log of 30 minutes.
	GiveUp time.Duration
}

// The defaults of Timing.
const (
	DefaultRetryBase   = 200 * time.Millisecond
	DefaultRetryMax    = 5 * time.Second
	DefaultSettleWait  = time.Second
	DefaultCallTimeout = 30 * time.Second
	DefaultGiveUp      = 45 * time.Minute
)

// maxBackoffShift keeps the exponential backoff from overflowing.
const maxBackoffShift = 20

func (t Timing) withDefaults() Timing {
	t.RetryBase = cmp.Or(t.RetryBase, DefaultRetryBase)
	t.RetryMax = cmp.Or(t.RetryMax, DefaultRetryMax)
	t.SettleWait = cmp.Or(t.SettleWait, DefaultSettleWait)
	t.CallTimeout = cmp.Or(t.CallTimeout, DefaultCallTimeout)
	t.GiveUp = cmp.Or(t.GiveUp, DefaultGiveUp)
	return t
}

// AppendOption changes how one append is made.
type AppendOption func(now time.Time, pending *pendingAppend)

// ReportNotDone ends the append with NotDone as soon as the log surely did not
// take it, instead of trying again.
func ReportNotDone() AppendOption {
	return func(_ time.Time, pending *pendingAppend) { pending.reportNotDone = true }
}

// GiveUpAfter replaces Timing.GiveUp for one append.
func GiveUpAfter(limit time.Duration) AppendOption {
	return func(now time.Time, pending *pendingAppend) { pending.giveUpAt = now.Add(limit) }
}

// pendingAppend is one append that is not settled.
type pendingAppend struct {
	id            record.ID
	log           string
	body          any
	done          func(now time.Time, result Result)
	reportNotDone bool
	attempts      int
	inFlight      bool
	sentAt        time.Time
	// dueAt is the time of the next attempt while none is in flight.
	dueAt    time.Time
	giveUpAt time.Time
	// mayStand is set once an attempt had an unknown outcome.
	mayStand  bool
	settled   bool
	lastError string
}

// report calls done with the append's id and last error.
func (p *pendingAppend) report(now time.Time, result Result) {
	if p.done == nil {
		return
	}
	result.ID = p.id
	if result.Outcome != Done {
		result.Err = p.lastError
	}
	p.done(now, result)
}
