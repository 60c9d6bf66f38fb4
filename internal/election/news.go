package election

import "time"

// News is what a holder tells all nodes, in its claims and renewals, of a topic that it reads for them.
type News struct {
	// Next is the offset after what it has read.
	Next int64
	// Large is the offset after the last record that is too large for all nodes to read from the store; 0 for none.
	Large int64 `json:",omitempty"`
	// AgeMs is how long before the record was made it had asked the store, in milliseconds.
	AgeMs int64 `json:",omitempty"`
}

func (n *News) age() time.Duration { return time.Duration(n.AgeMs) * time.Millisecond }

// Heard is news as another node heard it.
type Heard struct {
	News
	// At is when the store was asked, at the latest, and HeardAt when this node read the news, by its clock.
	At, HeardAt time.Time
}

// hear takes what the holder told. What stood in the log before this process read it to its end may have been told by
// a holder that is gone.
func (m *Machine) hear(now time.Time, news *News) {
	if news == nil || !m.caughtUp {
		m.heardNews = nil
		return
	}
	m.heardNews = &Heard{News: *news, At: m.endAsked.Add(-news.age()), HeardAt: now}
}

// HandleReadToEnd notes that the log was read to its end, as it stood when the store was asked or later.
func (m *Machine) HandleReadToEnd(now, asked time.Time) {
	m.endAsked, m.readAt = asked, now
	if m.readSince.IsZero() {
		m.readSince = now
	}
}

// SetNews has this process tell news while it holds the lease: at once where they go further than what it
// told last, else with the next renewal.
func (m *Machine) SetNews(news *News) { m.news = news }

// hasNews says whether this process knows more than it told.
func (m *Machine) hasNews() bool { return m.news != nil && m.news.Next > m.told }
