// Package logwriter appends records to the platform's logs and settles appends
// whose answer was lost. It appends the same record id again until the log has
// surely taken it: a second copy of an id is void in every fold, so repeating is
// safe. The package does no I/O; see internal/machine for the contract.
package logwriter

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

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

// Writer is the state machine.
type Writer struct {
	options Options
	counter uint64
}

// New returns a Writer without appends.
func New(options Options) *Writer { return &Writer{options: options} }

// Timing holds the times of a Writer.
type Timing struct{}

// AppendOption changes how one append is made.
type AppendOption func(*pending)

type pending struct{}

// Append starts an append and returns the record's id. done is called exactly
// once, from a later HandleResult, HandleEntry, Cancel or Tick; it may be nil.
func (w *Writer) Append(now time.Time, log string, body any, done func(now time.Time, result Result), options ...AppendOption) record.ID {
	return ""
}

// HandleResult takes the driver's answer to an append.
func (w *Writer) HandleResult(now time.Time, result machine.AppendResult) {}

// HandleEntry takes an entry that was read from a log.
func (w *Writer) HandleEntry(now time.Time, log string, entry record.Entry) {}

// Tick drives everything that depends on time.
func (w *Writer) Tick(now time.Time) {}
