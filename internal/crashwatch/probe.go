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
	// probeSequenceTimeout bounds how long a request waits for the probes.
	probeSequenceTimeout = firstProbeDelay + secondProbeDelay + 2*probeTimeout
	// replacementTimeout is how long a server whose end was not detected by probes is watched for a
	// new incarnation, or for another server at its address: machines restart within seconds.
	replacementTimeout = 8 * time.Second
	// maxRequestsPerEnd bounds the requests recorded per server end: more than a server runs at
	// once, and as many as fit into one write.
	maxRequestsPerEnd = 256
)

// disconnectedServer is a server that broke connections and may have ended.
type disconnectedServer struct {
	incarnation directory.Incarnation
	// laterThanListed is set if the list still shows an earlier incarnation.
	laterThanListed bool
	address         string
	service         string
	// firstBreakAt is when the first connection broke.
	firstBreakAt time.Time
	// requests were in flight on the broken connections.
	requests map[quarantine.Fingerprint]InFlightRequest
	// probeStarted says that the probes have begun; probesDone is closed when they are over.
	probeStarted bool
	probesDone   chan struct{}
}

func (b *disconnectedServer) wasRunning(fingerprint quarantine.Fingerprint) bool {
	_, under := b.requests[fingerprint]
	return under
}

func (b *disconnectedServer) isProbing() bool {
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
func (t *Tracker) recordBreakLocked(fingerprint quarantine.Fingerprint, server directory.Server, incarnation directory.Incarnation, request InFlightRequest) *disconnectedServer {
	disconnected := t.disconnectedServers[incarnation]
	if disconnected == nil {
		disconnected = &disconnectedServer{
			incarnation: incarnation, laterThanListed: incarnation != server.Incarnation(), address: server.Address, service: server.Service, firstBreakAt: clock.Now(),
			requests: make(map[quarantine.Fingerprint]InFlightRequest), probesDone: make(chan struct{}),
		}
		t.disconnectedServers[incarnation] = disconnected
	}
	if len(disconnected.requests) < maxRequestsPerEnd {
		disconnected.requests[fingerprint] = request
	}
	return disconnected
}

// ObserveServers detects servers that broke connections and have been replaced in the list.
func (t *Tracker) ObserveServers() {
	if !t.Active() {
		return
	}
	t.mutex.Lock()
	snapshot := t.options.Directory.Snapshot()
	var ended []*disconnectedServer
	for _, disconnected := range t.disconnectedServers {
		if isReplaced(snapshot, disconnected) {
			ended = append(ended, disconnected)
		}
	}
	for _, disconnected := range ended {
		t.recordServerEndLocked(disconnected, evidenceReplaced)
	}
	t.updateLocked()
	t.mutex.Unlock()
	if len(ended) > 0 {
		t.signal()
	}
}

// isReplaced reports whether the list shows a later incarnation of the server, or another server at
// its address. The address of a server that shuts down as planned is reused only after its last
// connection closed. For an incarnation later than the listed one the result is false, since the list may show that
// very incarnation next.
func isReplaced(snapshot *directory.Snapshot, disconnected *disconnectedServer) bool {
	if disconnected.laterThanListed {
		return false
	}
	found := false
	snapshot.All(func(server *directory.Server) {
		switch {
		case server.ID == disconnected.incarnation.ID:
			found = found || !disconnected.incarnation.MayBeSame(server.Incarnation())
		case server.Address == disconnected.address && server.Service == disconnected.service:
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
func (t *Tracker) recordServerEndLocked(disconnected *disconnectedServer, evidence string) {
	t.stopWatchingLocked(disconnected)
	t.ended[disconnected.incarnation] = clock.Now()
	added := t.addEndsLocked(disconnected.incarnation, disconnected.requests)
	t.options.Observer.ObserveServerEnd(evidence, len(disconnected.requests))
	t.options.Logger.Info("server ended under requests", zap.String("server", disconnected.incarnation.ID), zap.Int64("born", disconnected.incarnation.Born),
		zap.String("service", disconnected.service), zap.String("evidence", evidence), zap.Int("requests", len(disconnected.requests)),
		zap.Strings("fingerprints", shortForms(added)), zap.Duration("after", clock.Since(disconnected.firstBreakAt)))
}

// stopWatchingLocked stops watching a server and releases the requests that wait for its probes.
func (t *Tracker) stopWatchingLocked(disconnected *disconnectedServer) {
	delete(t.disconnectedServers, disconnected.incarnation)
	disconnected.markProbesDone()
}

func (b *disconnectedServer) markProbesDone() {
	if b.isProbing() {
		close(b.probesDone)
	}
}

// AwaitProbes waits for the probes of all servers that broke a connection of the request.
func (t *Tracker) AwaitProbes(ctx context.Context, fingerprint quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, probeSequenceTimeout)
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
	for _, disconnected := range t.disconnectedServers {
		if disconnected.wasRunning(fingerprint) && disconnected.isProbing() {
			waits = append(waits, disconnected.probesDone)
		}
	}
	return waits
}

// takeUnprobed returns the servers that need probes and marks them as started.
func (t *Tracker) takeUnprobed() []*disconnectedServer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var waiting []*disconnectedServer
	for _, disconnected := range t.disconnectedServers {
		if !disconnected.probeStarted {
			disconnected.probeStarted = true
			waiting = append(waiting, disconnected)
		}
	}
	return waiting
}

var errProbeDelayed = eris.New("node stalled between probes")

// probe probes a server and records the result.
func (t *Tracker) probeTwice(ctx context.Context, disconnected *disconnectedServer) {
	refused, err := t.refusesBothProbes(ctx, disconnected.address)
	if err != nil {
		t.options.Logger.Info("probe aborted", zap.String("server", disconnected.incarnation.ID), zap.Error(err))
	}
	t.finishProbes(disconnected, refused)
}

// finishProbes records the result of a server's probes.
func (t *Tracker) finishProbes(disconnected *disconnectedServer, refused bool) {
	t.mutex.Lock()
	if t.disconnectedServers[disconnected.incarnation] == disconnected && refused {
		t.recordServerEndLocked(disconnected, evidenceRefused)
	}
	disconnected.markProbesDone()
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
