package fanout

import (
	"errors"
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
)

// Where a node reads next, and how long it has nothing to read.
func TestDecide(t *testing.T) {
	now := clock.Now()
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	announcement := func(next, large int64, age time.Duration) *Announcement {
		return &Announcement{Next: next, Large: large, ReceivedAt: ago(age), AskedAt: ago(age + time.Second), From: "a"}
	}
	readable := func(n *Announcement) Observation {
		return Observation{Announcement: n, ReadAt: now, ReadableSince: ago(time.Hour)}
	}
	cases := []struct {
		name        string
		observation Observation
		from        int64
		share       float64
		source      follow.Source
		waits       bool
	}{
		{"no announcement", Observation{ReadAt: now, ReadableSince: ago(time.Hour)}, 5, 0, follow.SourceStore, false},
		{"this node announces", Observation{Announces: true}, 5, 0, follow.SourceStoreShortWait, false},
		{"all is known", readable(announcement(5, 2, 0)), 5, 0, 0, true},
		{"more is known than announced", readable(announcement(5, 2, 0)), 7, 0, 0, true},
		{"a small change", readable(announcement(6, 2, 0)), 5, 0, follow.SourceStoreNoWait, false},
		{"a large change", readable(announcement(6, 6, 0)), 5, 0, follow.SourcePeers, false},
		{"a large change, and the coordinator is believed to have ended", readable(&Announcement{Next: 6, Large: 6, ReceivedAt: now}), 5, 0, 0, true},
		{"nothing is known", readable(announcement(6, 0, 0)), -1, 0, follow.SourcePeers, false},
		{"the coordinator was silent until just before the timeout", readable(announcement(5, 2, announcementTimeout-1)), 5, 0, 0, true},
		{"the coordinator is silent, an early node", readable(announcement(5, 2, announcementTimeout)), 5, 0, follow.SourceStore, false},
		{"the coordinator is silent, a late node", readable(announcement(5, 2, announcementTimeout)), 5, 0.9, 0, true},
		{"the coordinator is silent for longer, a late node", readable(announcement(5, 2, announcementTimeout+announcementJitter)), 5, 0.9, follow.SourceStore, false},
		{"the store answers again, and no announcement could be read before", Observation{Announcement: announcement(5, 2, time.Minute), ReadAt: now, ReadableSince: ago(time.Second)}, 5, 0, 0, true},
		{"announcements have just become unreadable", Observation{Announcement: announcement(5, 2, time.Second), ReadAt: ago(time.Second)}, 5, 0, follow.SourceRelay, false},
		{"announcements are unreadable, an early node", Observation{Announcement: announcement(5, 2, time.Second), ReadAt: ago(unreadableTimeout)}, 5, 0, follow.SourceStoreProbe, false},
		{"announcements are unreadable, a late node", Observation{Announcement: announcement(5, 2, time.Second), ReadAt: ago(unreadableTimeout)}, 5, 0.9, follow.SourceRelay, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGuide(GuideOptions{Share: c.share})
			g.Observe(c.observation)
			source, wait, _ := g.decide(now, c.from)
			if c.waits != (wait > 0) || !c.waits && source != c.source {
				t.Errorf("source %d after %v", source, wait)
			}
		})
	}
}

// A coordinator that announces but cannot read the topic counts as silent; one that has just taken over is
// given time to read it.
func TestCoordinatorWithStaleKnowledgeCountsAsSilent(t *testing.T) {
	g := NewGuide(GuideOptions{})
	now := clock.Now()
	observe := func(at time.Time, age time.Duration) {
		g.Observe(Observation{Announcement: &Announcement{Next: 5, Age: age, ReceivedAt: at, AskedAt: at.Add(-age)}, ReadAt: at, ReadableSince: now})
	}
	observe(now, 0)
	for _, step := range []struct {
		after time.Duration
		waits bool
	}{{announcementTimeout / 2, true}, {announcementTimeout - 1, true}, {announcementTimeout, false}, {2 * announcementTimeout, false}} {
		at := now.Add(step.after)
		observe(at, maxAnnouncedAge+step.after)
		if _, wait, _ := g.decide(at, 5); (wait > 0) != step.waits {
			t.Errorf("%v after its last read, nodes still wait %v for it", step.after, wait)
		}
	}
	observe(now.Add(3*announcementTimeout), 0)
	if _, wait, _ := g.decide(now.Add(3*announcementTimeout), 5); wait <= 0 {
		t.Error("nodes do not wait for a coordinator that reads again")
	}
}

// A change that no node serves is eventually read from the store, by the nodes one after the other.
func TestUnservedChangeIsReadFromStore(t *testing.T) {
	g := NewGuide(GuideOptions{Share: 0.5})
	now := clock.Now()
	for try := range maxFetchAttempts {
		// A small change that arrives meanwhile must not restart the attempts.
		g.Observe(Observation{Announcement: &Announcement{Next: 6 + int64(try), Large: 6, ReceivedAt: now, AskedAt: now, From: "a"}, ReadAt: now, ReadableSince: now})
		if source, _, _ := g.decide(clock.Now(), 5); source != follow.SourcePeers {
			t.Errorf("source %d", source)
		}
		g.Note(follow.SourcePeers, errors.New("not served"))
	}
	source, wait, _ := g.decide(clock.Now(), 5)
	if source != follow.SourceStoreNoWait || wait <= 0 || wait > fallbackJitter/2 {
		t.Errorf("source %d after %v", source, wait)
	}
}

// A node that cannot read announcements continues on its own if the store answers its reads of the topic,
// and backs off if it does not.
func TestReadingAlone(t *testing.T) {
	unreadable := Observation{Announcement: &Announcement{Next: 5, ReceivedAt: clock.Now()}, ReadAt: clock.Now().Add(-unreadableTimeout)}
	g := NewGuide(GuideOptions{})
	g.Observe(unreadable)
	g.Note(follow.SourceStoreProbe, errors.New("refused"))
	if source, _, _ := g.decide(clock.Now(), 5); source != follow.SourceRelay {
		t.Errorf("after a failure: source %d", source)
	}
	if source, _, _ := g.decide(clock.Now().Add(aloneRetryDelay), 5); source != follow.SourceStoreProbe {
		t.Errorf("long after a failure: source %d", source)
	}
	g.Note(follow.SourceStoreProbe, nil)
	if source, _, _ := g.decide(clock.Now(), 5); source != follow.SourceStore {
		t.Errorf("after an answer: source %d", source)
	}
}

// A node's knowledge is as recent as the coordinator's at the time of the announcement, and only if it has
// read as far.
func TestNodeBehindAnnouncementIsNotUpToDate(t *testing.T) {
	var upTo []time.Time
	g := NewGuide(GuideOptions{OnUpToDate: func(at time.Time) { upTo = append(upTo, at) }})
	now := clock.Now()
	g.Observe(Observation{Announcement: &Announcement{Next: 6, ReceivedAt: now, AskedAt: now.Add(-time.Second)}, ReadAt: now, ReadableSince: now})
	g.decide(now, 5)
	if len(upTo) > 0 {
		t.Error("reported as up to date without the change")
	}
	g.decide(now, 6)
	if len(upTo) != 1 || !upTo[0].Equal(now.Add(-time.Second)) {
		t.Errorf("reported as up to date as of %v", upTo)
	}
}
