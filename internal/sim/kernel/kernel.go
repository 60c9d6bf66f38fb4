// Package kernel is the core of the simulator: an event heap on a virtual
// clock, named streams of random numbers from one seed, and a running hash over
// everything that happened. It runs on a single goroutine; the same seed and
// the same calls give the same hash, byte for byte.
package kernel

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch is the wall-clock time at which every simulation starts.
var Epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// Kernel is the event loop of one simulated world.
type Kernel struct {
	now      time.Duration
	events   heap
	sequence uint64
	seed     uint64
	digest   *xxhash.Digest
	steps    uint64
	trace    io.Writer
}

// New returns a kernel at time zero. Trace receives one line an event when it
// is not nil; it does not change the hash.
func New(seed uint64, trace io.Writer) *Kernel {
	return &Kernel{seed: seed, digest: xxhash.New(), trace: trace}
}

// Now returns the virtual time as a wall-clock time.
func (k *Kernel) Now() time.Time { return Epoch.Add(k.now) }

// Elapsed returns the virtual time since the start.
func (k *Kernel) Elapsed() time.Duration { return k.now }

// Steps returns the number of events that were run.
func (k *Kernel) Steps() uint64 { return k.steps }

// Rand returns a stream of random numbers of its own for the given name, so
// that drawing more in one part does not change what another part draws.
func (k *Kernel) Rand(name string) *rand.Rand {
	return rand.New(rand.NewPCG(k.seed, xxhash.Sum64String(name)))
}

// After runs f when the given time has passed. Events at the same time run in
// the order in which they were scheduled. A negative delay counts as zero.
func (k *Kernel) After(delay time.Duration, f func()) {
	k.sequence++
	k.events.push(event{at: k.now + max(delay, 0), sequence: k.sequence, run: f})
}

// At runs f at the given time since the start.
func (k *Kernel) At(at time.Duration, f func()) { k.After(at-k.now, f) }

// Every runs f at each interval, the first time after offset, until f returns
// false.
func (k *Kernel) Every(offset, interval time.Duration, f func() bool) {
	k.After(offset, func() {
		if f() {
			k.Every(interval, interval, f)
		}
	})
}

// Run runs all events up to the given time since the start.
func (k *Kernel) Run(until time.Duration) {
	k.RunWhile(until, func() bool { return true })
}

// RunWhile runs events up to the given time for as long as proceed holds.
func (k *Kernel) RunWhile(until time.Duration, proceed func() bool) {
	for len(k.events) > 0 && k.events[0].at <= until {
		if !proceed() {
			return
		}
		next := k.events.pop()
		k.now = next.at
		k.steps++
		next.run()
	}
	k.now = max(k.now, until)
}

// Record adds one occurrence to the hash and to the trace.
func (k *Kernel) Record(kind, subject, object string, number uint64) {
	var fixed [16]byte
	binary.LittleEndian.PutUint64(fixed[:8], uint64(k.now))
	binary.LittleEndian.PutUint64(fixed[8:], number)
	// A Digest's writes never fail.
	_, _ = k.digest.Write(fixed[:])
	_, _ = k.digest.WriteString(kind)
	_, _ = k.digest.WriteString(subject)
	_, _ = k.digest.WriteString(object)
	if k.trace != nil {
		_, _ = fmt.Fprintf(k.trace, "%12.6f %-16s %-18s %s #%x\n", k.now.Seconds(), kind, subject, object, number)
	}
}

// Tracing reports whether a trace is written, so that callers build its text
// only then.
func (k *Kernel) Tracing() bool { return k.trace != nil }

// Note writes a line to the trace only; it does not touch the hash.
func (k *Kernel) Note(format string, arguments ...any) {
	if k.trace != nil {
		_, _ = fmt.Fprintf(k.trace, "%12.6f   ", k.now.Seconds())
		_, _ = fmt.Fprintf(k.trace, format+"\n", arguments...)
	}
}

// Hash returns the hash over all occurrences so far.
func (k *Kernel) Hash() uint64 { return k.digest.Sum64() }
