// Package serverlist keeps a node's directory of back ends up to date from the store. In a small fleet
// every node reads the back ends' heartbeats itself. In a large one the coordinator does, and relays the
// changes through a topic of this system. A node that finds the relay silent reads the heartbeats instead
// and relays for the others.
//
// What a node reads grows neither with the number of nodes nor with servers that it sends nothing to: the
// relay carries only the servers of services that all nodes use, changes go to all nodes, and snapshots are
// read only by nodes that start. docs/design/fleet.md has the costs as formulas and the measurements.
//
// List decides how the list is read, reads the heartbeats or the relay, and publishes the relay's records;
// the type relay folds and creates these.
package serverlist

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/store"
)

// DefaultLargeFleetSize is the number of servers at and above which the list is relayed.
const DefaultLargeFleetSize = 200

// Options configures a List.
type Options struct {
	Log       store.Log
	Directory *directory.Directory
	Logger    *zap.Logger
	// Decode decodes the entry of a server. Digest returns a digest of an entry that ignores what every
	// heartbeat changes.
	Decode func(store.Record) (directory.Server, error)
	Digest func(value []byte) uint64
	// Self is the unique name of this process.
	Self string
	// Leading reports whether this node is the coordinator, which also needs the servers' weight versions.
	Leading func() bool
	// Established reports whether another node has coordinated since before this one started. A node that
	// relays the list in this node's format would have done so by now. Nil means never.
	Established func() bool
	// ObserveInvalid is called for each entry that is left out since it cannot be that of a server; nil ignores them.
	ObserveInvalid func()
	// OnChange is called whenever the directory has changed.
	OnChange func()
	// SharedServices returns a predicate for the services that all nodes send requests to; the servers of other
	// services are known only to nodes that read the heartbeats. It returns nil while this is unknown.
	SharedServices func() func(service string) bool
	// LargeFleetSize is the number of servers at and above which the list is relayed.
	LargeFleetSize int
	// LeaveBound is the time after which a draining server must get no more requests; 0 selects
	// DefaultLeaveBound. The relay's intervals are fractions of it.
	LeaveBound time.Duration
	// MinReadInterval is the shortest time between two reads of the heartbeats, ReadWait how long a read waits
	// for new entries.
	MinReadInterval, ReadWait time.Duration
}

// List keeps a directory up to date.
type List struct {
	options Options

	// The mutex is held while the directory is updated from the relay, so that an earlier relay record never
	// overwrites a later one.
	mutex sync.Mutex
	relay relay
	// relayCaughtUp is set once the relay was read to its end, at relayCaughtUpAt.
	relayCaughtUp   bool
	relayCaughtUpAt time.Time
	// relayReadableSince is the time since which all reads of the relay have succeeded, the last one at
	// relayReadAt; zero while they fail.
	relayReadableSince, relayReadAt time.Time
	startedAt                       time.Time
	// sizeKnown is set once it is known whether the whole list fits a page of the store; exceedsPage is set if
	// it does not.
	sizeKnown, exceedsPage bool
	// snapshots holds what was read of the snapshots.
	snapshots snapshotReader
	// snapshotStarts holds the offsets at which the changes after the last snapshots begin; only the publisher
	// uses it.
	snapshotStarts []int64
	// hasFullList is set once the directory holds the whole list as of some time, complete once it was brought up
	// to date. readsHeartbeats is set while this node reads the heartbeats itself; nextOffset is the offset up
	// to which the directory reflects them.
	hasFullList     bool
	complete        bool
	readsHeartbeats bool
	nextOffset      int64
	invalid         invalidEntries
	// hasVersions is set if the directory has the servers' weight versions.
	hasVersions bool
}

// New returns a list that has not read anything yet.
func New(options Options) *List {
	if options.LargeFleetSize == 0 {
		options.LargeFleetSize = DefaultLargeFleetSize
	}
	if options.LeaveBound == 0 {
		options.LeaveBound = DefaultLeaveBound
	}
	if options.Established == nil {
		options.Established = func() bool { return false }
	}
	if options.SharedServices == nil {
		options.SharedServices = func() func(string) bool { return func(string) bool { return true } }
	}
	return &List{options: options, invalid: invalidEntries{logger: options.Logger, observe: options.ObserveInvalid}, relay: newRelay(options.Self, fraction(options.LeaveBound, publishIntervalShare), fraction(options.LeaveBound, publishGapShare))}
}

// Timing of a list.
const (
	// checkInterval is the time between two decisions on how the list is read, and smallFleetCheckInterval that
	// in a small fleet, where the list is always read in the same way.
	checkInterval           = 100 * time.Millisecond
	smallFleetCheckInterval = time.Second
	// firstRelayTimeout is how long a node of a large fleet without a relay waits for the first one before it reads all
	// heartbeats. The first coordinator takes about 3 s, and 1,000 nodes that read 10,000 entries each would
	// use the full read capacity of a store for 40 s. Such nodes start reading within firstRelayJitter, only a few of
	// them early.
	firstRelayTimeout = 6 * time.Second
	firstRelayJitter  = 6 * time.Second
	// jitterExponent makes early nodes rare: a fraction x of all nodes starts within x to this power of a
	// jitter interval. Of 1,000 nodes one starts within 0.35 of it, and ten within 0.5.
	jitterExponent = 0.15
	// relayReadMargin bounds a read of the relay beyond the time for which the store may hold it.
	relayReadMargin = 700 * time.Millisecond
	// relayRetryDelay is the delay after a failed read, maxRelayReadDelay the longest while the store
	// throttles.
	relayRetryDelay   = 150 * time.Millisecond
	maxRelayReadDelay = 600 * time.Millisecond
	// overdueReadWait is how long the store may hold a read of a relay whose next record is overdue, so that a
	// silent relay is detected quickly.
	overdueReadWait = 200 * time.Millisecond
	// sizeReadTimeout bounds the read of one of the first pages of the list, and sizeRetryDelay is the delay
	// after a failure.
	sizeReadTimeout = 2 * time.Second
	sizeRetryDelay  = 400 * time.Millisecond
	// tentativeReadBytes bounds each read of a node that may turn out not to be the one to read the heartbeats:
	// 64 MB for 1,000 nodes, where a store delivers 80 MB/s. At five reads a second this suffices for the
	// heartbeats of 1,000 servers.
	tentativeReadBytes = 64 << 10
	// directReadLimit is the number of servers at and above which a node waits for the relay of a fleet that
	// has none yet: as many as fit a page of the list.
	directReadLimit = 500
	// relayRecordTimeout is how long a node that starts waits for new records of an existing relay before it
	// reads heartbeats; a jitter is added per node.
	relayRecordTimeout = 300 * time.Millisecond
)

// DefaultLeaveBound is the time after which a draining server must get no more requests.
const DefaultLeaveBound = 2 * time.Second

// The relay's intervals as fractions of the leave bound: with a longer bound, all nodes are woken less
// often.
const (
	// publishIntervalShare is the longest time between two records of the relay, publishGapShare the shortest.
	publishIntervalShare, publishGapShare = 0.25, 0.1
	// staleShare is the age of the last record beyond which nodes start to read the heartbeats themselves,
	// within takeoverJitterShare, a few of them early and most of them late: the first one relays for the rest.
	staleShare, takeoverJitterShare = 0.45, 0.4
)

// Partitions of the relay. Nodes of builds with different record formats relay in separate partitions: in a
// common one each build would misread the other's records, and report servers as present that are gone, or
// the reverse.
var (
	changesPartition  = store.Partition{Topic: store.TopicServerList, Number: 0}
	snapshotPartition = store.Partition{Topic: store.TopicServerList, Number: 1}
)

// Complete reports whether the whole list has been known.
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
	background.Go(func() { l.runHeartbeats(ctx) })
	background.Go(func() { l.runRelayReader(ctx) })
	background.Go(func() { l.runPublisher(ctx) })
	background.Wait()
}
