package fanout

import (
	"context"
	"sync"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
)

// Timing of a node's reads.
const (
	// announcementTimeout is how long the coordinator, which announces every 0.6 s, may be silent while the
	// store answers; then nodes start to read on their own, spread over announcementJitter. A successor usually
	// announces earlier.
	announcementTimeout = 2500 * time.Millisecond
	announcementJitter  = 2 * time.Second
	// maxAnnouncedAge is the age of the coordinator's own knowledge beyond which its announcement counts as
	// silence: it may be unable to read, or may have just taken over.
	maxAnnouncedAge = 1500 * time.Millisecond
	// unreadableTimeout is how long a node may be unable to read announcements from the store before it tries
	// to read the topic on its own, spread over unreadableJitter: only few nodes should do so just as the store
	// recovers, since their reads of large records would delay the coordinator's. Until then other nodes read
	// for it.
	unreadableTimeout = 2500 * time.Millisecond
	unreadableJitter  = 10 * time.Second
	// aloneRetryDelay is the time from a failed attempt of that kind to the next.
	aloneRetryDelay = 10 * time.Second
	// fetchJitter is the interval over which nodes spread their requests to each other for a change.
	fetchJitter = 100 * time.Millisecond
	// maxFetchAttempts is how often a node asks others for a change before it reads the store, spread over
	// fallbackJitter.
	maxFetchAttempts = 2
	fallbackJitter   = 2 * time.Second
	// minWait is the shortest time between two evaluations of these timeouts.
	minWait = 20 * time.Millisecond
)

// Announcement is what a node was told about the topic.
type Announcement struct {
	// Next is the announced end of the topic, Large the offset after the last large record.
	Next, Large int64
	// Age is the age of the announcer's knowledge at the time of the announcement.
	Age time.Duration
	// AskedAt is a lower bound of the time at which the announcer sent its read to the store; ReceivedAt is
	// when this node received the announcement, by package clock.
	AskedAt, ReceivedAt time.Time
	// From is the address of the announcing node.
	From string
}

// Observation is what a node knows about the coordinator's announcements.
type Observation struct {
	// Announces is set if this node is the one that announces.
	Announces bool
	// Announcement is the last one received; nil for none.
	Announcement *Announcement
	// ReadAt is when this node last read the log of announcements. ReadableSince is the time since which all of
	// its reads of that log have succeeded; zero while they fail.
	ReadAt, ReadableSince time.Time
}

// GuideOptions configures a Guide.
type GuideOptions struct {
	// Share is this node's position among all nodes, from 0 up to 1, by which they spread their actions over
	// time.
	Share float64
	// OnUpToDate is called with a time as of which the node is up to date; it may be nil.
	OnUpToDate func(at time.Time)
}

// Guide tells a follower of the topic where to read next. It is safe for concurrent use.
type Guide struct {
	options GuideOptions

	mutex       sync.Mutex
	observation Observation
	// lastFreshAt is when this node last received an announcement that was fresh when made; zero for never.
	lastFreshAt time.Time
	// readsAlone is set if the store answers this node's own reads of the topic although announcements cannot
	// be read; aloneFailedAt is when such a read last failed, zero for never.
	readsAlone    bool
	aloneFailedAt time.Time
	// fetchAttempts counts the failed attempts to fetch large records up to fetchTarget from other nodes;
	// fetchAttemptAt is when fetching began or last failed.
	fetchTarget    int64
	fetchAttempts  int
	fetchAttemptAt time.Time
	// changed is closed when a new announcement arrives.
	changed chan struct{}
}

// NewGuide returns the guide of a node that has not received an announcement.
func NewGuide(options GuideOptions) *Guide {
	if options.OnUpToDate == nil {
		options.OnUpToDate = func(time.Time) {}
	}
	return &Guide{options: options, changed: make(chan struct{})}
}

// Observe takes the node's current observation of the announcements.
func (g *Guide) Observe(observation Observation) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.observation
	g.observation = observation
	if announcement := observation.Announcement; announcement != nil && (announcement.Age <= maxAnnouncedAge || g.lastFreshAt.IsZero()) {
		g.lastFreshAt = announcement.ReceivedAt
	}
	if before.Announces == observation.Announces && sameAnnouncement(before.Announcement, observation.Announcement) && before.ReadableSince.IsZero() == observation.ReadableSince.IsZero() {
		return
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func sameAnnouncement(a, b *Announcement) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// UntilReadable returns a context that ends once announcements can be read from the store again. Requests
// that a node makes to others in the meantime are abandoned then.
func (g *Guide) UntilReadable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			g.mutex.Lock()
			readable, changed := !g.observation.ReadableSince.IsZero(), g.changed
			g.mutex.Unlock()
			if readable {
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

// HasAnnouncement reports whether this node has been told how far the topic goes, and so does not ask the
// store for it.
func (g *Guide) HasAnnouncement() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.observation.Announcement != nil
}

// Announcement returns the last announcement received, or the zero value for none.
func (g *Guide) Announcement() Announcement {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.observation.Announcement == nil {
		return Announcement{}
	}
	return *g.observation.Announcement
}

// Await implements follow.SourceSelector.
func (g *Guide) Await(ctx context.Context, from int64) follow.Source {
	for {
		source, wait, changed := g.decide(clock.Now(), from)
		if wait <= 0 {
			return source
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

// decide returns the source to read from, or how long there is nothing to read unless the observation changes.
func (g *Guide) decide(now time.Time, from int64) (source follow.Source, wait time.Duration, changed <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	source, wait = g.decideLocked(now, from)
	return source, wait, g.changed
}

func (g *Guide) decideLocked(now time.Time, from int64) (follow.Source, time.Duration) {
	announcement := g.observation.Announcement
	switch {
	case g.observation.Announces:
		return follow.SourceStoreShortWait, 0
	case announcement == nil:
		return follow.SourceStore, 0
	case g.observation.ReadableSince.IsZero():
		return g.decideUnreadable(now), 0
	}
	untilReadAlone := g.readAloneAt().Sub(now)
	if untilReadAlone <= 0 {
		return follow.SourceStore, 0
	}
	g.readsAlone, g.aloneFailedAt = false, time.Time{}
	if from >= announcement.Next {
		g.options.OnUpToDate(announcement.AskedAt)
		return 0, max(untilReadAlone, minWait)
	}
	if from >= announcement.Large {
		return follow.SourceStoreNoWait, 0
	}
	if announcement.From == "" {
		return 0, max(untilReadAlone, minWait) // it is believed to have ended: its successor will announce
	}
	return g.decideLarge(now)
}

// readAloneAt returns when this node is to read on its own unless it receives an announcement before.
func (g *Guide) readAloneAt() time.Time {
	silentSince := g.lastFreshAt
	if g.observation.ReadableSince.After(silentSince) {
		silentSince = g.observation.ReadableSince // before that no announcement could be read
	}
	return silentSince.Add(announcementTimeout + g.jitter(announcementJitter))
}

// decideUnreadable decides how to read while announcements cannot be read from the store.
func (g *Guide) decideUnreadable(now time.Time) follow.Source {
	if now.Sub(g.observation.ReadAt) < unreadableTimeout+g.jitter(unreadableJitter) {
		return follow.SourceRelay
	}
	switch {
	case g.readsAlone:
		return follow.SourceStore
	case !g.aloneFailedAt.IsZero() && now.Sub(g.aloneFailedAt) < aloneRetryDelay:
		return follow.SourceRelay
	}
	return follow.SourceStoreProbe
}

// decideLarge decides how to obtain a large change.
func (g *Guide) decideLarge(now time.Time) (follow.Source, time.Duration) {
	if g.fetchTarget != g.observation.Announcement.Large {
		g.fetchTarget, g.fetchAttempts, g.fetchAttemptAt = g.observation.Announcement.Large, 0, now
	}
	if g.fetchAttempts < maxFetchAttempts {
		return follow.SourcePeers, g.fetchAttemptAt.Add(g.jitter(fetchJitter)).Sub(now)
	}
	return follow.SourceStoreNoWait, g.fetchAttemptAt.Add(g.jitter(fallbackJitter)).Sub(now)
}

func (g *Guide) jitter(interval time.Duration) time.Duration {
	return time.Duration(g.options.Share * float64(interval))
}

// Note implements follow.SourceSelector.
func (g *Guide) Note(source follow.Source, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	switch {
	case source == follow.SourcePeers && err != nil:
		g.fetchAttempts++
		g.fetchAttemptAt = now
	case source == follow.SourcePeers:
	case err == nil:
		g.readsAlone, g.aloneFailedAt = g.observation.ReadableSince.IsZero(), time.Time{}
	default:
		g.readsAlone, g.aloneFailedAt = false, now
	}
}
