// Package serverlist keeps a node's directory of back ends up to date from the store.
// In a small fleet every node reads the back ends' heartbeats itself. In a large one
// the coordinator does, and relays what changed by a topic of the product. Whoever
// finds the relay silent reads the heartbeats instead and relays for the others.
//
// What a node reads does not grow with the nodes, nor with servers that it sends nothing to: the
// relay tells the servers of services that all nodes use, changes to all nodes and snapshots to
// those that start. docs/design/fleet.md has the costs as formulas, and what was measured.
//
// way.go decides by which way the list is read, direct.go reads the heartbeats, follow.go the
// relay; relay.go folds and makes its records (record.go), publish.go appends them.
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
	// Established says whether another node has coordinated since before this one started, so that
	// whoever relays the list in this node's way would have done so by now. Nil stands for false.
	Established func() bool
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
	if options.Established == nil {
		options.Established = func() bool { return false }
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
	// all heartbeats: a first coordinator takes some 3 s, and 1,000 nodes that read 10,000 entries
	// each would take 40 s of what a store reads. Such nodes begin within bootSpread, few of them
	// early.
	bootPatience = 6 * time.Second
	bootSpread   = 6 * time.Second
	// relayHaste makes few nodes early: a share x of all begins within x to this power
	// of a spread. Of 1,000 nodes one begins within 0.35 of it, and ten within 0.5.
	relayHaste = 0.15
	// relayAnswer bounds a read of the relay beyond the time for which the store may hold it.
	relayAnswer = 700 * time.Millisecond
	// relayRetry is the pause after a failed read, relaySlowest the longest while the store
	// throttles.
	relayRetry   = 150 * time.Millisecond
	relaySlowest = 600 * time.Millisecond
	// overdueWait is how long the store may hold a read of a relay whose next record is overdue:
	// that nothing came is to be known soon.
	overdueWait = 200 * time.Millisecond
	// sizeTimeout bounds the reading of a page of the list, and sizeRetry the pause after one that
	// was not answered.
	sizeTimeout = 2 * time.Second
	sizeRetry   = 400 * time.Millisecond
	// unsureBytes bounds what a node reads at once that may not be the one to read: 64 MB for 1,000
	// nodes, where a store reads 80 MB a second; at five reads a second enough for the
	// heartbeats of 1,000 servers.
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

// The relay's times as shares of the time within which a server that leaves is to get no more
// requests: where that is longer, all nodes are woken more seldom.
const (
	// tellShare is the longest time between two records of the relay, pauseShare the shortest.
	tellShare, pauseShare = 0.25, 0.1
	// staleShare is the age of the last record beyond which nodes begin to read the heartbeats
	// themselves, within spreadShare, a few of them early and most of them late: the first
	// relays for the rest.
	staleShare, spreadShare = 0.45, 0.4
)

// The partitions of the relay. Nodes of builds whose records differ relay in partitions of their own: to each
// other, records of either would say of servers that are gone that they are there, or the other way round.
var (
	changesPartition  = store.Partition{Topic: store.TopicServerList, Number: 0}
	snapshotPartition = store.Partition{Topic: store.TopicServerList, Number: 1}
)

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
