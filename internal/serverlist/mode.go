package serverlist

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// staleAge is the age of the relay's last record beyond which the relay counts as silent.
func (l *List) staleAge() time.Duration { return fraction(l.options.LeaveBound, staleShare) }

func fraction(total time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(total))
}

// relaySilenceLocked returns for how long no other node has published, as far as this node has read. A
// relay that cannot be read does not count as silent: otherwise all nodes would read the heartbeats when
// the store recovers, and overload it again.
func (l *List) relaySilenceLocked() time.Duration {
	if l.relayReadableSince.IsZero() {
		return 0
	}
	since := l.relayReadableSince
	if l.relay.lastForeignRecordAt.After(since) {
		since = l.relay.lastForeignRecordAt
	}
	return l.relayReadAt.Sub(since)
}

// Mode is how a list is kept up to date, for metrics.
type Mode int

// The modes.
const (
	// ModeNone: no list is known yet.
	ModeNone Mode = iota
	// ModeHeartbeats: the heartbeats are read.
	ModeHeartbeats
	// ModeRelay: the relay is followed.
	ModeRelay
)

// Mode returns how the list is kept up to date now. A list is complete only if hasFullList is set, too: until
// then there is no mode. Afterwards the heartbeats are read while readsHeartbeats is set, and the relay is
// followed while it is not. If the list turns out to exceed a page while it is read tentatively, all three are
// reset, and it is taken from the relay.
func (l *List) Mode() Mode {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !l.complete:
		return ModeNone
	case l.readsHeartbeats:
		return ModeHeartbeats
	}
	return ModeRelay
}

// LargeFleet reports whether the list of the fleet is relayed, based on this node's directory and on the
// total published by the relay.
func (l *List) LargeFleet() bool {
	count := l.options.Directory.Snapshot().Count()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.exceedsPage || max(count, l.relay.totalServers) >= l.options.LargeFleetSize
}

// hasRelayLocked reports whether a relay publishes the list of a large fleet. The relay of a small fleet
// that was large before is not followed.
func (l *List) hasRelayLocked() bool {
	return l.relay.servers != nil && (l.exceedsPage || l.relay.totalServers >= l.options.LargeFleetSize)
}

// checkPause returns the time until the next check of how the list is read.
func (l *List) checkPause() time.Duration {
	if l.LargeFleet() {
		return checkInterval
	}
	return smallFleetCheckInterval
}

// wantsHeartbeats reports whether this node is to read the heartbeats itself.
func (l *List) wantsHeartbeats(now time.Time) bool {
	if l.options.Leading() {
		return true
	}
	large := l.LargeFleet()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.complete && !large:
		return true
	case !l.hasRelayLocked() && !l.exceedsPage:
		// There is no relay, and the list fitted a page; it may still grow.
		return l.sizeKnown
	case l.readsHeartbeats:
		return l.relaySilenceLocked() > l.staleAge()
	case l.complete:
		// The relay is followed. Few nodes are early to replace it.
		return l.relaySilenceLocked() > l.staleAge()+l.takeoverJitter()
	case !l.hasRelayLocked():
		return l.mustStartRelayLocked(now) || now.Sub(l.startedAt) > firstRelayTimeout+l.jitter(firstRelayJitter)
	}
	// A snapshot was read, but no changes were published since.
	return l.relayCaughtUp && now.Sub(l.relayCaughtUpAt) > relayRecordTimeout+l.takeoverJitter() && l.relaySilenceLocked() > l.staleAge()
}

// mustStartRelayLocked reports whether this node is to read the heartbeats of a running fleet whose list
// nobody relays in this node's format: the coordinator may be of another build. The first node to do so
// relays for the others of its build. The nodes of a fleet that has just started wait for its first
// coordinator instead.
func (l *List) mustStartRelayLocked(now time.Time) bool {
	return l.options.Established() && l.relayCaughtUp && now.Sub(l.relayCaughtUpAt) > relayRecordTimeout+l.takeoverJitter()
}

// jitter returns this node's share of an interval within which nodes start to read heartbeats.
func (l *List) jitter(interval time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(l.options.Self)>>11) / (1 << 53)
	return time.Duration(float64(interval) * math.Pow(share, jitterExponent))
}

func (l *List) takeoverJitter() time.Duration {
	return l.jitter(fraction(l.options.LeaveBound, takeoverJitterShare))
}

// needsSize reports whether this node is to determine whether the fleet is small: it knows neither a list
// nor a relay that has one.
func (l *List) needsSize(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.knowsSizeLocked() {
		return false
	}
	return l.relayCaughtUp || now.Sub(l.startedAt) > relayRecordTimeout
}

// knowsSizeLocked reports whether the size of the fleet is known, from its list or from a relay.
func (l *List) knowsSizeLocked() bool { return l.sizeKnown || l.hasFullList || l.hasRelayLocked() }

// canAdoptRelay reports whether the directory is to be taken from the relay: it does not follow the relay
// yet, and no heartbeats arrive any more, which may be older.
func (l *List) canAdoptRelay(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (l.readsHeartbeats || !l.complete) && l.hasRelayLocked() && !l.relay.lastForeignRecordAt.IsZero() && now.Sub(l.relay.lastForeignRecordAt) < l.staleAge()
}
