package crashwatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/pause"
	"dalehook/internal/quarantine"
)

// Probe tries to open a connection to a server and closes it. Its result is one of the Reach.
type Probe func(ctx context.Context, address string) Reach

// Reach is what a probe found.
type Reach int

// What probes find.
const (
	// ReachUnknown: there was no answer, or none that says anything.
	ReachUnknown Reach = iota
	// ReachOpen: something takes connections at the address.
	ReachOpen
	// ReachRefused: the machine is there, and no process takes connections.
	ReachRefused
)

// The settling of whether a server has ended.
const (
	// firstProbe is when a server is probed after it broke a connection: one that crashes closes
	// its connections a moment before or after its listener.
	firstProbe = 30 * time.Millisecond
	// secondProbe is the time to the second probe. A server that is only short of connections
	// for a moment refuses one, and hardly two.
	secondProbe = 120 * time.Millisecond
	// probeTimeout bounds a probe: a server answers within some milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeLate is by how much a step of these may come too late. A node that stood still
	// can not tell a crash from a planned end that it slept through.
	probeLate = 500 * time.Millisecond
	// settleTimeout bounds the wait of a request for all of that.
	settleTimeout = firstProbe + secondProbe + 2*probeTimeout
	// listPatience is how long a server that was not found to have ended may be listed under a new
	// birth, or replaced at its address: machines are back within some seconds.
	listPatience = 8 * time.Second
	// mostUnderWay bounds the requests that are put to the account of one server's end: more than
	// a server takes at once, and as many as are written by one call.
	mostUnderWay = 256
)

// brokenServer is a server that broke connections.
type brokenServer struct {
	server directory.Incarnation
	// unlisted says that the list does not show this life yet, but one before.
	unlisted bool
	address  string
	service  string
	// brokeAt is when the first connection broke.
	brokeAt time.Time
	// requests were under way there.
	requests map[quarantine.Fingerprint]UnderWay
	// probed says that the probes have begun, settled is closed once they are over.
	probed  bool
	settled chan struct{}
}

func (b *brokenServer) ran(fingerprint quarantine.Fingerprint) bool {
	_, under := b.requests[fingerprint]
	return under
}

func (b *brokenServer) settling() bool {
	select {
	case <-b.settled:
		return false
	default:
		return true
	}
}

// toldMargin is by how much later than an end that another node found a request must have begun to have met a
// later life. What is sent right after the end may still go out on a connection of the life that ended, and no
// server is back sooner.
const toldMargin = 500 * time.Millisecond

// laterLife names the life of a server after one that ended, which the list does not show yet. All nodes give it the
// same name, so that a crash which several of them see counts once. It is none that a server tells: births are
// seconds apart.
func laterLife(ended directory.Incarnation) directory.Incarnation {
	return directory.Incarnation{ID: ended.ID, Born: ended.Born + 1}
}

// lifeLocked returns the life of a server that a request met which began at a time. A server
// that is back under its id is listed anew only seconds later, and not at all at a node without the store: what
// began after the end of the life that is listed met a later one.
func (t *Tracker) lifeLocked(listed directory.Incarnation, began time.Time) directory.Incarnation {
	life := listed
	for t.endedBeforeLocked(life, began) {
		life = laterLife(life)
	}
	return life
}

// endedBeforeLocked says whether a life is known to have ended before a request began. Both times are by this node's
// clock, and that of the end is no earlier than the end itself: what began before a node heard of the end is taken
// to have met the life that ended, so that no crash counts twice.
func (t *Tracker) endedBeforeLocked(life directory.Incarnation, began time.Time) bool {
	if foundAt, found := t.ended[life]; found {
		return began.After(foundAt)
	}
	endedAt, told := t.ledger.EndOf(life)
	return told && began.After(endedAt.Add(toldMargin))
}

// isLeaving says whether a server is to end by plan: what it breaks off then is nobody's fault.
func (t *Tracker) isLeaving(server directory.Server) bool {
	listed := t.options.Directory.Find(server.ID)
	return listed == nil || listed.Draining && listed.Incarnation().IsSameLife(server.Incarnation())
}

// noteBreakLocked takes a break at a life of a server, which may be a later one than is listed.
func (t *Tracker) noteBreakLocked(fingerprint quarantine.Fingerprint, server directory.Server, at directory.Incarnation, underWay UnderWay) *brokenServer {
	broken := t.breaks[at]
	if broken == nil {
		broken = &brokenServer{
			server: at, unlisted: at != server.Incarnation(), address: server.Address, service: server.Service, brokeAt: clock.Now(),
			requests: make(map[quarantine.Fingerprint]UnderWay), settled: make(chan struct{}),
		}
		t.breaks[at] = broken
	}
	if len(broken.requests) < mostUnderWay {
		broken.requests[fingerprint] = underWay
	}
	return broken
}

// ObserveServers looks for servers that broke connections and were replaced since.
func (t *Tracker) ObserveServers() {
	if !t.Active() {
		return
	}
	t.mutex.Lock()
	snapshot := t.options.Directory.Snapshot()
	var ended []*brokenServer
	for _, broken := range t.breaks {
		if replaced(snapshot, broken) {
			ended = append(ended, broken)
		}
	}
	for _, broken := range ended {
		t.endLocked(broken, evidenceReplaced)
	}
	t.updateLocked()
	t.mutex.Unlock()
	if len(ended) > 0 {
		t.signal()
	}
}

// replaced says whether the list shows a later life of a server, or another one at its address. A
// server that leaves by plan gives its address away later than it breaks its last connection.
// Of a life that is not listed the list tells nothing: what it shows next may be that life.
func replaced(snapshot *directory.Snapshot, broken *brokenServer) bool {
	if broken.unlisted {
		return false
	}
	found := false
	snapshot.All(func(server *directory.Server) {
		switch {
		case server.ID == broken.server.ID:
			found = found || !broken.server.IsSameLife(server.Incarnation())
		case server.Address == broken.address && server.Service == broken.service:
			found = true
		}
	})
	return found
}

// What shows that a server has ended.
const (
	// evidenceRefused: its machine refuses connections to it, twice.
	evidenceRefused = "connections refused"
	// evidenceReplaced: a later life of it is listed, or another server at its address.
	evidenceReplaced = "replaced in the list"
)

// endLocked takes that a server has ended under what it was running.
func (t *Tracker) endLocked(broken *brokenServer, evidence string) {
	t.dropLocked(broken)
	t.ended[broken.server] = clock.Now()
	added := t.addLocked(broken.server, broken.requests)
	t.options.Observer.ObserveServerEnd(evidence, len(broken.requests))
	t.options.Logger.Info("server ended under requests", zap.String("server", broken.server.ID), zap.Int64("born", broken.server.Born),
		zap.String("service", broken.service), zap.String("evidence", evidence), zap.Int("requests", len(broken.requests)),
		zap.Strings("fingerprints", shortForms(added)), zap.Duration("after", clock.Since(broken.brokeAt)))
}

// dropLocked ends the settling of a server.
func (t *Tracker) dropLocked(broken *brokenServer) {
	delete(t.breaks, broken.server)
	broken.close()
}

func (b *brokenServer) close() {
	if b.settling() {
		close(b.settled)
	}
}

// Settle waits until it is known of each server that broke a request off whether it has ended.
func (t *Tracker) Settle(ctx context.Context, fingerprint quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, settled := range t.unsettled(fingerprint) {
		select {
		case <-ctx.Done():
			return
		case <-settled:
		}
	}
}

func (t *Tracker) unsettled(fingerprint quarantine.Fingerprint) []chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var waits []chan struct{}
	for _, broken := range t.breaks {
		if broken.ran(fingerprint) && broken.settling() {
			waits = append(waits, broken.settled)
		}
	}
	return waits
}

// unprobed returns the servers whose probes are to begin.
func (t *Tracker) unprobed() []*brokenServer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var waiting []*brokenServer
	for _, broken := range t.breaks {
		if !broken.probed {
			broken.probed = true
			waiting = append(waiting, broken)
		}
	}
	return waiting
}

var errProbeLate = eris.New("the node stood still between probes")

// probe finds out whether a server takes connections.
func (t *Tracker) probe(ctx context.Context, broken *brokenServer) {
	refused, err := t.refusesTwice(ctx, broken.address)
	if err != nil {
		t.options.Logger.Info("server not settled", zap.String("server", broken.server.ID), zap.Error(err))
	}
	t.settle(broken, refused)
}

// settle takes what the probes of a server found.
func (t *Tracker) settle(broken *brokenServer, refused bool) {
	t.mutex.Lock()
	if t.breaks[broken.server] == broken && refused {
		t.endLocked(broken, evidenceRefused)
	}
	broken.close()
	t.updateLocked()
	t.mutex.Unlock()
	t.signal()
}

func (t *Tracker) refusesTwice(ctx context.Context, address string) (bool, error) {
	for _, wait := range []time.Duration{firstProbe, secondProbe} {
		due := clock.Now().Add(wait)
		if !pause.For(ctx, wait) {
			return false, ctx.Err()
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		reach := t.options.Probe(call, address)
		cancel()
		clock.Refresh()
		if clock.Since(due) > probeLate {
			return false, errProbeLate
		}
		if reach != ReachRefused {
			return false, nil
		}
	}
	return true, nil
}
