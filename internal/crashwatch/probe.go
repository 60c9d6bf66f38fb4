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

// Probe tries to open a connection to a server and closes it again.
type Probe func(ctx context.Context, address string) ProbeResult

// ProbeResult is the result of a probe.
type ProbeResult int

// Results of a probe.
const (
	// ProbeUnknown: no response, or an inconclusive one.
	ProbeUnknown ProbeResult = iota
	// ProbeOpen: a process accepts connections at the address.
	ProbeOpen
	// ProbeRefused: the machine is up, but no process accepts connections.
	ProbeRefused
)

// Timing and limits of detecting the end of a server.
const (
	// firstProbeDelay is the time from a broken connection to the first probe: a crashing server
	// closes its connections slightly before or after its listener.
	firstProbeDelay = 30 * time.Millisecond
	// secondProbeDelay is the time from the first to the second probe. A server that is briefly out
	// of connections may refuse one probe, but rarely two.
	secondProbeDelay = 120 * time.Millisecond
	// probeTimeout bounds a probe: a running server accepts within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// maxProbeDelay bounds how late a probe may finish after its due time. A node that was
	// suspended can't tell a crash from a planned shutdown that happened meanwhile.
	maxProbeDelay = 500 * time.Millisecond
	// probesTimeout bounds how long a request waits for the probes.
	probesTimeout = firstProbeDelay + secondProbeDelay + 2*probeTimeout
	// replacementTimeout is how long a server whose end was not detected by probes is watched for a
	// new incarnation, or for another server at its address: machines restart within seconds.
	replacementTimeout = 8 * time.Second
	// maxRequestsPerEnd bounds the requests recorded per server end: more than a server runs at
	// once, and as many as fit into one write.
	maxRequestsPerEnd = 256
)

// brokenServer is a server that broke connections and may have ended.
type brokenServer struct {
	incarnation directory.Incarnation
	// unlisted says that the list shows an earlier incarnation.
	unlisted bool
	address  string
	service  string
	// firstBreakAt is when the first connection broke.
	firstBreakAt time.Time
	// requests were in flight on the broken connections.
	requests map[quarantine.Fingerprint]InFlightRequest
	// probeStarted says that the probes have begun; probesDone is closed when they are over.
	probeStarted bool
	probesDone   chan struct{}
}

func (b *brokenServer) wasRunning(fingerprint quarantine.Fingerprint) bool {
	_, under := b.requests[fingerprint]
	return under
}

func (b *brokenServer) isProbing() bool {
	select {
	case <-b.probesDone:
		return false
	default:
		return true
	}
}

// reportedEndMargin is how long after an end reported by another node a request must have begun to
// count against the next incarnation. A request sent right after the end may still use a connection
// to the incarnation that ended, and no server restarts sooner.
const reportedEndMargin = 500 * time.Millisecond

// nextIncarnation names the successor of an incarnation that ended, while the list does not show it
// yet. All nodes use the same name, so that a crash seen by several of them counts once. It can't
// be a name that a server reports, since births are seconds apart.
func nextIncarnation(ended directory.Incarnation) directory.Incarnation {
	return directory.Incarnation{ID: ended.ID, Born: ended.Born + 1}
}

// incarnationAtLocked returns the incarnation that a request sent at sentAt ran on. A restarted
// server is listed only seconds later, and not at all by a node without the store, so a request
// sent after the end of the listed incarnation ran on a later one.
func (t *Tracker) incarnationAtLocked(listed directory.Incarnation, sentAt time.Time) directory.Incarnation {
	incarnation := listed
	for t.endedBeforeLocked(incarnation, sentAt) {
		incarnation = nextIncarnation(incarnation)
	}
	return incarnation
}

// endedBeforeLocked reports whether an incarnation is known to have ended before a request was
// sent. Both times are by this node's clock, and the recorded end is never earlier than the real
// one: a request sent before this node learned of the end counts against the incarnation that
// ended, so that no crash counts twice.
func (t *Tracker) endedBeforeLocked(incarnation directory.Incarnation, sentAt time.Time) bool {
	if foundAt, found := t.ended[incarnation]; found {
		return sentAt.After(foundAt)
	}
	endedAt, known := t.ledger.EndTime(incarnation)
	return known && sentAt.After(endedAt.Add(reportedEndMargin))
}

// isShutdownPlanned reports whether a server is draining or no longer listed, so that its broken
// connections implicate no request.
func (t *Tracker) isShutdownPlanned(server directory.Server) bool {
	listed := t.options.Directory.Find(server.ID)
	return listed == nil || listed.Draining && listed.Incarnation().MayBeSame(server.Incarnation())
}

// recordBreakLocked records a connection broken by an incarnation, which may be later than the
// listed one.
func (t *Tracker) recordBreakLocked(fingerprint quarantine.Fingerprint, server directory.Server, incarnation directory.Incarnation, request InFlightRequest) *brokenServer {
	broken := t.brokenServers[incarnation]
	if broken == nil {
		broken = &brokenServer{
			incarnation: incarnation, unlisted: incarnation != server.Incarnation(), address: server.Address, service: server.Service, firstBreakAt: clock.Now(),
			requests: make(map[quarantine.Fingerprint]InFlightRequest), probesDone: make(chan struct{}),
		}
		t.brokenServers[incarnation] = broken
	}
	if len(broken.requests) < maxRequestsPerEnd {
		broken.requests[fingerprint] = request
	}
	return broken
}

// ObserveServers detects servers that broke connections and have been replaced in the list.
func (t *Tracker) ObserveServers() {
	if !t.Active() {
		return
	}
	t.mutex.Lock()
	snapshot := t.options.Directory.Snapshot()
	var ended []*brokenServer
	for _, broken := range t.brokenServers {
		if isReplaced(snapshot, broken) {
			ended = append(ended, broken)
		}
	}
	for _, broken := range ended {
		t.recordServerEndLocked(broken, evidenceReplaced)
	}
	t.updateLocked()
	t.mutex.Unlock()
	if len(ended) > 0 {
		t.signal()
	}
}

// isReplaced reports whether the list shows a later incarnation of the server, or another server at
// its address. The address of a server that shuts down as planned is reused only after its last
// connection closed. For an unlisted incarnation the result is false, since the list may show that
// very incarnation next.
func isReplaced(snapshot *directory.Snapshot, broken *brokenServer) bool {
	if broken.unlisted {
		return false
	}
	found := false
	snapshot.All(func(server *directory.Server) {
		switch {
		case server.ID == broken.incarnation.ID:
			found = found || !broken.incarnation.MayBeSame(server.Incarnation())
		case server.Address == broken.address && server.Service == broken.service:
			found = true
		}
	})
	return found
}

// Evidence of the end of a server.
const (
	// evidenceRefused: both probes were refused.
	evidenceRefused = "connections refused"
	// evidenceReplaced: the list shows a later incarnation, or another server at its address.
	evidenceReplaced = "replaced in the list"
)

// recordServerEndLocked records that a server ended under the requests it was running.
func (t *Tracker) recordServerEndLocked(broken *brokenServer, evidence string) {
	t.stopWatchingLocked(broken)
	t.ended[broken.incarnation] = clock.Now()
	added := t.addEndsLocked(broken.incarnation, broken.requests)
	t.options.Observer.ObserveServerEnd(evidence, len(broken.requests))
	t.options.Logger.Info("server ended under requests", zap.String("server", broken.incarnation.ID), zap.Int64("born", broken.incarnation.Born),
		zap.String("service", broken.service), zap.String("evidence", evidence), zap.Int("requests", len(broken.requests)),
		zap.Strings("fingerprints", shortForms(added)), zap.Duration("after", clock.Since(broken.firstBreakAt)))
}

// stopWatchingLocked stops watching a server and releases the requests that wait for its probes.
func (t *Tracker) stopWatchingLocked(broken *brokenServer) {
	delete(t.brokenServers, broken.incarnation)
	broken.markProbesDone()
}

func (b *brokenServer) markProbesDone() {
	if b.isProbing() {
		close(b.probesDone)
	}
}

// AwaitProbes waits for the probes of all servers that broke a connection of the request.
func (t *Tracker) AwaitProbes(ctx context.Context, fingerprint quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, probesTimeout)
	defer cancel()
	for _, done := range t.pendingProbes(fingerprint) {
		select {
		case <-ctx.Done():
			return
		case <-done:
		}
	}
}

func (t *Tracker) pendingProbes(fingerprint quarantine.Fingerprint) []chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var waits []chan struct{}
	for _, broken := range t.brokenServers {
		if broken.wasRunning(fingerprint) && broken.isProbing() {
			waits = append(waits, broken.probesDone)
		}
	}
	return waits
}

// takeUnprobed returns the servers that need probes and marks them as started.
func (t *Tracker) takeUnprobed() []*brokenServer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var waiting []*brokenServer
	for _, broken := range t.brokenServers {
		if !broken.probeStarted {
			broken.probeStarted = true
			waiting = append(waiting, broken)
		}
	}
	return waiting
}

var errProbeDelayed = eris.New("node stalled between probes")

// probe probes a server and records the result.
func (t *Tracker) probe(ctx context.Context, broken *brokenServer) {
	refused, err := t.refusesBothProbes(ctx, broken.address)
	if err != nil {
		t.options.Logger.Info("probe aborted", zap.String("server", broken.incarnation.ID), zap.Error(err))
	}
	t.finishProbe(broken, refused)
}

// finishProbe records the result of a server's probes.
func (t *Tracker) finishProbe(broken *brokenServer, refused bool) {
	t.mutex.Lock()
	if t.brokenServers[broken.incarnation] == broken && refused {
		t.recordServerEndLocked(broken, evidenceRefused)
	}
	broken.markProbesDone()
	t.updateLocked()
	t.mutex.Unlock()
	t.signal()
}

func (t *Tracker) refusesBothProbes(ctx context.Context, address string) (bool, error) {
	for _, wait := range []time.Duration{firstProbeDelay, secondProbeDelay} {
		due := clock.Now().Add(wait)
		if !pause.For(ctx, wait) {
			return false, ctx.Err()
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		result := t.options.Probe(probeCtx, address)
		cancel()
		clock.Refresh()
		if clock.Since(due) > maxProbeDelay {
			return false, errProbeDelayed
		}
		if result != ProbeRefused {
			return false, nil
		}
	}
	return true, nil
}
