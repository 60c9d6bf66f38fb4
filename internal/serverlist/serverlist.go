// Package serverlist keeps a node's directory of back ends up to date from the store.
// In a small fleet every node reads the back ends' heartbeats itself. In a large one
// the coordinator does, and relays what changed by a topic of the product. Whoever
// finds the relay silent reads the heartbeats instead and relays for the others.
package serverlist

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/follow"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// DefaultLargeFleet is the number of servers from which on the list is relayed.
const DefaultLargeFleet = 200

// Options configure a List.
type Options struct {
	Log       store.Log
	Directory *directory.Directory
	Logger    *zap.Logger
	// Decode decodes the entry of a server; Digest tells entries apart without what
	// every heartbeat changes.
	Decode func(store.Record) (directory.Server, error)
	Digest func(value []byte) uint64
	// Self names this process unlike any other.
	Self string
	// Leading says whether this node coordinates; it needs weight versions then.
	Leading func() bool
	// Changed is told whenever the directory has changed.
	Changed func()
	// Shared returns which services all nodes send requests to; the servers of others are known to
	// those that read the heartbeats alone. It returns nil while that is not known.
	Shared func() func(service string) bool
	// LargeFleet is the number of servers from which on the list is relayed.
	LargeFleet int
	// LeaveBound is the time within which a server that leaves is to get no more requests;
	// DefaultLeaveBound for 0. Its parts bound how long the relay may be silent.
	LeaveBound time.Duration
	// Pace is the shortest time between two reads of the heartbeats, Wait how long a
	// read waits for news.
	Pace, Wait time.Duration
}

// List keeps a directory up to date.
type List struct {
	options Options

	// The directory is made what the relay says under the mutex, so that what was
	// relayed earlier never overwrites what was relayed later.
	mutex sync.Mutex
	relay relay
	// relayRead is set once the relay was read to its end, at relayReadAt.
	relayRead   bool
	relayReadAt time.Time
	// contactSince is since when all reads of the relay were answered, the last one at contactAt; zero
	// while they are not.
	contactSince, contactAt time.Time
	startedAt               time.Time
	// sized is set once it is known whether the whole list fits a page of the store; crowded says
	// that it does not.
	sized, crowded bool
	// snapshots are what was read of them.
	snapshots snapshotReader
	// snapshotsSince holds where the changes of the last snapshots begin; the publisher uses it.
	snapshotsSince []int64
	// based is set once the directory holds the whole list as it stood at some time,
	// complete once it was brought up to date. Direct is set while this node reads the
	// heartbeats itself; next is the offset up to which the directory has them.
	based    bool
	complete bool
	direct   bool
	next     int64
	// voidLoggedAt is when an entry that names no server was last logged; one goroutine uses it.
	voidLoggedAt time.Time
	// versions says that the directory has the servers' weight versions.
	versions bool
}

// New returns a list that reads nothing yet.
func New(options Options) *List {
	if options.LargeFleet == 0 {
		options.LargeFleet = DefaultLargeFleet
	}
	if options.LeaveBound == 0 {
		options.LeaveBound = DefaultLeaveBound
	}
	if options.Shared == nil {
		options.Shared = func() func(string) bool { return func(string) bool { return true } }
	}
	return &List{options: options, relay: newRelay(options.Self, share(options.LeaveBound, tellShare), share(options.LeaveBound, pauseShare))}
}

// The timing of a list.
const (
	// checkInterval is the time between two looks at which way the list is read, and
	// smallInterval that in a small fleet, where it is read in one way only.
	checkInterval = 100 * time.Millisecond
	smallInterval = time.Second
	// bootPatience is how long a node of a large fleet without a relay waits for one before it reads
	// all heartbeats: a first coordinator takes 3 s, and 1,000 nodes that read 10,000 entries each
	// take 6 s of the store's link.
	bootPatience = 6 * time.Second
	// bootSpread is the time in which such nodes begin, few of them early.
	bootSpread = 6 * time.Second
	// relayHaste makes few nodes early: a share x of all begins within x to this power
	// of a spread. Of 1,000 nodes one begins within 0.35 of it, and ten within 0.5.
	relayHaste = 0.15
	// relayAnswer bounds a read of the relay beyond the time for which the store may hold it.
	relayAnswer  = 700 * time.Millisecond
	relayRetry   = 150 * time.Millisecond
	relaySlowest = 600 * time.Millisecond
	// overdueWait is how long the store may hold a read of a relay whose next record is overdue:
	// that nothing came is to be known soon.
	overdueWait = 200 * time.Millisecond
	// sizeTimeout bounds the reading of a page of the list, and sizeRetry the pause after one that
	// was not answered.
	sizeTimeout = 2 * time.Second
	sizeRetry   = 400 * time.Millisecond
	// unsureBytes bounds what a node reads at once that may not be the one to read: of 1,000 nodes
	// 64 MB, an eighth of a second of a store's link, and enough for the heartbeats of 1,000 servers.
	unsureBytes = 64 << 10
	// crowdedFrom is the number of servers from which on a node waits for the relay of a fleet that
	// has none yet: as many as fit a page of the list.
	crowdedFrom = 500
	// startPatience is how long a node that starts waits for the relay to speak, where
	// there is one, before it reads heartbeats, some nodes longer than others.
	startPatience = 300 * time.Millisecond
)

// DefaultLeaveBound is the time within which a server that leaves is to get no more requests.
const DefaultLeaveBound = 2 * time.Second

// The shares of the bound.
const (
	// tellShare is the longest time between two records of the relay, pauseShare the shortest.
	tellShare, pauseShare = 0.25, 0.1
	// staleShare is the age of the last record beyond which nodes begin to read the heartbeats
	// themselves, within spreadShare, a few of them early and most of them late: the first
	// relays for the rest.
	staleShare, spreadShare = 0.45, 0.4
)

// The partitions of the relay.
var (
	changesPartition  = store.Partition{Topic: store.TopicServerRelay, Number: 0}
	snapshotPartition = store.Partition{Topic: store.TopicServerRelay, Number: 1}
)

// stale is the age of the relay's last record beyond which it counts as silent.
func (l *List) stale() time.Duration { return share(l.options.LeaveBound, staleShare) }

func share(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }

// silentLocked returns for how long nobody else has told anything, as far as this node read. A relay that
// can not be read is not silent: all nodes would read the heartbeats when the store comes back, and
// keep it down by that.
func (l *List) silentLocked() time.Duration {
	if l.contactSince.IsZero() {
		return 0
	}
	since := l.contactSince
	if l.relay.toldByOthersAt.After(since) {
		since = l.relay.toldByOthersAt
	}
	return l.contactAt.Sub(since)
}

// Complete says whether the whole list has been known.
func (l *List) Complete() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.complete
}

// Run keeps the directory up to date until the context ends.
func (l *List) Run(ctx context.Context) {
	l.mutex.Lock()
	l.startedAt = clock.Now()
	l.mutex.Unlock()
	var background conc.WaitGroup
	background.Go(func() { l.runDirect(ctx) })
	background.Go(func() { l.runRelay(ctx) })
	background.Go(func() { l.runPublisher(ctx) })
	background.Wait()
}

// large says whether the fleet is one whose list is relayed, by what this node has
// or by what the relay told it.
func (l *List) large() bool {
	count := l.options.Directory.Snapshot().Count()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.crowded || max(count, l.relay.total) >= l.options.LargeFleet
}

// checkPause returns the time until the next look at how the list is read.
func (l *List) checkPause() time.Duration {
	if l.large() {
		return checkInterval
	}
	return smallInterval
}

// wantsDirect says whether this node is to read the heartbeats itself.
func (l *List) wantsDirect(now time.Time) bool {
	if l.options.Leading() {
		return true
	}
	large := l.large()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.complete && !large:
		return true
	case l.relay.servers == nil && !l.crowded:
		return l.sized
	case l.direct:
		return l.silentLocked() > l.stale()
	case l.complete:
		return l.silentLocked() > l.stale()+l.relaySpread()
	case l.relay.servers == nil:
		return now.Sub(l.startedAt) > bootPatience+l.spread(bootSpread)
	}
	return l.relayRead && now.Sub(l.relayReadAt) > startPatience+l.relaySpread() && l.silentLocked() > l.stale()
}

// spread is this node's share of a time in which nodes begin to read heartbeats.
func (l *List) spread(all time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(l.options.Self)>>11) / (1 << 53)
	return time.Duration(float64(all) * math.Pow(share, relayHaste))
}

func (l *List) relaySpread() time.Duration {
	return l.spread(share(l.options.LeaveBound, spreadShare))
}

// wantsSize says whether this node is to learn whether the fleet is small: it knows no list, and no
// relay that has one.
func (l *List) wantsSize(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sized || l.based || l.relay.servers != nil {
		return false
	}
	return l.relayRead || now.Sub(l.startedAt) > startPatience
}

// learnSize reads the first page of the list. In a small fleet that is all of it; in a large one the
// rest is not read: that each of 1,000 nodes reads 10,000 entries is more than a store carries.
func (l *List) learnSize(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sizeTimeout)
	defer cancel()
	page, err := store.ReadNewestPage(ctx, l.options.Log, store.TopicServers, "")
	if err != nil {
		l.options.Logger.Warn("size of the fleet not learned", zap.Error(err))
		pause.For(ctx, l.spread(sizeRetry))
		return
	}
	if !page.More {
		l.replace(page.Records)
		l.noteRead(page.End, true)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sized, l.crowded = true, page.More
}

// adoptable says whether the directory is to be taken from the relay: it does not follow
// the relay yet, and no heartbeats come any more, which may be older.
func (l *List) adoptable(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (l.direct || !l.complete) && l.relay.servers != nil && !l.relay.toldByOthersAt.IsZero() && now.Sub(l.relay.toldByOthersAt) < l.stale()
}

// runDirect reads the heartbeats while this node is to, and has the directory follow the
// relay while it is not.
func (l *List) runDirect(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		switch {
		case l.options.Leading():
			l.followHeartbeats(ctx)
		case l.wantsSize(now):
			l.learnSize(ctx)
		case l.wantsDirect(now):
			l.followHeartbeats(ctx)
		case l.adoptable(now):
			l.adoptRelay()
		}
		l.awaitCheck(ctx)
	}
}

// awaitCheck waits until it is time to look again, a short time before the relay was
// read for the first time.
func (l *List) awaitCheck(ctx context.Context) {
	l.mutex.Lock()
	known := l.relayRead
	l.mutex.Unlock()
	if known {
		pause.For(ctx, checkInterval)
		return
	}
	pause.For(ctx, checkInterval/20)
}

// followHeartbeats reads the heartbeats until the relay takes over, or until this node
// needs the weight versions that it did not read.
func (l *List) followHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leading := l.options.Leading()
	from, known, versions := l.beginDirect(leading)
	mostBytes := 0
	if l.isUnsure(leading) {
		mostBytes = unsureBytes
	}
	l.options.Logger.Info("list read from heartbeats", zap.Bool("leading", leading), zap.Bool("known", known), zap.Int64("offset", from))
	var watch conc.WaitGroup
	watch.Go(func() { l.endWhenRelayed(ctx, cancel, versions) })
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: l.options.Log, Topic: store.TopicServers, Pace: l.options.Pace, Wait: l.options.Wait, Logger: l.options.Logger,
		Replace: l.replace, Change: l.change, From: from, FromKnown: known, MostBytes: mostBytes,
		Read: func(next int64, end bool, _ time.Time) {
			l.noteRead(next, end)
			if l.isUnsure(leading) && l.leaveCrowd() {
				cancel()
			}
		},
	})
	cancel()
	watch.Wait()
}

// isUnsure says whether this node reads the heartbeats without knowing whether it is to: the servers
// may be about to start, as it is.
func (l *List) isUnsure(leading bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !leading && l.relay.servers == nil
}

// leaveCrowd ends the reading of heartbeats where more servers have come than fit a page, and returns
// whether it did: the list is taken from the relay then.
func (l *List) leaveCrowd() bool {
	count := l.options.Directory.Snapshot().Count()
	if count < crowdedFrom {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.crowded, l.direct, l.based, l.complete = true, false, false, false
	l.options.Logger.Info("list too long to be read by each node", zap.Int("servers", count))
	return true
}

// beginDirect returns the offset from which the heartbeats are to be read, where what
// was before is known: from earlier reads, or from what the relay told last. A node
// that coordinates begins with the newest entries, which have weight versions; versions
// says whether the list will have them.
func (l *List) beginDirect(leading bool) (from int64, known, versions bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.direct = true
	if !l.based && l.relay.servers != nil {
		l.based, l.next = true, l.relay.next
		l.options.Directory.Replace(l.relay.list())
	}
	known = l.based && (l.versions || !leading)
	return l.next, known, l.versions || !known
}

// endWhenRelayed ends the reading of heartbeats once the relay is to be gone by, or once
// this node coordinates and the reading does not bring weight versions.
func (l *List) endWhenRelayed(ctx context.Context, end context.CancelFunc, versions bool) {
	for pause.For(ctx, l.checkPause()) {
		leading := l.options.Leading()
		if l.wantsDirect(clock.Now()) && (versions || !leading) {
			continue
		}
		end()
		return
	}
}

// adoptRelay makes the directory what the relay says.
func (l *List) adoptRelay() {
	l.mutex.Lock()
	l.direct, l.versions, l.based, l.complete = false, false, true, true
	l.next = l.relay.next
	next, servers := l.next, l.relay.list()
	l.options.Directory.Replace(servers)
	l.options.Directory.NoteRead(clock.Now())
	l.mutex.Unlock()
	l.options.Logger.Info("list taken from the relay", zap.Int("servers", len(servers)), zap.Int64("offset", next))
	l.options.Changed()
}

// replace takes the newest entry of every server.
func (l *List) replace(records []store.Record) {
	servers := make([]directory.Server, 0, len(records))
	for _, record := range records {
		if server, ok := l.decode(record); ok {
			servers = append(servers, server)
		}
	}
	l.options.Directory.Replace(servers)
	l.options.Logger.Info("list of servers read", zap.Int("servers", len(servers)))
	l.mutex.Lock()
	l.based, l.versions = true, true
	l.mutex.Unlock()
	l.options.Changed()
}

// change takes entries in the order in which they were written.
func (l *List) change(records []store.Record) {
	var changes []directory.Change
	for _, record := range records {
		if len(record.Value) == 0 {
			changes = append(changes, directory.Change{ID: record.Key})
			continue
		}
		if l.options.Directory.Holds(record.Key, l.options.Digest(record.Value)) && !mentioned(changes, record.Key) {
			continue
		}
		change := directory.Change{ID: record.Key}
		if server, ok := l.decode(record); ok {
			change.Server = &server
		}
		changes = append(changes, change)
	}
	if effective := l.options.Directory.Apply(changes); len(effective) > 0 {
		level := zap.InfoLevel
		if l.large() && !l.options.Leading() {
			// The coordinator logs each change; a thousand nodes that read the same tell no more.
			level = zap.DebugLevel
		}
		l.log(level, effective)
		l.options.Changed()
	}
}

// mentioned says whether a server is among changes that were not applied yet.
func mentioned(changes []directory.Change, id string) bool {
	for _, change := range changes {
		if change.ID == id {
			return true
		}
	}
	return false
}

// voidInterval is the time between two log lines about entries that are no server's: who writes
// such entries may do so all the time.
const voidInterval = time.Second

func (l *List) logVoid(key string, err error) {
	now := clock.Now()
	if now.Sub(l.voidLoggedAt) < voidInterval {
		return
	}
	l.voidLoggedAt = now
	l.options.Logger.Error("server entry void", zap.String("server", key), zap.Error(err))
}

// decode reads the entry of a server; ok is false for one that names none to use.
func (l *List) decode(record store.Record) (directory.Server, bool) {
	if len(record.Value) == 0 {
		return directory.Server{}, false
	}
	server, err := l.options.Decode(record)
	if err != nil {
		l.logVoid(record.Key, err)
		return directory.Server{}, false
	}
	server.Digest = l.options.Digest(record.Value)
	return server, true
}

// noteRead notes a read of the heartbeats; a list that was not read to the end is as
// old as before.
func (l *List) noteRead(next int64, end bool) {
	l.mutex.Lock()
	l.next = next
	l.complete = l.complete || end
	l.mutex.Unlock()
	if end {
		l.options.Directory.NoteRead(clock.Now())
	}
}

// linesOfChange bounds the lines that one read of the list may log.
const linesOfChange = 8

// log tells what changed, but for weight versions, which the coordinator tells.
func (l *List) log(level zapcore.Level, changes []directory.Change) {
	if !l.options.Logger.Core().Enabled(level) {
		return
	}
	lines := 0
	for _, change := range changes {
		if change.Server != nil && change.Before != nil && directory.SameIgnoringVersions(change.Before, change.Server) {
			continue
		}
		lines++
		if lines > linesOfChange {
			l.options.Logger.Log(level, "more servers changed", zap.Int("servers", len(changes)))
			return
		}
		if change.Server == nil {
			l.options.Logger.Log(level, "server gone", zap.String("server", change.ID))
			continue
		}
		l.options.Logger.Log(level, "server changed", zap.String("server", change.ID), zap.String("service", change.Server.Service),
			zap.String("address", change.Server.Address), zap.Bool("draining", change.Server.Draining))
	}
}
