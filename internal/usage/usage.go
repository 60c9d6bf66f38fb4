// Package usage counts, for each tenant, the requests that began to run at servers within
// each window of time, and has the counts reported once.
//
// Nodes append what they counted to one partition of the store. The holder of the lease ends
// a window by a record in the same partition: what stands before that record counts, what
// comes later is void. So every reader of the partition comes to the same counts, whoever
// ended the window, and two holders can not report different ones.
//
// Counter and Ledger are state machines without I/O; Sender and Reporter drive them.
package usage

import (
	"encoding/json"
	"fmt"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/store"
)

// Partition is where usage stands in the store.
var Partition = store.Partition{Topic: store.TopicUsage}

// Window numbers a window of time: it begins so many lengths after the start of 1970.
type Window int64

// WindowAt returns the window that a time falls into.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Count is the number of a tenant's requests that began within a window.
type Count struct {
	Window   Window
	Tenant   string
	Requests int
}

// Batch is what a process counted since its batch before. A batch may stand twice in the
// partition.
type Batch struct {
	// Process names the process unlike any other.
	Process string
	// Sequence numbers the batches of a process from 1. A batch is appended only once the
	// one before it stands in the partition.
	Sequence int64
	Counts   []Count
}

// record is one record of the partition; one field is set.
type record struct {
	Batch *Batch `json:",omitempty"`
	// Close ends a window.
	Close *Window `json:",omitempty"`
}

// EncodeBatch returns the record of a batch.
func EncodeBatch(batch *Batch) ([]byte, error) { return encode(record{Batch: batch}) }

// EncodeClose returns the record that ends a window.
func EncodeClose(window Window) ([]byte, error) { return encode(record{Close: &window}) }

func encode(r record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode a usage record: %w", err)
	}
	return text, nil
}

// Clock tells the time of day as it was at its start plus what a steady clock counted since:
// steps of the machine's time of day do not move it.
type Clock struct{ began, timeOfDay time.Time }

// NewClock returns a clock that starts from the machine's time of day.
func NewClock() Clock { return Clock{began: clock.Now(), timeOfDay: clock.TimeOfDay()} }

// Now returns the time.
func (c Clock) Now() time.Time { return c.At(clock.Now()) }

// At returns the time of a reading of the machine's clock, which bears a steady one.
func (c Clock) At(reading time.Time) time.Time {
	return c.timeOfDay.Add(reading.Sub(c.began))
}
