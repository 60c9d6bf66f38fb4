package follower

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
	"dalehook/internal/record"
)

const (
	// readersPerZone is the number of nodes of a zone that read the log.
	readersPerZone = 2
	// candidatesPerZone is the number of nodes of a zone, the lowest ids, that
	// may read it; the later ones stand in for readers that can't.
	candidatesPerZone = 4
	// readWait is how long the log may hold back an answer. It is short, so that
	// a log that hangs is noticed soon.
	readWait = 2 * time.Second
	// readGrace is how long beyond readWait an answer may take before the log
	// counts as down.
	readGrace = 2 * time.Second
	// readAbandon is how long a read may stay unanswered before it counts as
	// lost and is asked for again.
	readAbandon = 15 * time.Second
	// readPause is the shortest time between two reads that brought nothing.
	readPause = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// failuresUntilDown is the number of failed reads in a row after which the
	// log counts as down.
	failuresUntilDown = 2
)

// reader is this node's own reading of the log.
type reader struct {
	// elected is set while this node is one of its zone's readers.
	elected   bool
	nextElect time.Time

	waiting  bool
	sentAt   time.Time
	nextRead time.Time
	backoff  time.Duration
	failures int
	// nudgedTo is an offset that surely stands on the log.
	nudgedTo uint64

	// down is this node's own experience of the log while it reads, sequence
	// numbers its reports of it.
	down       bool
	sequence   uint64
	reportedAt time.Time
	changedAt  time.Time
}

// elect decides by rule whether this node reads the log: the readersPerZone
// lowest live ids of the zone do, and a later candidate does for each of them
// that says it can't.
func (m *Machine) elect() {
	if m.now.Before(m.reader.nextElect) {
		return
	}
	m.reader.nextElect = m.now.Add(electInterval)
	healthy := 0
	elected := false
	for _, id := range m.candidates() {
		if id == m.options.Self.ID {
			elected = healthy < readersPerZone
			break
		}
		if !m.statuses.isDown(id, m.now) {
			healthy++
		}
	}
	if m.reader.elected && !elected {
		m.reader.down = false
		m.reader.failures = 0
	}
	m.reader.elected = elected
}

// candidates returns the lowest live ids of this node's zone, in order. A node
// that leaves is one only when nobody else of its zone can read the log for it.
func (m *Machine) candidates() []cluster.NodeID {
	ids := make([]cluster.NodeID, 0, candidatesPerZone)
	for _, known := range m.options.Members() {
		sameZone := known.Zone == m.options.Self.Zone && known.Region == m.options.Self.Region
		if !sameZone || known.State != membership.StateAlive {
			continue
		}
		ids = append(ids, known.ID)
		if len(ids) == candidatesPerZone {
			break
		}
	}
	if len(ids) == 0 {
		ids = append(ids, m.options.Self.ID)
	}
	return ids
}

// tickReader reads the log when it is this node's turn, and notices a log that
// hangs.
func (m *Machine) tickReader() {
	if m.reader.waiting {
		m.checkHanging()
		return
	}
	if m.now.Before(m.reader.nextRead) {
		return
	}
	nudged := m.control.Offset() < m.reader.nudgedTo
	if !nudged && !m.mayRead() {
		return
	}
	m.read(nudged)
}

// mayRead reports whether this node reads the log unasked: as an elected
// reader, or as one that found no ready peer at its start.
func (m *Machine) mayRead() bool {
	if m.start.ready {
		return m.reader.elected
	}
	return m.mayReadAtStart()
}

// read asks for what comes next; at once when it surely stands on the log, or
// when this node waits for it to become ready.
func (m *Machine) read(atOnce bool) {
	wait := readWait
	if atOnce || !m.start.ready {
		wait = 0
	}
	m.reader.waiting = true
	m.reader.sentAt = m.now
	m.outbox.Add(machine.ReadLog{Log: record.ControlLog, From: m.control.Offset() + 1, Wait: wait})
}

// checkHanging counts a read that takes too long as a failure, once, and gives
// it up for lost much later.
func (m *Machine) checkHanging() {
	took := m.now.Sub(m.reader.sentAt)
	if took >= readWait+readGrace && !m.reader.down {
		m.setDown(true)
	}
	if took >= readAbandon {
		m.reader.waiting = false
	}
}

// HandleEntries takes the answer to a read of the control log.
func (m *Machine) HandleEntries(now time.Time, in machine.LogEntries) {
	m.now = now
	if in.Log != record.ControlLog {
		return
	}
	m.reader.waiting = false
	if in.Err != "" {
		m.handleReadFailure()
		return
	}
	m.reader.failures = 0
	m.reader.backoff = 0
	m.setDown(false)
	before := m.control.Offset()
	m.apply(in.Entries, "")
	if m.control.Offset() >= in.End {
		// The answer may have waited in a socket, so only the question's time counts.
		m.caughtUpAt = m.reader.sentAt
		m.becomeReady()
	}
	m.reader.nextRead = m.now
	if m.control.Offset() == before && m.now.Sub(m.reader.sentAt) < readPause {
		m.reader.nextRead = m.now.Add(readPause)
	}
	m.tickReader()
}

// handleReadFailure backs off.
func (m *Machine) handleReadFailure() {
	m.reader.failures++
	m.reader.backoff = min(max(2*m.reader.backoff, minBackoff), maxBackoff)
	jitter := time.Duration(m.random.Int64N(int64(m.reader.backoff) / 2))
	m.reader.nextRead = m.now.Add(m.reader.backoff/2 + jitter)
	if m.reader.failures >= failuresUntilDown {
		m.setDown(true)
	}
}

// Nudge asks for a read at once, since a record stands on the log at offset.
func (m *Machine) Nudge(now time.Time, offset uint64) {
	m.now = now
	m.reader.nudgedTo = max(m.reader.nudgedTo, offset)
	if m.reader.failures == 0 {
		m.reader.nextRead = now
	}
	m.tickReader()
}

// ReadsLog reports whether this node is one of its zone's readers of the log.
func (m *Machine) ReadsLog() bool { return m.reader.elected }
