// Package usage counts, per tenant and time window, the requests that servers began to run, and
// reports the counts of each window to a provider.
//
// Nodes append their counts to one partition of the store. The holder of the lease closes a
// window by appending a close record to the same partition: batches before that record count,
// later ones are ignored. Every reader of the partition therefore derives the same counts,
// whichever holder closed the window, and two holders cannot report different ones.
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

// Partition is the partition of the store that holds usage records.
var Partition = store.Partition{Topic: store.TopicUsage}

// Window is the number of a time window: window n starts n window lengths after the Unix epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the time at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Count is the number of a tenant's requests that started within a window.
type Count struct {
	Window   Window
	Tenant   string
	Requests int
}

// Batch holds the counts of a process since its previous batch. The partition may contain a
// batch twice.
type Batch struct {
	// Process uniquely identifies the process.
	Process string
	// Sequence numbers the batches of a process from 1. A batch is appended only after the
	// append of the previous one is confirmed.
	Sequence int64
	Counts   []Count
}

// record is one record of the partition; exactly one field is set.
type record struct {
	Batch *Batch `json:",omitempty"`
	// Close is the window that the record closes.
	Close *Window `json:",omitempty"`
}

// EncodeBatch returns the encoded record of a batch.
func EncodeBatch(batch *Batch) ([]byte, error) { return encode(record{Batch: batch}) }

// EncodeClose returns the encoded record that closes a window.
func EncodeClose(window Window) ([]byte, error) { return encode(record{Close: &window}) }

func encode(content record) ([]byte, error) {
	encoded, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode a usage record: %w", err)
	}
	return encoded, nil
}

// Clock returns the time of day at its creation plus the time elapsed on the monotonic clock since
// then, so that steps of the machine's time of day do not affect it.
type Clock struct{ startReading, startTime time.Time }

// NewClock returns a clock that starts at the machine's time of day.
func NewClock() Clock { return Clock{startReading: clock.Now(), startTime: clock.TimeOfDay()} }

// Now returns the clock's current time.
func (c Clock) Now() time.Time { return c.At(clock.Now()) }

// At converts a reading of the machine's clock, which must contain a monotonic one, to the clock's
// time.
func (c Clock) At(reading time.Time) time.Time {
	return c.startTime.Add(reading.Sub(c.startReading))
}
