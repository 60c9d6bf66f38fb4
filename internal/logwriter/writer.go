// Package logwriter appends records to the platform's logs and settles appends
// whose answer was lost. It appends the same record id again until the log has
// surely taken it: a second copy of an id is void in every fold, so repeating is
// safe. The package does no I/O; see internal/machine for the contract.
package logwriter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// MaxPending is the largest number of appends that are not yet settled. Further
// ones end as NotDone.
const MaxPending = 8192

// Outcome says how an append ended.
type Outcome int

const (
	// Done means that the record stands on the log.
	Done Outcome = iota + 1
	// NotDone means that the record does not stand on the log and never will.
	NotDone
	// Unknown means that the record may or may not stand on the log, now or
	// later.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotDone:
		return "not_done"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("outcome(%d)", int(o))
	}
}

// Result is how an append ended.
type Result struct {
	Outcome Outcome
	ID      record.ID
	// Offset is the record's place, set when Outcome is Done.
	Offset uint64
	// OffsetUncertain is set when an earlier copy of the record may stand at a
	// lower offset; the fold of the log knows which copy counts.
	OffsetUncertain bool
	// Err is the last error of the log, for people.
	Err string
}

// Options configure a Writer.
type Options struct {
	Outbox *machine.Outbox
	// Self names the writer in record ids.
	Self cluster.Node
	// Seed feeds the jitter of the backoff.
	Seed uint64
	// Timing holds the times; zero fields take the defaults.
	Timing Timing
}

// Writer is the state machine. Each log's appends are sent in the order in which
// they were asked for, but several may be in flight at once: who needs an order
// on the log waits for done.
type Writer struct {
	outbox  *machine.Outbox
	self    cluster.Node
	timing  Timing
	random  *rand.Rand
	counter uint64
	// appends holds the unsettled appends, the oldest first.
	appends []*pendingAppend
	byID    map[record.ID]*pendingAppend
	refused []*pendingAppend
	window  window
}

// New returns a Writer without appends.
func New(options Options) *Writer {
	return &Writer{
		outbox: options.Outbox,
		self:   options.Self,
		timing: options.Timing.withDefaults(),
		random: rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation))),
		byID:   map[record.ID]*pendingAppend{},
		window: newWindow(),
	}
}

// Append starts an append and returns the record's id. done is called exactly
// once, from a later HandleResult, HandleEntry, Cancel or Tick and never from
// Append itself; it may be nil. By default an append that the log surely did not
// take is tried again until the give-up time, see ReportNotDone.
func (w *Writer) Append(now time.Time, log string, body any, done func(now time.Time, result Result), options ...AppendOption) record.ID {
	w.counter++
	pending := &pendingAppend{
		id:       record.ID(fmt.Sprintf("%s.%d.%d", w.self.ID, w.self.Incarnation, w.counter)),
		log:      log,
		body:     body,
		done:     done,
		dueAt:    now,
		giveUpAt: now.Add(w.timing.GiveUp),
	}
	for _, option := range options {
		option(now, pending)
	}
	if len(w.appends) >= MaxPending {
		pending.lastError = "too many appends are pending"
		w.refused = append(w.refused, pending)
		return pending.id
	}
	w.appends = append(w.appends, pending)
	w.byID[pending.id] = pending
	w.send(now)
	return pending.id
}

// Pending returns the number of unsettled appends.
func (w *Writer) Pending() int { return len(w.appends) }

// HandleResult takes the driver's answer to an append. Answers to appends that
// were settled before are ignored.
func (w *Writer) HandleResult(now time.Time, result machine.AppendResult) {
	pending, ok := w.byID[result.ID]
	if !ok || pending.log != result.Log {
		return
	}
	if pending.inFlight {
		pending.inFlight = false
		w.window.landed()
	}
	pending.lastError = result.Err
	if result.Outcome == machine.AppendDone {
		w.window.succeeded()
		w.hurry(now)
		w.settle(now, pending, Result{Outcome: Done, Offset: result.Offset, OffsetUncertain: pending.mayStand})
		w.send(now)
		return
	}
	w.window.failed(now, w.backoff)
	w.retry(now, pending, result.Outcome)
	w.send(now)
}

// retry decides what follows an attempt that did not surely succeed.
func (w *Writer) retry(now time.Time, pending *pendingAppend, outcome machine.AppendOutcome) {
	if outcome == machine.AppendUnknown {
		pending.mayStand = true
		pending.dueAt = now.Add(w.timing.SettleWait + w.backoff(pending.attempts))
		return
	}
	if pending.reportNotDone && !pending.mayStand {
		w.settle(now, pending, Result{Outcome: NotDone})
		return
	}
	pending.dueAt = now.Add(w.backoff(pending.attempts))
}

// HandleEntry takes an entry that was read from a log. Entries of one log come
// in order, so the first copy of a record that is seen is the one that counts.
func (w *Writer) HandleEntry(now time.Time, log string, entry record.Entry) {
	pending, ok := w.byID[entry.Record.ID]
	if !ok || pending.log != log {
		return
	}
	if pending.inFlight {
		w.window.landed()
	}
	w.settle(now, pending, Result{Outcome: Done, Offset: entry.Offset})
	w.send(now)
}

// Cancel gives an append up. It ends as NotDone if it surely never reached the
// log and never will, and as Unknown otherwise.
func (w *Writer) Cancel(now time.Time, id record.ID) {
	pending, ok := w.byID[id]
	if !ok {
		return
	}
	w.giveUp(now, pending)
	w.send(now)
}

// Tick drives everything that depends on time.
func (w *Writer) Tick(now time.Time) {
	refused := w.refused
	w.refused = nil
	for _, pending := range refused {
		pending.report(now, Result{Outcome: NotDone})
	}
	for _, pending := range slices.Clone(w.appends) {
		w.expire(now, pending)
	}
	w.send(now)
}

// expire gives up what has run out of time, and takes an attempt without an
// answer for one with an unknown outcome.
func (w *Writer) expire(now time.Time, pending *pendingAppend) {
	switch {
	case pending.settled:
		// A callback of this Tick has cancelled it.
	case !now.Before(pending.giveUpAt):
		w.giveUp(now, pending)
	case pending.inFlight && now.Sub(pending.sentAt) >= w.timing.CallTimeout:
		pending.inFlight = false
		pending.lastError = "no answer from the driver"
		w.window.landed()
		w.window.failed(now, w.backoff)
		w.retry(now, pending, machine.AppendUnknown)
	}
}

func (w *Writer) giveUp(now time.Time, pending *pendingAppend) {
	outcome := NotDone
	if pending.inFlight || pending.mayStand {
		outcome = Unknown
	}
	if pending.inFlight {
		w.window.landed()
	}
	w.settle(now, pending, Result{Outcome: outcome})
}

// settle forgets an append and reports its end.
func (w *Writer) settle(now time.Time, pending *pendingAppend, result Result) {
	pending.settled = true
	delete(w.byID, pending.id)
	index := slices.Index(w.appends, pending)
	w.appends = slices.Delete(w.appends, index, index+1)
	pending.report(now, result)
}

// send starts the attempts that are due, as far as the window allows.
func (w *Writer) send(now time.Time) {
	for _, pending := range w.appends {
		if !w.window.open() {
			return
		}
		if pending.inFlight || now.Before(pending.dueAt) {
			continue
		}
		if pending.attempts > 0 && w.window.paused(now) {
			continue
		}
		pending.inFlight = true
		pending.sentAt = now
		pending.attempts++
		w.window.sent()
		w.outbox.Add(machine.AppendLog{Log: pending.log, Record: record.Record{ID: pending.id, Body: pending.body}})
	}
}

// hurry makes waiting appends due at once, since the log has just taken one.
// Those that wait for the log's reader to show them keep waiting.
func (w *Writer) hurry(now time.Time) {
	for _, pending := range w.appends {
		if !pending.inFlight && !pending.mayStand && pending.dueAt.After(now) {
			pending.dueAt = now
		}
	}
}

// backoff returns an exponential wait with jitter between half and the whole.
func (w *Writer) backoff(attempts int) time.Duration {
	wait := w.timing.RetryMax
	if shift := attempts - 1; shift < maxBackoffShift {
		wait = min(wait, w.timing.RetryBase<<shift)
	}
	return wait/2 + time.Duration(w.random.Int64N(int64(wait/2)+1))
}
