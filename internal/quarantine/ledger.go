package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/placement"
)

// Number of servers that may end under a request before it is held. Each costs seconds of a server
// and everything else that server was running.
const (
	// minEndsProven is the number of ends attributed to a request that prove it to be the cause:
	// fewer may be chance, since servers also crash by themselves. The requirement is at most three
	// more sends after the third end; a hold at the third leaves room for sends already in flight.
	minEndsProven = 3
	// minEndsProgressed is the number for a request that produced events before a server ended: a
	// long request may meet several unrelated crashes. A hold at the fifth end uses two of the three
	// sends that the requirement allows after the third.
	minEndsProgressed = 5
	// minEndsAmbiguous is the number from which on a request is delayed if it shares its ends with
	// others, so that the cause is ambiguous. It then runs apart from the others, and a single end
	// of a server that ran no other suspected request proves it.
	minEndsAmbiguous = 5
)

const (
	// ambiguousDelay is the mean delay of an ambiguous request after its last end, at
	// minEndsAmbiguous; it doubles with each further end. Requests get different delays, so that
	// one of them runs without the others and is either answered or proven to be the cause. Nodes
	// also differ, so that one of them tries first.
	ambiguousDelay = time.Second
	// maxDelayDoublings bounds that delay at about a minute.
	maxDelayDoublings = 6
)

const (
	// retention is how long after its last end a request is forgotten. A wrong decision blocks a
	// caller's request for that time; a right one costs three more servers each time it is
	// forgotten, at ten minutes one in 200 s.
	retention = 10 * time.Minute
	// maxEnds bounds the ends in a ledger, at about 200 bytes each. A crash of an engine adds one
	// per slot.
	maxEnds = 8192
)

// End records that a server ended while it ran a request.
type End struct {
	Fingerprint Fingerprint
	Server      directory.Incarnation
	// At is the latest time at which the server can have ended, by the clock of the node that holds
	// the ledger.
	At time.Time
	// Progressed says that the request had produced events at the server.
	Progressed bool
}

// Suspicion is what is known against a request.
type Suspicion struct {
	// Ends is the number of servers that ended under the request since its last response.
	Ends int
	// ProbePending says that one more end would have the request held, and that probes are still
	// running. The request must wait for them, a fraction of a second.
	ProbePending bool
	// Held requests are not sent to servers: until the ends expire if Proven, else for a short
	// delay.
	Held   bool
	Proven bool
	// Ambiguous requests share their ends with others; each node runs one at a time.
	Ambiguous bool
}

// WithPossibleEnd returns the suspicion with one more server that may have ended.
func (s Suspicion) WithPossibleEnd() Suspicion {
	if s.Held {
		return s
	}
	s.Ends++
	s.ProbePending = s.ProbePending || s.Ends >= minEndsProven
	return s
}

// Ledger records which servers ended under which requests. It does no I/O and is not safe for
// concurrent use.
//
// The end of a server implicates everything it was running, so one end is no evidence: it is
// attributed to the request with the most ends among those the server was running, and to none if
// several have as many. Any response clears a request, since a request that should be held crashes
// every server that starts to run it.
type Ledger struct {
	// endsByRequest holds the ends by request; requestsByServer holds the requests of the same ends by
	// server.
	endsByRequest    map[Fingerprint]map[directory.Incarnation]End
	requestsByServer map[directory.Incarnation]map[Fingerprint]bool
	count            int
	// confirmed are the requests whose proof is confirmed. They remain held until they are cleared,
	// for example by a response: later ends of other requests say nothing about the earlier ends.
	confirmed map[Fingerprint]bool
	// node is the node that holds the ledger.
	node string
	// evicted are the evicted ends that TakeEvicted has not returned yet.
	evicted []End
}

// NewLedger returns an empty ledger of a node.
func NewLedger(node string) *Ledger {
	return &Ledger{
		node: node, confirmed: make(map[Fingerprint]bool),
		endsByRequest:    make(map[Fingerprint]map[directory.Incarnation]End),
		requestsByServer: make(map[directory.Incarnation]map[Fingerprint]bool),
	}
}

// Len returns the number of recorded ends.
func (l *Ledger) Len() int { return l.count }

// HasEnds reports whether an end of any server under the request is recorded.
func (l *Ledger) HasEnds(fingerprint Fingerprint) bool { return len(l.endsByRequest[fingerprint]) > 0 }

// Add records an end and returns true. For a known end it keeps the earlier time, as neither is
// before the actual end, and returns false.
func (l *Ledger) Add(end End) bool {
	if known, found := l.endsByRequest[end.Fingerprint][end.Server]; found {
		if end.At.Before(known.At) {
			known.At = end.At
			l.endsByRequest[end.Fingerprint][end.Server] = known
		}
		return false
	}
	if l.count >= maxEnds {
		l.evict()
	}
	if l.endsByRequest[end.Fingerprint] == nil {
		l.endsByRequest[end.Fingerprint] = make(map[directory.Incarnation]End)
	}
	l.endsByRequest[end.Fingerprint][end.Server] = end
	if l.requestsByServer[end.Server] == nil {
		l.requestsByServer[end.Server] = make(map[Fingerprint]bool)
	}
	l.requestsByServer[end.Server][end.Fingerprint] = true
	l.count++
	return true
}

// Remove removes one end; it returns false if the end is unknown.
func (l *Ledger) Remove(fingerprint Fingerprint, server directory.Incarnation) bool {
	if _, found := l.endsByRequest[fingerprint][server]; !found {
		return false
	}
	delete(l.endsByRequest[fingerprint], server)
	if len(l.endsByRequest[fingerprint]) == 0 {
		delete(l.endsByRequest, fingerprint)
		delete(l.confirmed, fingerprint)
	}
	delete(l.requestsByServer[server], fingerprint)
	if len(l.requestsByServer[server]) == 0 {
		delete(l.requestsByServer, server)
	}
	l.count--
	return true
}

// Clear removes all ends of a request and returns them, ordered by server.
func (l *Ledger) Clear(fingerprint Fingerprint) []End {
	var cleared []End
	for _, server := range l.serversOf(fingerprint) {
		cleared = append(cleared, l.endsByRequest[fingerprint][server])
		l.Remove(fingerprint, server)
	}
	return cleared
}

func (l *Ledger) serversOf(fingerprint Fingerprint) []directory.Incarnation {
	return slices.SortedFunc(maps.Keys(l.endsByRequest[fingerprint]), directory.Incarnation.Compare)
}

// evictDivisor is the inverse of the fraction of requests that are evicted at once, so that sorting
// all of them is rare.
const evictDivisor = 8

// evict drops the least suspected requests; on ties, those whose last end is the oldest.
func (l *Ledger) evict() {
	ordered := slices.SortedFunc(maps.Keys(l.endsByRequest), l.compareSuspicion)
	for _, fingerprint := range ordered[:(len(ordered)+evictDivisor-1)/evictDivisor] {
		l.evicted = append(l.evicted, l.Clear(fingerprint)...)
	}
}

// TakeEvicted returns the ends evicted since the last call.
func (l *Ledger) TakeEvicted() []End {
	taken := l.evicted
	l.evicted = nil
	return taken
}

func (l *Ledger) compareSuspicion(a, b Fingerprint) int {
	return cmp.Or(
		cmp.Compare(len(l.endsByRequest[a]), len(l.endsByRequest[b])),
		l.lastEnd(a).Compare(l.lastEnd(b)),
		slices.Compare(a[:], b[:]),
	)
}

// lastEnd returns the time of a request's last end.
func (l *Ledger) lastEnd(fingerprint Fingerprint) time.Time {
	var last time.Time
	for _, end := range l.endsByRequest[fingerprint] {
		if end.At.After(last) {
			last = end.At
		}
	}
	return last
}

// EndTime returns the latest time at which a server can have ended; known is false if it ended
// under no request.
func (l *Ledger) EndTime(server directory.Incarnation) (at time.Time, known bool) {
	for fingerprint := range l.requestsByServer[server] {
		if end := l.endsByRequest[fingerprint][server]; !known || end.At.Before(at) {
			at, known = end.At, true
		}
	}
	return at, known
}

// MergeTimes takes over the times of common ends from another ledger of the same node where they
// are earlier.
func (l *Ledger) MergeTimes(from *Ledger) {
	for fingerprint, ends := range l.endsByRequest {
		for server := range ends {
			if known, found := from.endsByRequest[fingerprint][server]; found {
				l.Add(known)
			}
		}
	}
}

// Expire removes the requests whose last end is older than the retention, and returns their ends.
func (l *Ledger) Expire(now time.Time) []End {
	var expired []End
	maps.DeleteFunc(l.confirmed, func(fingerprint Fingerprint, _ bool) bool { return !l.HasEnds(fingerprint) })
	for fingerprint := range maps.Clone(l.endsByRequest) {
		if now.Sub(l.lastEnd(fingerprint)) >= retention {
			expired = append(expired, l.Clear(fingerprint)...)
		}
	}
	return expired
}

// Suspicion returns the suspicion of a request at now.
func (l *Ledger) Suspicion(now time.Time, fingerprint Fingerprint) Suspicion {
	suspicion := Suspicion{Ends: len(l.endsByRequest[fingerprint])}
	if suspicion.Ends < minEndsProven {
		return suspicion
	}
	suspicion.Proven = l.isProven(fingerprint)
	suspicion.Ambiguous = !suspicion.Proven && suspicion.Ends >= minEndsAmbiguous
	suspicion.Held = suspicion.Proven || suspicion.Ambiguous && now.Before(l.HoldExpiry(fingerprint))
	return suspicion
}

// isProven reports whether a request is proven to end servers.
func (l *Ledger) isProven(fingerprint Fingerprint) bool {
	ends := len(l.endsByRequest[fingerprint])
	switch {
	case ends < minEndsProven:
		return false
	case l.confirmed[fingerprint]:
		return true
	case ends >= minEndsAmbiguous && l.hasExclusiveEnd(fingerprint):
		return true
	}
	return l.attributedEnds(fingerprint) >= l.requiredEnds(fingerprint)
}

// hasExclusiveEnd reports whether a server ended that ran no other suspected request.
func (l *Ledger) hasExclusiveEnd(fingerprint Fingerprint) bool {
	for server := range l.endsByRequest[fingerprint] {
		if len(l.requestsByServer[server]) == 1 {
			return true
		}
	}
	return false
}

// Confirm makes a proof stand until the request is cleared; it returns false if it already does.
func (l *Ledger) Confirm(fingerprint Fingerprint) bool {
	if l.confirmed[fingerprint] {
		return false
	}
	l.confirmed[fingerprint] = true
	return true
}

// IsConfirmed reports whether the proof of a request stands until it is cleared.
func (l *Ledger) IsConfirmed(fingerprint Fingerprint) bool { return l.confirmed[fingerprint] }

// Unconfirm removes a confirmation.
func (l *Ledger) Unconfirm(fingerprint Fingerprint) { delete(l.confirmed, fingerprint) }

// requiredEnds returns the number of attributed ends from which on a request is held.
func (l *Ledger) requiredEnds(fingerprint Fingerprint) int {
	for _, end := range l.endsByRequest[fingerprint] {
		if end.Progressed {
			return minEndsProgressed
		}
	}
	return minEndsProven
}

func (l *Ledger) isAmbiguous(fingerprint Fingerprint) bool {
	return len(l.endsByRequest[fingerprint]) >= minEndsAmbiguous && !l.isProven(fingerprint)
}

// attributedEnds returns the number of ends attributed to a request.
func (l *Ledger) attributedEnds(fingerprint Fingerprint) int {
	count := 0
	for server := range l.endsByRequest[fingerprint] {
		if l.isMainSuspect(fingerprint, server) {
			count++
		}
	}
	return count
}

// isMainSuspect reports whether an end is attributed to a request: every other request that the
// server was running has fewer ends and is not confirmed.
func (l *Ledger) isMainSuspect(fingerprint Fingerprint, server directory.Incarnation) bool {
	for other := range l.requestsByServer[server] {
		if other == fingerprint {
			continue
		}
		if l.confirmed[other] || len(l.endsByRequest[other]) >= len(l.endsByRequest[fingerprint]) {
			return false
		}
	}
	return true
}

// HoldExpiry returns when the hold of a request expires.
func (l *Ledger) HoldExpiry(fingerprint Fingerprint) time.Time {
	if l.isAmbiguous(fingerprint) {
		return l.lastEnd(fingerprint).Add(l.holdDelay(fingerprint))
	}
	return l.lastEnd(fingerprint).Add(retention)
}

// holdDelay returns the delay of an ambiguous request: 0.5 to 1.5 times the mean, by the request
// and its number of ends, plus up to one mean by the node.
func (l *Ledger) holdDelay(fingerprint Fingerprint) time.Duration {
	ends := len(l.endsByRequest[fingerprint])
	mean := ambiguousDelay << min(ends-minEndsAmbiguous, maxDelayDoublings)
	key := fingerprint.String() + strconv.Itoa(ends)
	return time.Duration((0.5 + hashFraction(key, "") + hashFraction(key, l.node)) * float64(mean))
}

// hashFraction returns a pseudorandom number in [0, 1) for a key and a node.
func hashFraction(key, node string) float64 {
	return float64(placement.Score(node, key)>>11) / (1 << 53)
}

// Case is a request under which servers ended, for operators.
type Case struct {
	Fingerprint Fingerprint
	// Held says that the request is held until its ends expire.
	Held bool
	// Ends are ordered by time.
	Ends []End
}

// Cases returns the requests under which servers ended, the most suspected first.
func (l *Ledger) Cases() []Case {
	var cases []Case
	for _, fingerprint := range slices.SortedFunc(maps.Keys(l.endsByRequest), func(a, b Fingerprint) int { return l.compareSuspicion(b, a) }) {
		cases = append(cases, l.Case(fingerprint))
	}
	return cases
}

// Case returns what is known against a request.
func (l *Ledger) Case(fingerprint Fingerprint) Case {
	result := Case{Fingerprint: fingerprint, Held: l.isProven(fingerprint)}
	for _, server := range l.serversOf(fingerprint) {
		result.Ends = append(result.Ends, l.endsByRequest[fingerprint][server])
	}
	slices.SortStableFunc(result.Ends, func(a, b End) int { return a.At.Compare(b.At) })
	return result
}

// ProvenRequests returns the requests that are held until their ends expire.
func (l *Ledger) ProvenRequests() []Fingerprint {
	var proven []Fingerprint
	for fingerprint, ends := range l.endsByRequest {
		if len(ends) >= minEndsProven && l.isProven(fingerprint) {
			proven = append(proven, fingerprint)
		}
	}
	return proven
}
