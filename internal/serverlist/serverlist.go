// Package serverlist keeps a node's directory of back ends up to date from the store.
// In a small fleet every node reads the back ends' heartbeats itself. In a large one
// the coordinator does, and relays what changed by a topic of the product. Whoever
// finds the relay silent reads the heartbeats instead and relays for the others.
package serverlist

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

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
	// LargeFleet is the number of servers from which on the list is relayed.
	LargeFleet int
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
	startedAt   time.Time
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
	return &List{options: options, relay: newRelay(options.Self)}
}

// The timing of a list.
const (
	// checkInterval is the time between two looks at which way the list is read, and
	// smallInterval that in a small fleet, where it is read in one way only.
	checkInterval = 100 * time.Millisecond
	smallInterval = time.Second
	// relayWait is how long the store may hold a read of the relay that finds nothing.
	relayWait    = 500 * time.Millisecond
	relayTimeout = 1200 * time.Millisecond
	relayRetry   = 150 * time.Millisecond
	relaySlowest = 600 * time.Millisecond
	// startPatience is how long a node that starts waits for the relay to speak, where
	// there is one, before it reads heartbeats, some nodes longer than others.
	startPatience = 300 * time.Millisecond
)

var relayPartition = store.Partition{Topic: store.TopicServerRelay}

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
	return max(count, len(l.relay.servers)) >= l.options.LargeFleet
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
	case !l.relayRead:
		return l.direct || now.Sub(l.startedAt) > startPatience
	case l.relay.servers == nil || l.complete && !large:
		return true
	case !l.complete && !l.direct:
		return now.Sub(l.relayReadAt) > startPatience+l.spread() && now.Sub(l.relay.toldByOthersAt) > relayStale
	case l.direct:
		return now.Sub(l.relay.toldByOthersAt) > relayStale
	}
	return now.Sub(l.relay.toldByOthersAt) > relayStale+l.spread()
}

// spread is this node's share of the time in which nodes begin to read heartbeats.
func (l *List) spread() time.Duration {
	share := float64(xxhash.Sum64String(l.options.Self)>>11) / (1 << 53)
	return time.Duration(float64(relaySpread) * math.Pow(share, relayHaste))
}

// adoptable says whether the directory is to be taken from the relay: it does not follow
// the relay yet, and no heartbeats come any more, which may be older.
func (l *List) adoptable(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (l.direct || !l.complete) && l.relay.servers != nil && now.Sub(l.relay.toldByOthersAt) < relayStale
}

// runDirect reads the heartbeats while this node is to, and has the directory follow the
// relay while it is not.
func (l *List) runDirect(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		switch {
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
	l.options.Logger.Info("list read from heartbeats", zap.Bool("leading", leading), zap.Bool("known", known), zap.Int64("offset", from))
	var watch conc.WaitGroup
	watch.Go(func() { l.endWhenRelayed(ctx, cancel, versions) })
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: l.options.Log, Topic: store.TopicServers, Pace: l.options.Pace, Wait: l.options.Wait, Logger: l.options.Logger,
		Replace: l.replace, Change: l.change, Read: l.noteRead, From: from, FromKnown: known,
	})
	cancel()
	watch.Wait()
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
		l.log(effective)
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
func (l *List) noteRead(next int64, end bool, _ time.Time) {
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
func (l *List) log(changes []directory.Change) {
	lines := 0
	for _, change := range changes {
		if change.Server != nil && change.Before != nil && directory.SameIgnoringVersions(change.Before, change.Server) {
			continue
		}
		lines++
		if lines > linesOfChange {
			l.options.Logger.Info("more servers changed", zap.Int("servers", len(changes)))
			return
		}
		if change.Server == nil {
			l.options.Logger.Info("server gone", zap.String("server", change.ID))
			continue
		}
		l.options.Logger.Info("server changed", zap.String("server", change.ID), zap.String("service", change.Server.Service),
			zap.String("address", change.Server.Address), zap.Bool("draining", change.Server.Draining))
	}
}

// runRelay follows the relay of a large fleet. It is read once in a small one too,
// since a node that starts does not know the fleet's size.
func (l *List) runRelay(ctx context.Context) {
	pace := follow.Pace{Most: relaySlowest, Retry: relayRetry}
	outage := follow.Outage{Logger: l.options.Logger}
	for ctx.Err() == nil {
		if l.knowsRelay() && !l.large() {
			pause.For(ctx, smallInterval)
			continue
		}
		err := l.advanceRelay(ctx)
		outage.Note(err, zap.Stringer("partition", relayPartition))
		pause.For(ctx, pace.Next(err))
	}
}

func (l *List) knowsRelay() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.relayRead
}

// advanceRelay reads on. The first reads wait for nothing: what they bring may be old.
func (l *List) advanceRelay(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	l.mutex.Lock()
	from, first := l.relay.end, !l.relayRead
	l.mutex.Unlock()
	wait := relayWait
	if first {
		wait = 0
	}
	read, err := l.options.Log.Read(ctx, relayPartition, from, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = l.options.Log.Read(ctx, relayPartition, trimmed.First, 0)
	}
	if err != nil {
		return err
	}
	l.handleRelay(read, first)
	return nil
}

func (l *List) handleRelay(read store.Batch, old bool) {
	now := clock.Now()
	l.mutex.Lock()
	var changes []directory.Change
	for _, stored := range read.Records {
		record, err := decodeRelay(stored.Value)
		if err != nil {
			l.options.Logger.Error("relay void", zap.Int64("offset", stored.Offset), zap.Error(err))
			continue
		}
		changes = append(changes, l.relay.handle(now, stored.Offset, record, old)...)
	}
	l.relay.end = max(l.relay.end, read.Next)
	if !l.relayRead && read.Next >= read.End {
		l.relayRead, l.relayReadAt = true, now
	}
	var effective []directory.Change
	if l.complete && !l.direct && len(read.Records) > 0 {
		l.next = l.relay.next
		l.options.Directory.NoteRead(now)
		effective = l.options.Directory.Apply(changes)
	}
	l.mutex.Unlock()
	if len(effective) > 0 {
		l.log(effective)
		l.options.Changed()
	}
}
