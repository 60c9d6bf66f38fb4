// Package crashwatch finds out which servers ended under which requests: whether a server that
// broke connections off has ended, by probes and by the list of servers. It shares that with the other
// nodes by a topic of the store, and folds it into a quarantine.Ledger.
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
	"dalehook/internal/pause"
	"dalehook/internal/quarantine"
	"dalehook/internal/store"
)

// Options configure a Tracker.
type Options struct {
	// Node names this process, for the records that it writes.
	Node string
	// Log is where nodes share what they found; nil keeps it at this node.
	Log       store.Log
	Directory *directory.Directory
	Probe     Probe
	Logger    *zap.Logger
	// Relay reads and writes by way of other nodes while the store turns this one away.
	Relay Relay
	// Changed is told when what is known against requests has changed; it may be nil.
	Changed func()
	// Tidies says whether this node removes from the store what is forgotten: one of all nodes
	// is enough. It may be nil.
	Tidies func() bool
	// Observer counts what the tracker finds; it may be nil.
	Observer Observer
	// TimeOfDay tells the machine's time of day; nil stands for that of package clock.
	TimeOfDay func() time.Time
}

// Observer counts what a tracker finds.
type Observer interface {
	// ObserveServerEnd takes the end of a server, by the evidence, and the number of requests
	// that were under way there from this node.
	ObserveServerEnd(evidence string, requests int)
	// ObserveHeld takes a request that is held from now on.
	ObserveHeld()
}

// Tracker finds out which servers ended under which requests, and shares it with the other
// nodes. It may be used by several goroutines.
type Tracker struct {
	options Options
	// loaded says that what other nodes found has been read.
	loaded atomic.Bool
	// active says that something is known or to be settled, so that requests need fingerprints.
	active atomic.Bool

	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// breaks are the servers that broke connections and may have ended.
	breaks map[directory.Incarnation]*brokenServer
	// ended are the lives of servers that have ended: what broke there is due to that.
	ended map[directory.Incarnation]time.Time
	// unsent is what is to be written to the store.
	unsent []finding
	// unshared are the requests whose only end is known to this node alone.
	unshared map[quarantine.Fingerprint]bool
	// held are the requests that are proved to end servers, since when.
	held map[quarantine.Fingerprint]time.Time
	// alone are the unclear requests of which this node runs one.
	alone map[quarantine.Fingerprint]bool
	// wake is signalled when there is something to settle, unsentWake when there is something
	// to write, changedWake when what is known has changed.
	wake, unsentWake, changedWake chan struct{}
}

// NewTracker returns a tracker that knows nothing. Without a probe it never learns anything.
func NewTracker(options Options) *Tracker {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Changed == nil {
		options.Changed = func() {}
	}
	if options.Tidies == nil {
		options.Tidies = func() bool { return false }
	}
	if options.Observer == nil {
		options.Observer = noObserver{}
	}
	if options.TimeOfDay == nil {
		options.TimeOfDay = clock.TimeOfDay
	}
	return &Tracker{
		options: options, ledger: quarantine.NewLedger(options.Node),
		breaks: make(map[directory.Incarnation]*brokenServer), ended: make(map[directory.Incarnation]time.Time),
		unshared: make(map[quarantine.Fingerprint]bool), held: make(map[quarantine.Fingerprint]time.Time), alone: make(map[quarantine.Fingerprint]bool), wake: make(chan struct{}, 1), unsentWake: make(chan struct{}, 1), changedWake: make(chan struct{}, 1),
	}
}

type noObserver struct{}

func (noObserver) ObserveServerEnd(string, int) {}
func (noObserver) ObserveHeld()                 {}

// Active says whether anything is known against any request. While it is false, which is nearly
// always, no fingerprint is needed.
func (t *Tracker) Active() bool { return t.active.Load() }

// Suspicion returns what is known against a request.
func (t *Tracker) Suspicion(fingerprint quarantine.Fingerprint) quarantine.Suspicion {
	if !t.Active() {
		return quarantine.Suspicion{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.suspicionLocked(fingerprint)
}

func (t *Tracker) suspicionLocked(fingerprint quarantine.Fingerprint) quarantine.Suspicion {
	known := t.ledger.Suspicion(clock.Now(), fingerprint)
	known.Held = known.Held || known.Unclear && t.alone[fingerprint]
	for _, broken := range t.breaks {
		if broken.ran(fingerprint) && broken.settling() {
			known = known.WithUnsettled()
		}
	}
	return known
}

// Suspicions returns what is known against all requests that are suspected.
func (t *Tracker) Suspicions() map[quarantine.Fingerprint]quarantine.Suspicion {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := t.ledger.Suspicions(clock.Now())
	for _, broken := range t.breaks {
		if !broken.settling() {
			continue
		}
		for fingerprint := range broken.requests {
			all[fingerprint] = all[fingerprint].WithUnsettled()
		}
	}
	return all
}

// TryAlone says whether this node may run an unclear request now: one at a time. Whoever is told so
// calls EndTry afterwards.
func (t *Tracker) TryAlone(fingerprint quarantine.Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.alone[fingerprint] {
		return false
	}
	t.alone[fingerprint] = true
	return true
}

// EndTry lets the next run of an unclear request begin.
func (t *Tracker) EndTry(fingerprint quarantine.Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.alone, fingerprint)
}

// HoldEnds returns when the hold of a request ends by itself, by package clock.
func (t *Tracker) HoldEnds(fingerprint quarantine.Fingerprint) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ledger.HoldEnds(fingerprint)
}

// UnderWay is what is known of a request that is under way at a server.
type UnderWay struct {
	// Began is when it was sent, by package clock.
	Began time.Time
	// Progressed says that the request has made events there.
	Progressed bool
	// HereOnly says that no other node sends the request to servers. Its first end is not shared then:
	// a crash implicates all that an engine runs, and nearly all of it is cleared by its next run.
	HereOnly bool
}

// Broke takes that a server broke the connection of a request that had been sent to it.
func (t *Tracker) Broke(fingerprint quarantine.Fingerprint, server directory.Server, underWay UnderWay) {
	if t.options.Probe == nil || t.isLeaving(server) {
		return
	}
	t.mutex.Lock()
	at := t.lifeLocked(server.Incarnation(), underWay.Began)
	if _, over := t.ended[at]; over {
		t.addLocked(at, map[quarantine.Fingerprint]UnderWay{fingerprint: underWay})
	} else if broken := t.noteBreakLocked(fingerprint, server, at, underWay); replaced(t.options.Directory.Snapshot(), broken) {
		t.endLocked(broken, evidenceReplaced)
	}
	t.updateLocked()
	waits := t.suspicionLocked(fingerprint).Settling
	t.mutex.Unlock()
	t.signal()
	if waits {
		// Whoever would run the request next is to know before.
		t.options.Changed()
	}
}

// Answered takes a whole answer of a server to a request that was sent at began, so that
// neither did the request crash the server, nor has the server ended before.
func (t *Tracker) Answered(fingerprint quarantine.Fingerprint, server directory.Incarnation, began time.Time) {
	t.mutex.Lock()
	broken := t.breaks[t.lifeLocked(server, began)]
	lives := broken != nil && began.After(broken.brokeAt)
	if lives {
		t.dropLocked(broken)
	}
	changed := t.clearLocked(fingerprint) || lives
	if changed {
		t.updateLocked()
	}
	t.mutex.Unlock()
	if changed {
		t.signal()
	}
}

// clearLocked forgets all that is known against a request.
func (t *Tracker) clearLocked(fingerprint quarantine.Fingerprint) (changed bool) {
	for _, broken := range t.breaks {
		if broken.ran(fingerprint) {
			delete(broken.requests, fingerprint)
			changed = true
		}
	}
	confirmed := t.ledger.IsConfirmed(fingerprint)
	cleared := t.ledger.Clear(fingerprint)
	t.unshareLocked(cleared)
	if confirmed {
		t.takeBackLocked(verdictOn(fingerprint))
	}
	return changed || len(cleared) > 0
}

// Release forgets a request that an operator lets run again; it returns false for one against
// which nothing is known.
func (t *Tracker) Release(fingerprint quarantine.Fingerprint) bool {
	t.mutex.Lock()
	changed := t.clearLocked(fingerprint)
	t.updateLocked()
	t.mutex.Unlock()
	if changed {
		t.options.Logger.Info("request released by an operator", zap.String("fingerprint", fingerprint.Short()))
		t.signal()
	}
	return changed
}

// Cases returns the requests under which servers ended, for operators: the times are this machine's time of day.
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

// Held returns the number of requests that are held.
func (t *Tracker) Held() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.held)
}

// mostLogged bounds the fingerprints in one log line.
const mostLogged = 8

func shortForms(fingerprints []quarantine.Fingerprint) []string {
	var texts []string
	for _, fingerprint := range fingerprints[:min(len(fingerprints), mostLogged)] {
		texts = append(texts, fingerprint.Short())
	}
	return texts
}

// updateLocked notes what has changed by the last inputs.
func (t *Tracker) updateLocked() {
	for fingerprint := range t.held {
		if !t.ledger.Suspicion(clock.Now(), fingerprint).Proved {
			delete(t.held, fingerprint)
			t.options.Logger.Info("request no longer held", zap.String("fingerprint", fingerprint.Short()))
		}
	}
	for _, fingerprint := range t.ledger.Proved() {
		if t.held[fingerprint].IsZero() {
			t.held[fingerprint] = clock.Now()
			t.logHeld(t.ledger.Case(fingerprint))
		}
	}
	t.active.Store(t.ledger.Len() > 0 || len(t.breaks) > 0 || len(t.ended) > 0)
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

// signal has the goroutines of Run look at what there is to do.
func (t *Tracker) signal() {
	for _, wake := range []chan struct{}{t.wake, t.unsentWake, t.changedWake} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// sweepInterval is the time between two sweeps of what is no longer of use.
const sweepInterval = time.Second

// Run settles, shares and learns until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	var background conc.WaitGroup
	defer background.Wait()
	background.Go(func() { t.tell(ctx) })
	if t.options.Log != nil {
		background.Go(func() { t.follow(ctx) })
		background.Go(func() { t.publish(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		for _, broken := range t.unprobed() {
			background.Go(func() { t.probe(ctx, broken) })
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

// tellInterval is the shortest time between two tellings that something has changed: many servers
// may crash at once, and whoever is told looks at all that is known.
const tellInterval = 20 * time.Millisecond

// tell has the options' Changed called after changes.
func (t *Tracker) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changedWake:
			t.options.Changed()
		}
		if !pause.For(ctx, tellInterval) {
			return
		}
	}
}

// endedFor is how long a server's end is remembered for what is still to break there.
const endedFor = 10 * time.Second
