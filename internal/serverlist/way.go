package serverlist

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stale is the age of the relay's last record beyond which it counts as silent.
func (l *List) stale() time.Duration { return share(l.options.LeaveBound, staleShare) }

func share(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }

// silentLocked returns for how long nobody else has told anything, as far as this node read. A relay that
// can not be read is not silent: all nodes would read the heartbeats when the store comes back, and
// keep it down by that.
func (l *List) silentLocked() time.Duration {
	if l.contactSince.IsZero() {
		return 0
	}
	since := l.contactSince
	if l.relay.toldByOthersAt.After(since) {
		since = l.relay.toldByOthersAt
	}
	return l.contactAt.Sub(since)
}

// Way is how a list is kept up to date, for metrics.
type Way int

// The ways.
const (
	// WayNone: no list is known yet.
	WayNone Way = iota
	// WayHeartbeats: the heartbeats are read.
	WayHeartbeats
	// WayRelay: the relay is followed.
	WayRelay
)

// Way returns how the list is kept up to date now.
func (l *List) Way() Way {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !l.complete:
		return WayNone
	case l.direct:
		return WayHeartbeats
	}
	return WayRelay
}

// Large says whether the fleet is one whose list is relayed, by what this node has
// or by what the relay told it.
func (l *List) Large() bool {
	count := l.options.Directory.Snapshot().Count()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.crowded || max(count, l.relay.total) >= l.options.LargeFleet
}

// relayedLocked says whether a relay tells the list of a large fleet. That of a small one, which was large
// before, is followed by nobody.
func (l *List) relayedLocked() bool {
	return l.relay.servers != nil && (l.crowded || l.relay.total >= l.options.LargeFleet)
}

// checkPause returns the time until the next look at how the list is read.
func (l *List) checkPause() time.Duration {
	if l.Large() {
		return checkInterval
	}
	return smallInterval
}

// wantsDirect says whether this node is to read the heartbeats itself.
func (l *List) wantsDirect(now time.Time) bool {
	if l.options.Leading() {
		return true
	}
	large := l.Large()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.complete && !large:
		return true
	case !l.relayedLocked() && !l.crowded:
		// No relay is there, and the list fitted a page: it may grow.
		return l.sized
	case l.direct:
		return l.silentLocked() > l.stale()
	case l.complete:
		// The relay is followed. Few nodes are early to take its place.
		return l.silentLocked() > l.stale()+l.relaySpread()
	case !l.relayedLocked():
		return l.unrelayedLocked(now) || now.Sub(l.startedAt) > bootPatience+l.spread(bootSpread)
	}
	// A snapshot was read, and nobody has told what changed since.
	return l.relayRead && now.Sub(l.relayReadAt) > startPatience+l.relaySpread() && l.silentLocked() > l.stale()
}

// unrelayedLocked says whether this node is to read the heartbeats of a fleet that is running and whose list
// nobody relays in this node's way: the coordinator may be of another build. The first to do so relays for
// the others of its build. The nodes of a fleet that has just begun wait for its first coordinator instead.
func (l *List) unrelayedLocked(now time.Time) bool {
	return l.options.Established() && l.relayRead && now.Sub(l.relayReadAt) > startPatience+l.relaySpread()
}

// spread is this node's share of a time in which nodes begin to read heartbeats.
func (l *List) spread(all time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(l.options.Self)>>11) / (1 << 53)
	return time.Duration(float64(all) * math.Pow(share, relayHaste))
}

func (l *List) relaySpread() time.Duration {
	return l.spread(share(l.options.LeaveBound, spreadShare))
}

// wantsSize says whether this node is to learn whether the fleet is small: it knows no list, and no
// relay that has one.
func (l *List) wantsSize(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sized || l.based || l.relayedLocked() {
		return false
	}
	return l.relayRead || now.Sub(l.startedAt) > startPatience
}

// adoptable says whether the directory is to be taken from the relay: it does not follow
// the relay yet, and no heartbeats come any more, which may be older.
func (l *List) adoptable(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (l.direct || !l.complete) && l.relayedLocked() && !l.relay.toldByOthersAt.IsZero() && now.Sub(l.relay.toldByOthersAt) < l.stale()
}
