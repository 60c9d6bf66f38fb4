package election

import "time"

// Announcement is what a holder tells all nodes, in its claims and renewals, about a topic that it reads
// for them.
type Announcement struct {
	// Next is the offset after the last record that the holder has read.
	Next int64
	// Large is the offset after the last record that is too large for every node to read from the store; 0 for
	// none.
	Large int64 `json:",omitempty"`
	// AgeMs is the time in milliseconds between the holder's read of the store and the creation of this record.
	AgeMs int64 `json:",omitempty"`
}

func (a *Announcement) age() time.Duration { return time.Duration(a.AgeMs) * time.Millisecond }

// ReceivedAnnouncement is an announcement as received by another node.
type ReceivedAnnouncement struct {
	Announcement
	// AskedAt is a lower bound of the time at which the holder sent its read to the store; ReceivedAt is when
	// this node received the announcement, by its own clock.
	AskedAt, ReceivedAt time.Time
}

// receive takes the holder's announcement. Announcements that were in the log before this process first
// read it to its end are ignored: the holder that made them may be gone.
func (m *Machine) receive(now time.Time, announcement *Announcement) {
	if announcement == nil || !m.caughtUp {
		m.received = nil
		return
	}
	m.received = &ReceivedAnnouncement{Announcement: *announcement, AskedAt: m.lastReadSentAt.Add(-announcement.age()), ReceivedAt: now}
}

// HandleCaughtUp records that the log was read to its end as of the time the read was sent, or later.
func (m *Machine) HandleCaughtUp(now, sentAt time.Time) {
	m.lastReadSentAt, m.readAt = sentAt, now
	if m.readableSince.IsZero() {
		m.readableSince = now
	}
}

// SetAnnouncement sets what this process announces while it holds the lease: immediately if Next has
// advanced since the last announcement, else with the next renewal.
func (m *Machine) SetAnnouncement(announcement *Announcement) { m.announcement = announcement }

// hasNewAnnouncement reports whether Next has advanced since the last announcement.
func (m *Machine) hasNewAnnouncement() bool {
	return m.announcement != nil && m.announcement.Next > m.announcedNext
}
