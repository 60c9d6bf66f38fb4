// Package serverlist keeps a node's directory of back ends up to date from the store.
// In a small fleet every node reads the back ends' heartbeats itself. In a large one
// only the coordinator does; it relays what changed by a topic of the product, and the
// other nodes read the heartbeats only while the relay is silent.
package serverlist

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

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
	// Leading returns the epoch of the coordinator's lease while this node holds it.
	Leading func() (epoch int64, leading bool)
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

	mutex    sync.Mutex
	receiver receiver
	// complete is set once the whole list was known, direct while this node reads
	// the heartbeats itself, next is the offset up to which the directory has them.
	complete bool
	direct   bool
	next     int64
	// versions says that the directory has the servers' weight versions.
	versions bool
}

// New returns a list that reads nothing yet.
func New(options Options) *List {
	if options.LargeFleet == 0 {
		options.LargeFleet = DefaultLargeFleet
	}
	return &List{options: options}
}

// The timing of a list.
const (
	// checkInterval is the time between two looks at which way the list is read.
	checkInterval = 100 * time.Millisecond
	// relayWait is how long the store may hold a read of the relay that finds nothing.
	relayWait    = 500 * time.Millisecond
	relayTimeout = 1200 * time.Millisecond
	relayRetry   = 150 * time.Millisecond
	relaySlowest = 600 * time.Millisecond
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
	var background conc.WaitGroup
	background.Go(func() { l.runDirect(ctx) })
	background.Go(func() { l.runRelay(ctx) })
	background.Go(func() { l.runPublisher(ctx) })
	background.Wait()
}

// large says whether the fleet is one whose list is relayed.
func (l *List) large() bool {
	return l.options.Directory.Snapshot().Count() >= l.options.LargeFleet
}

// wantsDirect says whether this node is to read the heartbeats itself.
func (l *List) wantsDirect() bool {
	if _, leading := l.options.Leading(); leading || !l.large() {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.complete || !l.receiver.fresh(time.Now())
}

// runDirect reads the heartbeats while this node is to.
func (l *List) runDirect(ctx context.Context) {
	for ctx.Err() == nil {
		if l.wantsDirect() {
			l.followHeartbeats(ctx)
		}
		pause.For(ctx, checkInterval)
	}
}

// followHeartbeats reads the heartbeats until the relay takes over, or until this node
// needs the weight versions that it did not read.
func (l *List) followHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, leading := l.options.Leading()
	l.mutex.Lock()
	l.direct = true
	known := l.complete && (l.versions || !leading)
	from := l.next
	l.mutex.Unlock()
	l.options.Logger.Info("list read from heartbeats", zap.Bool("leading", leading), zap.Bool("known", known), zap.Int64("offset", from))
	var watch conc.WaitGroup
	watch.Go(func() { l.endWhenRelayed(ctx, cancel) })
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: l.options.Log, Topic: store.TopicServers, Pace: l.options.Pace, Wait: l.options.Wait, Logger: l.options.Logger,
		Replace: l.replace, Change: l.change, Read: l.noteRead, From: from, FromKnown: known,
	})
	cancel()
	watch.Wait()
}

// endWhenRelayed ends the reading of heartbeats once the relay is to be gone by.
func (l *List) endWhenRelayed(ctx context.Context, end context.CancelFunc) {
	for pause.For(ctx, checkInterval) {
		_, leading := l.options.Leading()
		if l.wantsDirect() && (!leading || l.hasVersions()) {
			continue
		}
		if !leading {
			l.adoptRelay()
		}
		end()
		return
	}
}

func (l *List) hasVersions() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.versions
}

// adoptRelay makes the directory what the relay says.
func (l *List) adoptRelay() {
	l.mutex.Lock()
	l.direct, l.versions = false, false
	l.next = l.receiver.next
	servers := l.receiver.list()
	l.mutex.Unlock()
	l.options.Directory.Replace(servers)
	l.options.Directory.NoteRead(time.Now())
	l.options.Logger.Info("list taken from the relay", zap.Int("servers", len(servers)), zap.Int64("offset", l.next))
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
	l.complete, l.versions = true, true
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
		if server, ok := l.decode(record); ok {
			changes = append(changes, directory.Change{ID: record.Key, Server: &server})
		}
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

func (l *List) decode(record store.Record) (directory.Server, bool) {
	if len(record.Value) == 0 {
		return directory.Server{}, false
	}
	server, err := l.options.Decode(record)
	if err != nil {
		l.options.Logger.Error("server entry void", zap.String("server", record.Key), zap.Error(err))
		return directory.Server{}, false
	}
	server.Digest = l.options.Digest(record.Value)
	return server, true
}

func (l *List) noteRead(next int64) {
	l.options.Directory.NoteRead(time.Now())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next = next
}

// linesOfChange bounds the lines that one read of the list may log.
const linesOfChange = 20

func (l *List) log(changes []directory.Change) {
	for i, change := range changes {
		if i == linesOfChange {
			l.options.Logger.Info("more servers changed", zap.Int("servers", len(changes)-i))
			return
		}
		if change.Server == nil {
			l.options.Logger.Info("server gone", zap.String("server", change.ID))
			continue
		}
		l.options.Logger.Info("server changed", zap.String("server", change.ID), zap.String("service", change.Server.Service),
			zap.String("address", change.Server.Address), zap.Bool("draining", change.Server.Draining), zap.Any("versions", change.Server.Versions))
	}
}

// runRelay follows the relay while the fleet is large and another node coordinates.
func (l *List) runRelay(ctx context.Context) {
	next := int64(0)
	pace := follow.Pace{Most: relaySlowest, Retry: relayRetry}
	outage := follow.Outage{Logger: l.options.Logger}
	for ctx.Err() == nil {
		if _, leading := l.options.Leading(); leading || !l.large() {
			pause.For(ctx, checkInterval)
			continue
		}
		read, err := l.readRelay(ctx, next)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) {
			next, err = trimmed.First, nil
		} else if err == nil {
			l.handleRelay(read.Records)
			next = read.Next
		}
		outage.Note(err, zap.Stringer("partition", relayPartition))
		pause.For(ctx, pace.Next(err))
	}
}

func (l *List) readRelay(ctx context.Context, next int64) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return l.options.Log.Read(ctx, relayPartition, next, relayWait)
}

func (l *List) handleRelay(records []store.Record) {
	var effective []directory.Change
	for _, read := range records {
		record, err := decodeRelay(read.Value)
		if err != nil {
			l.options.Logger.Error("relay void", zap.Int64("offset", read.Offset), zap.Error(err))
			continue
		}
		effective = append(effective, l.takeRelay(record)...)
	}
	if len(effective) > 0 {
		l.log(effective)
		l.options.Changed()
	}
}

// takeRelay folds a record; the directory follows it unless heartbeats are read.
func (l *List) takeRelay(record *relayRecord) []directory.Change {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changes, full := l.receiver.handle(time.Now(), record)
	if l.direct || l.receiver.servers == nil {
		return nil
	}
	l.next = l.receiver.next
	l.options.Directory.NoteRead(time.Now())
	if full {
		l.options.Directory.Snapshot().All(func(server *directory.Server) {
			if l.receiver.servers[server.ID] == nil {
				changes = append(changes, directory.Change{ID: server.ID})
			}
		})
	}
	return l.options.Directory.Apply(changes)
}
