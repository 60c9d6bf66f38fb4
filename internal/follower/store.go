package follower

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
)

const (
	// statusRefresh is the time between two reports of a reader after a change.
	statusRefresh = 20 * time.Second
	// statusLife is how long a report counts without a fresh one.
	statusLife = time.Minute
	// maxStatuses bounds the readers whose reports are kept.
	maxStatuses = 256
)

// heard is a reader's last report.
type heard struct {
	status logStatus
	at     time.Time
}

// statuses holds the last report of each reader, in order of arrival. While the
// log is up and no reader ever failed it is empty.
type statuses struct {
	reports []heard
}

// find returns the index of a reader's report, -1 for none.
func (s *statuses) find(reader cluster.NodeID) int {
	return slices.IndexFunc(s.reports, func(h heard) bool { return h.status.Reader == reader })
}

// take keeps a report and says whether it was news.
func (s *statuses) take(status logStatus, now time.Time) bool {
	at := s.find(status.Reader)
	if at < 0 {
		if len(s.reports) >= maxStatuses {
			return false
		}
		s.reports = append(s.reports, heard{status: status, at: now})
		return true
	}
	known := s.reports[at].status
	if status.Incarnation < known.Incarnation {
		return false
	}
	if status.Incarnation == known.Incarnation && status.Sequence <= known.Sequence {
		return false
	}
	s.reports[at] = heard{status: status, at: now}
	return true
}

// isDown reports whether a reader says that it can't read the log.
func (s *statuses) isDown(reader cluster.NodeID, now time.Time) bool {
	at := s.find(reader)
	return at >= 0 && s.reports[at].status.Down && now.Sub(s.reports[at].at) < statusLife
}

// isUp reports whether a reader has said that it can read the log again.
func (s *statuses) isUp(reader cluster.NodeID, now time.Time) bool {
	at := s.find(reader)
	return at >= 0 && !s.reports[at].status.Down && now.Sub(s.reports[at].at) < statusLife
}

// expire drops reports that were not refreshed.
func (s *statuses) expire(now time.Time) {
	s.reports = slices.DeleteFunc(s.reports, func(h heard) bool { return now.Sub(h.at) >= statusLife })
}

// StoreDown reports whether the log can't be read at present: by this node if it
// reads, otherwise by the readers of its zone.
func (m *Machine) StoreDown() bool {
	if m.reader.elected || !m.start.ready {
		return m.reader.down
	}
	anyDown := false
	for _, id := range m.candidates() {
		if m.statuses.isUp(id, m.now) {
			return false
		}
		anyDown = anyDown || m.statuses.isDown(id, m.now)
	}
	return anyDown
}

// setDown notes this node's own experience of the log. An elected reader reports
// a change; the experience of others would not be refreshed.
func (m *Machine) setDown(down bool) {
	if m.reader.down == down || m.start.ready && !m.reader.elected {
		return
	}
	m.reader.down = down
	if m.reader.elected {
		m.reader.changedAt = m.now
		m.report()
	}
}

// report tells all nodes whether this reader can read the log.
func (m *Machine) report() {
	m.reader.sequence++
	m.reader.reportedAt = m.now
	status := logStatus{
		Reader:      m.options.Self.ID,
		Incarnation: m.options.Self.Incarnation,
		Sequence:    m.reader.sequence,
		Down:        m.reader.down,
	}
	m.statuses.take(status, m.now)
	m.passOn(status, "")
}

// passOn sends a report to the neighbours except its source.
func (m *Machine) passOn(status logStatus, source cluster.NodeID) {
	for _, neighbour := range m.options.Neighbours() {
		if neighbour.ID != source {
			m.send(neighbour, status)
		}
	}
}

// handleStatus takes another reader's report.
func (m *Machine) handleStatus(from cluster.NodeID, in logStatus) {
	if in.Reader != m.options.Self.ID && m.statuses.take(in, m.now) {
		m.passOn(in, from)
	}
}

// tickStatuses repeats this node's report while the log is down and for a while
// after, since a report may be lost.
func (m *Machine) tickStatuses() {
	m.statuses.expire(m.now)
	if !m.reader.elected || m.reader.changedAt.IsZero() || m.now.Sub(m.reader.reportedAt) < statusRefresh {
		return
	}
	if m.reader.down || m.now.Sub(m.reader.changedAt) < statusLife {
		m.report()
	}
}
