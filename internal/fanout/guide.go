package fanout

import (
	"context"
	"sync"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
)

// The timing of a node's reads.
const (
	// silentFor is how long the coordinator, which tells each 0.6 s, may tell nothing while the store answers; then
	// nodes begin to read by themselves within silentSpread. A successor mostly tells before.
	silentFor    = 2500 * time.Millisecond
	silentSpread = 2 * time.Second
	// oldestTold is the age of the coordinator's own knowledge beyond which what it tells counts as silence: it may not
	// be able to read, or have just taken over.
	oldestTold = 1500 * time.Millisecond
	// lostFor is how long the store may not answer whether the coordinator tells anything before a node tries to read
	// the topic alone, within lostSpread: few of them are to do so just as the store comes back, since their reads
	// of what is large would hold up the coordinator's. Until then other nodes read for it.
	lostFor    = 2500 * time.Millisecond
	lostSpread = 10 * time.Second
	// aloneRetry is the time from such a try that failed to the next.
	aloneRetry = 10 * time.Second
	// askSpread is the time within which nodes ask each other for a change.
	askSpread = 100 * time.Millisecond
	// fetchTries is how often a node asks others for a change before it reads the store, within fallbackSpread.
	fetchTries     = 2
	fallbackSpread = 2 * time.Second
	// shortestWait is the time between two looks at whether any of these is over.
	shortestWait = 20 * time.Millisecond
)

// News is what a node was told of the topic.
type News struct {
	// Next is the offset up to which the topic goes, Large the one after the last large record.
	Next, Large int64
	// Age is how old the teller's knowledge was when it told.
	Age time.Duration
	// At is when the store was asked for that, at the latest, HeardAt when this node heard it, by package clock.
	At, HeardAt time.Time
	// From is where the node answers that told it.
	From string
}

// Report is what a node knows of the coordinator's telling.
type Report struct {
	// Tells says that this node is the one that tells.
	Tells bool
	// News is what it was told last; nil where it was told nothing.
	News *News
	// ReadAt is when it last read where the coordinator tells, ReadSince since when all of its reads there were answered;
	// zero while they are not.
	ReadAt, ReadSince time.Time
}

// GuideOptions configure a Guide.
type GuideOptions struct {
	// Share is this node's place among all, from 0 up to 1, by which nodes act one after the other.
	Share float64
	// UpToDate is told that the node knows all that there was at a time; it may be nil.
	UpToDate func(at time.Time)
}

// Guide tells a follower of the topic where to read next. It may be used by several goroutines.
type Guide struct {
	options GuideOptions

	mutex  sync.Mutex
	report Report
	// youngAt is when this node last heard news that were young as they were told; zero for never.
	youngAt time.Time
	// alone says that the store answers this node's own reads though it does not tell whether the coordinator
	// tells anything, failedAt when it last did not; zero for not tried.
	alone    bool
	failedAt time.Time
	// fetches counts the tries to have what is large up to the offset fetching from others, which began, or failed
	// last, at fetchAt.
	fetching int64
	fetches  int
	fetchAt  time.Time
	// changed is closed when news come.
	changed chan struct{}
}

// NewGuide returns the guide of a node that was told nothing.
func NewGuide(options GuideOptions) *Guide {
	if options.UpToDate == nil {
		options.UpToDate = func(time.Time) {}
	}
	return &Guide{options: options, changed: make(chan struct{})}
}

// Observe takes what this node knows now.
func (g *Guide) Observe(report Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.report
	g.report = report
	if news := report.News; news != nil && (news.Age <= oldestTold || g.youngAt.IsZero()) {
		g.youngAt = news.HeardAt
	}
	if before.Tells == report.Tells && sameNews(before.News, report.News) && before.ReadSince.IsZero() == report.ReadSince.IsZero() {
		return
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func sameNews(a, b *News) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// UntilContact returns a context that ends once the store answers again where the coordinator tells: what a node asks
// others for while it does not is left then.
func (g *Guide) UntilContact(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			g.mutex.Lock()
			inContact, changed := !g.report.ReadSince.IsZero(), g.changed
			g.mutex.Unlock()
			if inContact {
				cancel()
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}

// Told says whether this node is told how far the topic goes, and so does not ask the store for it.
func (g *Guide) Told() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.report.News != nil
}

// News returns what this node was told last; the zero value where it was told nothing.
func (g *Guide) News() News {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.report.News == nil {
		return News{}
	}
	return *g.report.News
}

// Await implements follow.SourceSelector.
func (g *Guide) Await(ctx context.Context, from int64) follow.Source {
	for {
		way, wait, changed := g.decide(clock.Now(), from)
		if wait <= 0 {
			return way
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return follow.SourceStore
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// decide returns the way to read, or how long there is nothing to read unless the report changes.
func (g *Guide) decide(now time.Time, from int64) (way follow.Source, wait time.Duration, changed <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	way, wait = g.decideLocked(now, from)
	return way, wait, g.changed
}

func (g *Guide) decideLocked(now time.Time, from int64) (follow.Source, time.Duration) {
	news := g.report.News
	switch {
	case g.report.Tells:
		return follow.SourceStoreShortWait, 0
	case news == nil:
		return follow.SourceStore, 0
	case g.report.ReadSince.IsZero():
		return g.decideLost(now), 0
	}
	untilAlone := g.aloneAt().Sub(now)
	if untilAlone <= 0 {
		return follow.SourceStore, 0
	}
	g.alone, g.failedAt = false, time.Time{}
	if from >= news.Next {
		g.options.UpToDate(news.At)
		return 0, max(untilAlone, shortestWait)
	}
	if from >= news.Large {
		return follow.SourceStoreNoWait, 0
	}
	if news.From == "" {
		return 0, max(untilAlone, shortestWait) // it is thought to have ended: its successor tells
	}
	return g.decideLarge(now)
}

// aloneAt returns when this node is to read by itself unless the coordinator tells something before.
func (g *Guide) aloneAt() time.Time {
	silentSince := g.youngAt
	if g.report.ReadSince.After(silentSince) {
		silentSince = g.report.ReadSince // before, nobody could tell
	}
	return silentSince.Add(silentFor + g.shareOf(silentSpread))
}

// decideLost is decide where the store does not answer whether the coordinator tells anything.
func (g *Guide) decideLost(now time.Time) follow.Source {
	if now.Sub(g.report.ReadAt) < lostFor+g.shareOf(lostSpread) {
		return follow.SourceRelay
	}
	switch {
	case g.alone:
		return follow.SourceStore
	case !g.failedAt.IsZero() && now.Sub(g.failedAt) < aloneRetry:
		return follow.SourceRelay
	}
	return follow.SourceStoreProbe
}

// decideLarge is decide where a large change is to be had.
func (g *Guide) decideLarge(now time.Time) (follow.Source, time.Duration) {
	if g.fetching != g.report.News.Large {
		g.fetching, g.fetches, g.fetchAt = g.report.News.Large, 0, now
	}
	if g.fetches < fetchTries {
		return follow.SourcePeers, g.fetchAt.Add(g.shareOf(askSpread)).Sub(now)
	}
	return follow.SourceStoreNoWait, g.fetchAt.Add(g.shareOf(fallbackSpread)).Sub(now)
}

func (g *Guide) shareOf(spread time.Duration) time.Duration {
	return time.Duration(g.options.Share * float64(spread))
}

// Note implements follow.SourceSelector.
func (g *Guide) Note(way follow.Source, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	switch {
	case way == follow.SourcePeers && err != nil:
		g.fetches++
		g.fetchAt = now
	case way == follow.SourcePeers:
	case err == nil:
		g.alone, g.failedAt = g.report.ReadSince.IsZero(), time.Time{}
	default:
		g.alone, g.failedAt = false, now
	}
}
