package drain

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// minIdleAge is the age from which a connection without a complete request, or at rest, may give way to a new
	// one. Clients send their request right after they have connected, and older connections give way first.
	minIdleAge = 10 * time.Millisecond
	// minStall is the time without progress from which a connection may give way whose body or response stands
	// still. A packet that was lost is sent again within it.
	minStall = 300 * time.Millisecond
	// progressBytes is the part of a body that counts as progress. A client that sends a byte now and then makes none.
	progressBytes = 4 << 10
	// evictedShare is the share of the connections that give way at once, so that not every new connection needs a
	// search.
	evictedShare = 1.0 / 32
	// refusalWriteTime bounds the write of a refusal, which must not hold up other connections.
	refusalWriteTime = 10 * time.Millisecond
	// reclaimInterval is the minimum time between two searches for stalled connections that hold memory.
	reclaimInterval = 100 * time.Millisecond
)

// standing is the standing of a connection in the order in which connections give way.
type standing struct {
	conn   *conn
	reason Reason
	// rested is true for a connection at rest after a response: its client has done nothing wrong, so that others give
	// way first.
	rested bool
	// since is when the connection last made progress.
	since time.Time
}

// compareStanding orders connections by which gives way first.
func compareStanding(a, b standing) int {
	switch {
	case a.rested != b.rested && b.rested:
		return -1
	case a.rested != b.rested:
		return 1
	}
	return a.since.Compare(b.since)
}

// standing returns the connection's standing; ok is false if it must not give way.
func (c *conn) standing(now time.Time) (s standing, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.standingLocked(now)
}

func (c *conn) standingLocked(now time.Time) (s standing, ok bool) {
	s = standing{conn: c, since: c.progressAt}
	minAge := minIdleAge
	switch {
	case c.evicted:
		return s, false
	case c.isIdleLocked():
		s.reason, s.rested, s.since = ReasonIdle, c.responded, c.idleSince
	case !c.active:
		s.reason, s.since = ReasonSlowHead, c.headBegun
	case c.endPause != nil:
		s.reason = ReasonSentAhead
	case c.writing:
		s.reason, minAge = ReasonNotRead, minStall
	case c.readingBody:
		s.reason, minAge = ReasonSlowBody, minStall
	default:
		return s, false
	}
	return s, now.Sub(s.since) >= minAge
}

// makeRoom lets connections give way if there are as many as the limit allows. It returns false if a new connection
// must be refused.
func (s *Server) makeRoom() bool {
	limit := s.limits.Connections
	if limit <= 0 {
		return true
	}
	s.mutex.Lock()
	open := len(s.conns)
	s.mutex.Unlock()
	if open-int(s.evicting.Load()) < limit {
		return true
	}
	return s.evict(max(1, int(float64(limit)*evictedShare)), func(standing) bool { return true }) > 0
}

// evict lets the given number of connections give way, of those that are eligible, and returns how many did.
func (s *Server) evict(count int, eligible func(standing) bool) int {
	now := time.Now()
	var candidates []standing
	for _, c := range s.openList() {
		if candidate, ok := c.standing(now); ok && eligible(candidate) {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortFunc(candidates, compareStanding)
	candidates = candidates[:min(count, len(candidates))]
	evicted := 0
	for _, candidate := range candidates {
		if candidate.conn.evict() {
			evicted++
			s.limits.observe(candidate.reason)
		}
	}
	return evicted
}

// openList returns the open connections.
func (s *Server) openList() []*conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// refuseConnection answers a connection that there is no room for. Its request is not read.
func (s *Server) refuseConnection(accepted net.Conn) {
	s.limits.observe(ReasonNoConnection)
	// The response fits the empty buffers of the socket; the errors of a connection that ends are of no use.
	_ = accepted.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = accepted.Write(refusal(http.StatusServiceUnavailable))
	accepted.Close()
}

// reclaim closes the connections that hold memory and stand still, after a request did not fit the memory.
func (s *Server) reclaim() {
	s.mutex.Lock()
	due := time.Since(s.reclaimedAt) >= reclaimInterval
	if due {
		s.reclaimedAt = time.Now()
	}
	open := len(s.conns)
	s.mutex.Unlock()
	if due {
		s.evict(open, func(candidate standing) bool {
			return candidate.reason != ReasonIdle && time.Since(candidate.since) >= minStall
		})
	}
}

// evict ends the connection by its deadlines, so that the goroutine that uses it closes it: a body that is being read
// is answered 408, and a request that has arrived on an idle connection meanwhile is served. It returns false if the
// connection has come on in the meantime.
func (c *conn) evict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.standingLocked(time.Now()); !ok {
		return false
	}
	c.setEvictedLocked(true)
	// These fail only on a closed connection.
	_ = c.applyDeadlineLocked()
	if c.endPause != nil {
		c.endPause()
	}
	if c.writing {
		c.writeEnded = true
		_ = c.Conn.SetWriteDeadline(pastDeadline)
	}
	return true
}

// setEvictedLocked sets whether the connection has to give way to others.
func (c *conn) setEvictedLocked(evicted bool) {
	if c.evicted == evicted {
		return
	}
	c.evicted = evicted
	if evicted {
		c.server.evicting.Add(1)
	} else {
		c.server.evicting.Add(-1)
	}
}
