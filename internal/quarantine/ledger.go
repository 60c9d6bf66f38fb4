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

// How many servers may end under a request before it is held. Each costs seconds of a server
// and whatever else that one was running.
const (
	// endsProved is the number of servers whose end is put down to the request alone: less
	// would be chance where servers also crash by themselves. The users' limit is three more
	// sends after the third end; a hold at the third leaves room for sends that were under way.
	endsProved = 3
	// endsProgressed is that number for a request that made events before a server ended: it may
	// be a long one that met several crashes. It leaves one send of the users' limit.
	endsProgressed = 5
	// endsUnclear is the number from which on a request is delayed that shares its ends with
	// others, so that nothing tells which of them it was. It runs apart from the others then, and
	// one end of a server that ran nothing else suspected is enough.
	endsUnclear = 5
)

const (
	// unclearDelay is how long after its last end such a request waits at endsUnclear, on the mean;
	// twice as long with each further end. Each waits for another time, so that one of them runs
	// without the others, and is either answered or shown to be the cause; each node waits for
	// another time beside that, so that one of them tries first.
	unclearDelay = time.Second
	// mostDoublings bounds that delay, at about a minute.
	mostDoublings = 6
)

const (
	// forgetAfter is how long after the last end a request is forgotten. A wrong verdict costs
	// its caller that request for as long; a right one costs three more servers each time that it
	// is forgotten, at ten minutes one in 200 s.
	forgetAfter = 10 * time.Minute
	// mostEnds bounds the ends that are kept, some 200 bytes each. A crash of an engine brings
	// as many as it has slots.
	mostEnds = 8192
)

// End says that a server ended while it ran a request.
type End struct {
	Fingerprint Fingerprint
	Server      directory.Incarnation
	// At is when the server had ended at the latest, by the clock of the node that keeps the end.
	At time.Time
	// Progressed says that the request had made events at the server.
	Progressed bool
}

// Suspicion is what is known against a request.
type Suspicion struct {
	// Ends is the number of servers that ended under the request since it was last answered.
	Ends int
	// Settling says that one more end would have the request held, and that it is not yet known
	// whether a server ended. It is to wait, which takes a fraction of a second.
	Settling bool
	// Held requests are not sent to servers: for long once Proved, else for a short delay.
	Held   bool
	Proved bool
	// Unclear requests share their ends with others; each node runs one at a time.
	Unclear bool
}

// WithUnsettled returns the suspicion with one more server that may have ended.
func (s Suspicion) WithUnsettled() Suspicion {
	if s.Held {
		return s
	}
	s.Ends++
	s.Settling = s.Settling || s.Ends >= endsProved
	return s
}

// Ledger folds which servers ended under which requests. It does no I/O and is not safe for
// concurrent use.
//
// The end of a server implicates all that it was running, so a request is not held for being there:
// of the requests under which a server ended, the end is put down to the one that most
// servers ended under, and to none where several have as many. Any answer clears a request,
// since one that is held crashes every server that begins to run it.
type Ledger struct {
	// ends holds the ends of servers by request; suspects are the same ends by server.
	ends     map[Fingerprint]map[directory.Incarnation]End
	suspects map[directory.Incarnation]map[Fingerprint]bool
	count    int
	// confirmed are the requests whose proof has stood for a while. It stands until an answer clears
	// it: later ends of others say nothing of the ends before.
	confirmed map[Fingerprint]bool
	// node is the node that keeps the ledger.
	node string
	// evicted are the ends that gave way to newer ones and were not taken yet.
	evicted []End
}

// NewLedger returns the ledger of a node, without an end.
func NewLedger(node string) *Ledger {
	return &Ledger{
		node: node, confirmed: make(map[Fingerprint]bool),
		ends:     make(map[Fingerprint]map[directory.Incarnation]End),
		suspects: make(map[directory.Incarnation]map[Fingerprint]bool),
	}
}

// Len returns the number of ends that are kept.
func (l *Ledger) Len() int { return l.count }

// Knows says whether any server has ended under a request, as far as is kept.
func (l *Ledger) Knows(fingerprint Fingerprint) bool { return len(l.ends[fingerprint]) > 0 }

// Add takes the end of a server under a request; it returns false for one that is known, of which it keeps the
// earlier time: neither is before the server ended.
func (l *Ledger) Add(end End) bool {
	if known, found := l.ends[end.Fingerprint][end.Server]; found {
		if end.At.Before(known.At) {
			known.At = end.At
			l.ends[end.Fingerprint][end.Server] = known
		}
		return false
	}
	if l.count >= mostEnds {
		l.evict()
	}
	if l.ends[end.Fingerprint] == nil {
		l.ends[end.Fingerprint] = make(map[directory.Incarnation]End)
	}
	l.ends[end.Fingerprint][end.Server] = end
	if l.suspects[end.Server] == nil {
		l.suspects[end.Server] = make(map[Fingerprint]bool)
	}
	l.suspects[end.Server][end.Fingerprint] = true
	l.count++
	return true
}

// Remove takes one end back.
func (l *Ledger) Remove(fingerprint Fingerprint, server directory.Incarnation) bool {
	if _, known := l.ends[fingerprint][server]; !known {
		return false
	}
	delete(l.ends[fingerprint], server)
	if len(l.ends[fingerprint]) == 0 {
		delete(l.ends, fingerprint)
		delete(l.confirmed, fingerprint)
	}
	delete(l.suspects[server], fingerprint)
	if len(l.suspects[server]) == 0 {
		delete(l.suspects, server)
	}
	l.count--
	return true
}

// Clear forgets all that is known against a request and returns it, ordered by server.
func (l *Ledger) Clear(fingerprint Fingerprint) []End {
	var cleared []End
	for _, server := range l.serversOf(fingerprint) {
		cleared = append(cleared, l.ends[fingerprint][server])
		l.Remove(fingerprint, server)
	}
	return cleared
}

func (l *Ledger) serversOf(fingerprint Fingerprint) []directory.Incarnation {
	return slices.SortedFunc(maps.Keys(l.ends[fingerprint]), directory.Incarnation.Compare)
}

// evictShare is the part of the requests that are dropped at once where there are too many, so
// that looking at all of them is rare.
const evictShare = 8

// evict drops the requests that are suspected the least, and of equals those longest ago.
func (l *Ledger) evict() {
	ordered := slices.SortedFunc(maps.Keys(l.ends), l.compareSuspicion)
	for _, fingerprint := range ordered[:(len(ordered)+evictShare-1)/evictShare] {
		l.evicted = append(l.evicted, l.Clear(fingerprint)...)
	}
}

// TakeEvicted returns the ends that gave way to newer ones since it was last called.
func (l *Ledger) TakeEvicted() []End {
	taken := l.evicted
	l.evicted = nil
	return taken
}

func (l *Ledger) compareSuspicion(a, b Fingerprint) int {
	return cmp.Or(
		cmp.Compare(len(l.ends[a]), len(l.ends[b])),
		l.lastEnd(a).Compare(l.lastEnd(b)),
		slices.Compare(a[:], b[:]),
	)
}

// lastEnd returns when the last server ended under a request.
func (l *Ledger) lastEnd(fingerprint Fingerprint) time.Time {
	var last time.Time
	for _, end := range l.ends[fingerprint] {
		if end.At.After(last) {
			last = end.At
		}
	}
	return last
}

// EndOf returns when a server that ended under any of the requests had ended at the latest; known is false where it
// did under none.
func (l *Ledger) EndOf(server directory.Incarnation) (at time.Time, known bool) {
	for fingerprint := range l.suspects[server] {
		if end := l.ends[fingerprint][server]; !known || end.At.Before(at) {
			at, known = end.At, true
		}
	}
	return at, known
}

// TakeTimes keeps the times that another ledger of the same node has of the ends of this one, where they are earlier.
func (l *Ledger) TakeTimes(of *Ledger) {
	for fingerprint, ends := range l.ends {
		for server := range ends {
			if known, found := of.ends[fingerprint][server]; found {
				l.Add(known)
			}
		}
	}
}

// Expire drops the requests under which no server has ended for long, and returns their ends.
func (l *Ledger) Expire(now time.Time) []End {
	var expired []End
	maps.DeleteFunc(l.confirmed, func(fingerprint Fingerprint, _ bool) bool { return !l.Knows(fingerprint) })
	for fingerprint := range maps.Clone(l.ends) {
		if now.Sub(l.lastEnd(fingerprint)) >= forgetAfter {
			expired = append(expired, l.Clear(fingerprint)...)
		}
	}
	return expired
}

// Suspicion returns what is known against a request at a time.
func (l *Ledger) Suspicion(now time.Time, fingerprint Fingerprint) Suspicion {
	known := Suspicion{Ends: len(l.ends[fingerprint])}
	if known.Ends < endsProved {
		return known
	}
	known.Proved = l.isProved(fingerprint)
	known.Unclear = !known.Proved && known.Ends >= endsUnclear
	known.Held = known.Proved || known.Unclear && now.Before(l.HoldEnds(fingerprint))
	return known
}

// isProved says whether the ends of servers are put down to a request.
func (l *Ledger) isProved(fingerprint Fingerprint) bool {
	ends := len(l.ends[fingerprint])
	switch {
	case ends < endsProved:
		return false
	case l.confirmed[fingerprint]:
		return true
	case ends >= endsUnclear && l.hasOwnEnd(fingerprint):
		return true
	}
	return l.proved(fingerprint) >= l.needed(fingerprint)
}

// hasOwnEnd says whether a server ended that ran nothing else suspected.
func (l *Ledger) hasOwnEnd(fingerprint Fingerprint) bool {
	for server := range l.ends[fingerprint] {
		if len(l.suspects[server]) == 1 {
			return true
		}
	}
	return false
}

// Confirm has a proof stand until the request is cleared; it returns false for one that does.
func (l *Ledger) Confirm(fingerprint Fingerprint) bool {
	if l.confirmed[fingerprint] {
		return false
	}
	l.confirmed[fingerprint] = true
	return true
}

// IsConfirmed says whether a request's proof stands until it is cleared.
func (l *Ledger) IsConfirmed(fingerprint Fingerprint) bool { return l.confirmed[fingerprint] }

// Unconfirm takes a confirmation back.
func (l *Ledger) Unconfirm(fingerprint Fingerprint) { delete(l.confirmed, fingerprint) }

// Suspicions returns what is known against all requests.
func (l *Ledger) Suspicions(now time.Time) map[Fingerprint]Suspicion {
	all := make(map[Fingerprint]Suspicion, len(l.ends))
	for fingerprint := range l.ends {
		all[fingerprint] = l.Suspicion(now, fingerprint)
	}
	return all
}

// needed returns how many ends have a request held.
func (l *Ledger) needed(fingerprint Fingerprint) int {
	for _, end := range l.ends[fingerprint] {
		if end.Progressed {
			return endsProgressed
		}
	}
	return endsProved
}

func (l *Ledger) isUnclear(fingerprint Fingerprint) bool {
	return len(l.ends[fingerprint]) >= endsUnclear && !l.isProved(fingerprint)
}

// HasUnclear says whether any request is delayed now and then, so that what is known against it
// changes with time alone.
func (l *Ledger) HasUnclear() bool {
	for fingerprint := range l.ends {
		if l.isUnclear(fingerprint) {
			return true
		}
	}
	return false
}

// proved returns how many ends are put down to a request.
func (l *Ledger) proved(fingerprint Fingerprint) int {
	proved := 0
	for server := range l.ends[fingerprint] {
		if l.isCause(fingerprint, server) {
			proved++
		}
	}
	return proved
}

// isCause says whether more servers ended under a request than under each other one that a
// server ended under, none of which is known to end servers.
func (l *Ledger) isCause(fingerprint Fingerprint, server directory.Incarnation) bool {
	for other := range l.suspects[server] {
		if other == fingerprint {
			continue
		}
		if l.confirmed[other] || len(l.ends[other]) >= len(l.ends[fingerprint]) {
			return false
		}
	}
	return true
}

// HoldEnds returns when a hold of a request ends by itself.
func (l *Ledger) HoldEnds(fingerprint Fingerprint) time.Time {
	if l.isUnclear(fingerprint) {
		return l.lastEnd(fingerprint).Add(l.delayOf(fingerprint))
	}
	return l.lastEnd(fingerprint).Add(forgetAfter)
}

// delayOf returns the delay of an unclear request: half to one and a half of the mean by the request and
// its number of ends, and up to a mean more by the node.
func (l *Ledger) delayOf(fingerprint Fingerprint) time.Duration {
	ends := len(l.ends[fingerprint])
	mean := unclearDelay << min(ends-endsUnclear, mostDoublings)
	key := fingerprint.String() + strconv.Itoa(ends)
	return time.Duration((0.5 + shareOf(key, "") + shareOf(key, l.node)) * float64(mean))
}

// shareOf returns a number from 0 up to 1 that differs for each key and holder.
func shareOf(key, holder string) float64 {
	return float64(placement.Score(holder, key)>>11) / (1 << 53)
}

// Case is a request that servers ended under, for operators.
type Case struct {
	Fingerprint Fingerprint
	// Held says that the request is held for good, as far as nodes go.
	Held bool
	// Ends are ordered by time.
	Ends []End
}

// Cases returns the requests under which servers ended, the most suspected first.
func (l *Ledger) Cases() []Case {
	var cases []Case
	for _, fingerprint := range slices.SortedFunc(maps.Keys(l.ends), func(a, b Fingerprint) int { return l.compareSuspicion(b, a) }) {
		cases = append(cases, l.Case(fingerprint))
	}
	return cases
}

// Case returns what is known against a request.
func (l *Ledger) Case(fingerprint Fingerprint) Case {
	known := Case{Fingerprint: fingerprint, Held: l.isProved(fingerprint)}
	for _, server := range l.serversOf(fingerprint) {
		known.Ends = append(known.Ends, l.ends[fingerprint][server])
	}
	slices.SortStableFunc(known.Ends, func(a, b End) int { return a.At.Compare(b.At) })
	return known
}

// Proved returns the requests that are held for good, as far as nodes go.
func (l *Ledger) Proved() []Fingerprint {
	var proved []Fingerprint
	for fingerprint, ends := range l.ends {
		if len(ends) >= endsProved && l.isProved(fingerprint) {
			proved = append(proved, fingerprint)
		}
	}
	return proved
}
