package fanout

import (
	"errors"
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
)

// Where a node reads next, and how long it has nothing to read.
func TestWhereANodeReads(t *testing.T) {
	now := clock.Now()
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	news := func(next, large int64, heard time.Duration) *News {
		return &News{Next: next, Large: large, HeardAt: ago(heard), At: ago(heard + time.Second), From: "a"}
	}
	inContact := func(n *News) Report { return Report{News: n, ReadAt: now, ReadSince: ago(time.Hour)} }
	cases := []struct {
		name   string
		report Report
		from   int64
		share  float64
		way    follow.Source
		waits  bool
	}{
		{"nobody tells", Report{ReadAt: now, ReadSince: ago(time.Hour)}, 5, 0, follow.SourceStore, false},
		{"this node tells", Report{Tells: true}, 5, 0, follow.SourceStoreShortWait, false},
		{"all is known", inContact(news(5, 2, 0)), 5, 0, 0, true},
		{"more is known than the coordinator tells", inContact(news(5, 2, 0)), 7, 0, 0, true},
		{"something small is new", inContact(news(6, 2, 0)), 5, 0, follow.SourceStoreNoWait, false},
		{"something large is new", inContact(news(6, 6, 0)), 5, 0, follow.SourcePeers, false},
		{"something large is new, and the coordinator is thought to have ended", inContact(&News{Next: 6, Large: 6, HeardAt: now}), 5, 0, 0, true},
		{"nothing is known", inContact(news(6, 0, 0)), -1, 0, follow.SourcePeers, false},
		{"the coordinator has just fallen silent", inContact(news(5, 2, silentFor-1)), 5, 0, 0, true},
		{"it is silent for long, a node that is early", inContact(news(5, 2, silentFor)), 5, 0, follow.SourceStore, false},
		{"it is silent for long, a node that is late", inContact(news(5, 2, silentFor)), 5, 0.9, 0, true},
		{"it is silent for longer, a node that is late", inContact(news(5, 2, silentFor+silentSpread)), 5, 0.9, follow.SourceStore, false},
		{"the store answers again, and the coordinator could not tell", Report{News: news(5, 2, time.Minute), ReadAt: now, ReadSince: ago(time.Second)}, 5, 0, 0, true},
		{"the store has just fallen silent", Report{News: news(5, 2, time.Second), ReadAt: ago(time.Second)}, 5, 0, follow.SourceRelay, false},
		{"it is silent for long, a node that is early", Report{News: news(5, 2, time.Second), ReadAt: ago(lostFor)}, 5, 0, follow.SourceStoreProbe, false},
		{"it is silent for long, a node that is late", Report{News: news(5, 2, time.Second), ReadAt: ago(lostFor)}, 5, 0.9, follow.SourceRelay, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGuide(GuideOptions{Share: c.share})
			g.Observe(c.report)
			way, wait, _ := g.decide(now, c.from)
			if c.waits != (wait > 0) || !c.waits && way != c.way {
				t.Errorf("way %d after %v", way, wait)
			}
		})
	}
}

// A coordinator that tells, and can not read what it tells of, is as good as silent; one that has just taken over
// is given the time to read it.
func TestACoordinatorThatKnowsNothingNew(t *testing.T) {
	g := NewGuide(GuideOptions{})
	now := clock.Now()
	observe := func(at time.Time, age time.Duration) {
		g.Observe(Report{News: &News{Next: 5, Age: age, HeardAt: at, At: at.Add(-age)}, ReadAt: at, ReadSince: now})
	}
	observe(now, 0)
	for _, step := range []struct {
		after time.Duration
		waits bool
	}{{silentFor / 2, true}, {silentFor - 1, true}, {silentFor, false}, {2 * silentFor, false}} {
		at := now.Add(step.after)
		observe(at, oldestTold+step.after)
		if _, wait, _ := g.decide(at, 5); (wait > 0) != step.waits {
			t.Errorf("%v after it last knew, it is counted on for %v", step.after, wait)
		}
	}
	observe(now.Add(3*silentFor), 0)
	if _, wait, _ := g.decide(now.Add(3*silentFor), 5); wait <= 0 {
		t.Error("a coordinator that reads again is not counted on")
	}
}

// A change that no node gives is read from the store in the end, by nodes one after the other.
func TestAChangeThatNobodyGivesIsReadFromTheStore(t *testing.T) {
	g := NewGuide(GuideOptions{Share: 0.5})
	now := clock.Now()
	for try := range fetchTries {
		// What is small and comes meanwhile begins nothing anew.
		g.Observe(Report{News: &News{Next: 6 + int64(try), Large: 6, HeardAt: now, At: now, From: "a"}, ReadAt: now, ReadSince: now})
		if way, _, _ := g.decide(clock.Now(), 5); way != follow.SourcePeers {
			t.Errorf("way %d", way)
		}
		g.Note(follow.SourcePeers, errors.New("nobody"))
	}
	way, wait, _ := g.decide(clock.Now(), 5)
	if way != follow.SourceStoreNoWait || wait <= 0 || wait > fallbackSpread/2 {
		t.Errorf("way %d after %v", way, wait)
	}
}

// A node that the store does not tell of the coordinator goes on alone where the store answers it, and leaves
// it alone for a while where it does not.
func TestANodeThatTriesAlone(t *testing.T) {
	lost := Report{News: &News{Next: 5, HeardAt: clock.Now()}, ReadAt: clock.Now().Add(-lostFor)}
	g := NewGuide(GuideOptions{})
	g.Observe(lost)
	g.Note(follow.SourceStoreProbe, errors.New("refused"))
	if way, _, _ := g.decide(clock.Now(), 5); way != follow.SourceRelay {
		t.Errorf("after a failure: way %d", way)
	}
	if way, _, _ := g.decide(clock.Now().Add(aloneRetry), 5); way != follow.SourceStoreProbe {
		t.Errorf("long after a failure: way %d", way)
	}
	g.Note(follow.SourceStoreProbe, nil)
	if way, _, _ := g.decide(clock.Now(), 5); way != follow.SourceStore {
		t.Errorf("after an answer: way %d", way)
	}
}

// A node's knowledge is as young as the coordinator's, as it was told, and only where it knows as much.
func TestANodeThatKnowsLessIsNotUpToDate(t *testing.T) {
	var upTo []time.Time
	g := NewGuide(GuideOptions{UpToDate: func(at time.Time) { upTo = append(upTo, at) }})
	now := clock.Now()
	g.Observe(Report{News: &News{Next: 6, HeardAt: now, At: now.Add(-time.Second)}, ReadAt: now, ReadSince: now})
	g.decide(now, 5)
	if len(upTo) > 0 {
		t.Error("up to date without the change")
	}
	g.decide(now, 6)
	if len(upTo) != 1 || !upTo[0].Equal(now.Add(-time.Second)) {
		t.Errorf("up to date as of %v", upTo)
	}
}
