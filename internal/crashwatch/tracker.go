// Package crashwatch detects which servers ended while running which requests. If a server breaks
// connections, probes and the list of servers show whether it ended. Nodes share their findings in
// a topic of the store and fold them into a quarantine.Ledger.
package crashwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/store"
)

// Options configure a Tracker.
type Options struct {
	// Node names this process in the records that it writes.
	Node string
	// Log is the store in which nodes share findings; nil keeps them on this node.
	Log       store.Log
	Directory *directory.Directory
	Probe     Probe
	Logger    *zap.Logger
	// StoreProxy reads and writes through other nodes while the store refuses this one.
	StoreProxy StoreProxy
	// RemovesExpired reports whether this node removes expired records from the store and writes
	// confirmations; a single node suffices. It may be nil.
	RemovesExpired func() bool
	// Observer receives the tracker's events; it may be nil.
	Observer Observer
	// TimeOfDay returns the machine's time of day; nil means that of package clock.
	TimeOfDay func() time.Time
}

// Observer receives the events of a tracker, for metrics.
type Observer interface {
	// ObserveServerEnd records the end of a server, with the evidence and the number of this node's
	// requests that were in flight there.
	ObserveServerEnd(evidence string, requests int)
	// ObserveHeld records that a request is held from now on.
	ObserveHeld()
}

// Tracker detects which servers ended under which requests, and shares that with the other nodes.
// It is safe for concurrent use.
type Tracker struct {
	options Options
	// loaded says that the findings of other nodes have been read.
	loaded atomic.Bool
	// active says that there are suspicions or pending probes, so that requests need fingerprints.
	active atomic.Bool

	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// disconnectedServers broke connections and may have ended.
	disconnectedServers map[directory.Incarnation]*disconnectedServer
	// ended holds when the end of each recently ended incarnation was found: connections broken
	// there are due to that end.
	ended map[directory.Incarnation]time.Time
	// unsent are the findings to be written to the store.
	unsent []finding
	// heldSince are the requests proven to crash servers, with the time at which that was found.
	heldSince map[quarantine.Fingerprint]time.Time
	// trials are the ambiguous requests that this node is running.
	trials map[quarantine.Fingerprint]bool
	// wake is signalled when servers may need probes, unsentWake when there are findings to write.
	wake, unsentWake chan struct{}
}

// NewTracker returns an empty tracker. Without a probe it detects nothing itself.
func NewTracker(options Options) *Tracker {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.RemovesExpired == nil {
		options.RemovesExpired = func() bool { return false }
	}
	if options.Observer == nil {
		options.Observer = noObserver{}
	}
	if options.TimeOfDay == nil {
		options.TimeOfDay = clock.TimeOfDay
	}
	return &Tracker{
		options: options, ledger: quarantine.NewLedger(options.Node),
		disconnectedServers: make(map[directory.Incarnation]*disconnectedServer), ended: make(map[directory.Incarnation]time.Time),
		heldSince: make(map[quarantine.Fingerprint]time.Time), trials: make(map[quarantine.Fingerprint]bool),
		wake: make(chan struct{}, 1), unsentWake: make(chan struct{}, 1),
	}
}

type noObserver struct{}

func (noObserver) ObserveServerEnd(string, int) {}
func (noObserver) ObserveHeld()                 {}

// Active reports whether anything is known against any request. While it is false, which is the
// normal state, requests need no fingerprints.
func (t *Tracker) Active() bool { return t.active.Load() }

// Suspicion returns the suspicion of a request.
func (t *Tracker) Suspicion(fingerprint quarantine.Fingerprint) quarantine.Suspicion {
	if !t.Active() {
		return quarantine.Suspicion{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.suspicionLocked(fingerprint)
}

func (t *Tracker) suspicionLocked(fingerprint quarantine.Fingerprint) quarantine.Suspicion {
	suspicion := t.ledger.Suspicion(clock.Now(), fingerprint)
	suspicion.Held = suspicion.Held || suspicion.Ambiguous && t.trials[fingerprint]
	for _, disconnected := range t.disconnectedServers {
		if disconnected.wasRunning(fingerprint) && disconnected.isProbing() {
			suspicion = suspicion.WithPossibleEnd()
		}
	}
	return suspicion
}

// BeginTrial reports whether this node may run an ambiguous request now: one run at a time. If
// true, the caller must call EndTrial afterwards.
func (t *Tracker) BeginTrial(fingerprint quarantine.Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.trials[fingerprint] {
		return false
	}
	t.trials[fingerprint] = true
	return true
}

// EndTrial allows the next run of an ambiguous request.
func (t *Tracker) EndTrial(fingerprint quarantine.Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.trials, fingerprint)
}

// HoldExpiry returns when the hold of a request expires, by package clock.
func (t *Tracker) HoldExpiry(fingerprint quarantine.Fingerprint) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ledger.HoldExpiry(fingerprint)
}

// InFlightRequest describes a request in flight at a server.
type InFlightRequest struct {
	// SentAt is when it was sent, by package clock.
	SentAt time.Time
	// Progressed says that the request has produced events there.
	Progressed bool
}

// RecordBreak records that a server broke the connection of a request sent to it.
func (t *Tracker) RecordBreak(fingerprint quarantine.Fingerprint, server directory.Server, request InFlightRequest) {
	if t.options.Probe == nil || t.isShutdownPlanned(server) {
		return
	}
	t.mutex.Lock()
	incarnation := t.incarnationAtLocked(server.Incarnation(), request.SentAt)
	if _, ended := t.ended[incarnation]; ended {
		t.addEndsLocked(incarnation, map[quarantine.Fingerprint]InFlightRequest{fingerprint: request})
	} else if disconnected := t.recordBreakLocked(fingerprint, server, incarnation, request); isReplaced(t.options.Directory.Snapshot(), disconnected) {
		t.recordServerEndLocked(disconnected, evidenceReplaced)
	}
	t.updateLocked()
	t.mutex.Unlock()
	t.signal()
}

// RecordResponse records a complete response to a request sent at sentAt. It shows that the request
// did not crash the server, and that the server had not ended at sentAt.
func (t *Tracker) RecordResponse(fingerprint quarantine.Fingerprint, server directory.Incarnation, sentAt time.Time) {
	t.mutex.Lock()
	alive := t.recordAliveLocked(server, sentAt)
	cleared := t.clearLocked(fingerprint)
	t.finishChangeLocked(alive || cleared)
}

// RecordAlive records that a server responded to something sent at sentAt that no suspicion is held against,
// such as a batch item: the server had not ended then.
func (t *Tracker) RecordAlive(server directory.Incarnation, sentAt time.Time) {
	if !t.Active() {
		return
	}
	t.mutex.Lock()
	t.finishChangeLocked(t.recordAliveLocked(server, sentAt))
}

// recordAliveLocked stops watching a server that responded to something sent after its first broken connection.
func (t *Tracker) recordAliveLocked(server directory.Incarnation, sentAt time.Time) (changed bool) {
	disconnected := t.disconnectedServers[t.incarnationAtLocked(server, sentAt)]
	if disconnected == nil || !sentAt.After(disconnected.firstBreakAt) {
		return false
	}
	t.stopWatchingLocked(disconnected)
	return true
}

// finishChangeLocked updates the derived state after a change, and unlocks the mutex.
func (t *Tracker) finishChangeLocked(changed bool) {
	if changed {
		t.updateLocked()
	}
	t.mutex.Unlock()
	if changed {
		t.signal()
	}
}

// clearLocked forgets everything known against a request.
func (t *Tracker) clearLocked(fingerprint quarantine.Fingerprint) (changed bool) {
	for _, disconnected := range t.disconnectedServers {
		if disconnected.wasRunning(fingerprint) {
			delete(disconnected.requests, fingerprint)
			changed = true
		}
	}
	confirmed := t.ledger.IsConfirmed(fingerprint)
	cleared := t.ledger.Clear(fingerprint)
	t.retractLocked(cleared)
	if confirmed {
		t.enqueueRetractionLocked(confirmationOf(fingerprint))
	}
	return changed || len(cleared) > 0
}

// Release clears a request on behalf of an operator; it returns false if nothing was known against
// it.
func (t *Tracker) Release(fingerprint quarantine.Fingerprint) bool {
	t.mutex.Lock()
	changed := t.clearLocked(fingerprint)
	t.updateLocked()
	t.mutex.Unlock()
	if changed {
		t.options.Logger.Info("request released by operator", zap.String("fingerprint", fingerprint.Short()))
		t.signal()
	}
	return changed
}

// Cases returns the requests under which servers ended, for operators; times are by this machine's
// time of day.
func (t *Tracker) Cases() []quarantine.Case {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cases := t.ledger.Cases()
	timeOfDay := t.options.TimeOfDay()
	for _, known := range cases {
		for number := range known.Ends {
			end := &known.Ends[number]
			end.At = timeOfDay.Add(-clock.Since(end.At))
		}
	}
	return cases
}

// Held returns the number of held requests.
func (t *Tracker) Held() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.heldSince)
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 8

func shortForms(fingerprints []quarantine.Fingerprint) []string {
	var texts []string
	for _, fingerprint := range fingerprints[:min(len(fingerprints), maxLoggedFingerprints)] {
		texts = append(texts, fingerprint.Short())
	}
	return texts
}

// updateLocked updates heldSince and active from the ledger.
func (t *Tracker) updateLocked() {
	for fingerprint := range t.heldSince {
		if !t.ledger.Suspicion(clock.Now(), fingerprint).Proven {
			delete(t.heldSince, fingerprint)
			t.options.Logger.Info("request hold ended", zap.String("fingerprint", fingerprint.Short()))
		}
	}
	for _, fingerprint := range t.ledger.ProvenRequests() {
		if t.heldSince[fingerprint].IsZero() {
			t.heldSince[fingerprint] = clock.Now()
			t.logHeld(t.ledger.Case(fingerprint))
		}
	}
	t.active.Store(t.ledger.Len() > 0 || len(t.disconnectedServers) > 0 || len(t.ended) > 0)
}

func (t *Tracker) logHeld(known quarantine.Case) {
	var servers []string
	var births []int64
	var ages []time.Duration
	for _, end := range known.Ends {
		servers = append(servers, end.Server.ID)
		births = append(births, end.Server.Born)
		ages = append(ages, clock.Since(end.At))
	}
	t.options.Observer.ObserveHeld()
	t.options.Logger.Warn("request held", zap.String("fingerprint", known.Fingerprint.String()),
		zap.Strings("servers", servers), zap.Int64s("born", births), zap.Durations("ages", ages))
}

// signal wakes the goroutines of Run.
func (t *Tracker) signal() {
	for _, wake := range []chan struct{}{t.wake, t.unsentWake} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// sweepInterval is the time between two sweeps.
const sweepInterval = time.Second

// Run detects and shares ends until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	var background conc.WaitGroup
	defer background.Wait()
	if t.options.Log != nil {
		background.Go(func() { t.follow(ctx) })
		background.Go(func() { t.publish(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		for _, disconnected := range t.takeUnprobed() {
			background.Go(func() { t.probeTwice(ctx, disconnected) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-ticker.C:
			t.sweep(clock.Now())
		}
	}
}

// endedRetention is how long the end of a server is remembered, for connections that break later.
const endedRetention = 10 * time.Second
