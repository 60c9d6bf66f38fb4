package frontend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/election"
	"dalehook/internal/fanout"
	"dalehook/internal/follow"
	"dalehook/internal/liveness"
	"dalehook/internal/pause"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
	"dalehook/internal/storeproxy"
)

// outage is the way in which a store fails for the affected nodes.
type outage int

const (
	outageRefuses outage = iota
	outageSilent
	outageResets
	outageSlow
)

var errReset = fmt.Errorf("connection reset")

// slowAnswerDelay is the delay of a slow store's answers.
const slowAnswerDelay = 240 * time.Millisecond

// fleetStore is a store shared by hundreds of nodes. Its reads share a limited bandwidth, and it
// can have an outage for some of the nodes.
type fleetStore struct {
	memory *storetest.Memory

	mutex    sync.Mutex
	kind     outage
	affected func(node int) bool
	// freeAt is when the answers begun so far have been sent.
	freeAt time.Time
}

// storeBytesPerSecond is the read bandwidth of the platform's store for all nodes together.
const storeBytesPerSecond = 80e6

func (s *fleetStore) setOutage(kind outage, affected func(node int) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.kind, s.affected = kind, affected
}

func (s *fleetStore) outageOf(node int) (outage, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.kind, s.affected != nil && s.affected(node)
}

// send returns how long an answer of a size takes, including the queue before it.
func (s *fleetStore) send(size int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / storeBytesPerSecond * float64(time.Second)))
	return s.freeAt.Sub(now)
}

// nodeLog is the store as seen by one node.
type nodeLog struct {
	*fleetStore
	node int
}

var _ store.Log = nodeLog{}

func (l nodeLog) applyOutage(ctx context.Context) error {
	kind, affected := l.outageOf(l.node)
	if !affected {
		return ctx.Err()
	}
	switch kind {
	case outageRefuses:
		return store.ErrRefused
	case outageResets:
		return errReset
	case outageSlow:
		time.Sleep(slowAnswerDelay)
		return ctx.Err()
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l nodeLog) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	if err := l.applyOutage(ctx); err != nil {
		return 0, err
	}
	return l.memory.Append(ctx, at, payloads)
}

func (l nodeLog) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	if err := l.applyOutage(ctx); err != nil {
		return 0, err
	}
	return l.memory.AppendAt(ctx, at, end, payloads)
}

func (l nodeLog) PutKeyed(ctx context.Context, topic store.Topic, records []store.Record) error {
	if err := l.applyOutage(ctx); err != nil {
		return err
	}
	return l.memory.PutKeyed(ctx, topic, records)
}

func (l nodeLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if err := l.applyOutage(ctx); err != nil {
		return store.Batch{}, err
	}
	read, err := l.memory.Read(ctx, at, from, wait)
	if err != nil {
		return read, err
	}
	if !pause.For(ctx, l.send(sizeOf(read.Records))) {
		return store.Batch{}, ctx.Err()
	}
	return read, nil
}

func (l nodeLog) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	if err := l.applyOutage(ctx); err != nil {
		return nil, 0, err
	}
	records, end, err := l.memory.Newest(ctx, topic)
	if err != nil {
		return nil, 0, err
	}
	if !pause.For(ctx, l.send(sizeOf(records))) {
		return nil, 0, ctx.Err()
	}
	return records, end, nil
}

func sizeOf(records []store.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Value)
	}
	return size
}

func (l nodeLog) Trim(ctx context.Context, at store.Partition, before int64) error {
	if err := l.applyOutage(ctx); err != nil {
		return err
	}
	return l.memory.Trim(ctx, at, before)
}

// fleetNode is a node that takes part in the election and follows the operator topic.
type fleetNode struct {
	yielder election.Yielder
	peers   storeproxy.Peers
	proxy   *storeproxy.Proxy
	// stop ends the node; stopped is true afterwards.
	stop    context.CancelFunc
	stopped bool

	mutex        sync.Mutex
	held         bool
	largestKnown int
	// value is the value received last, at offset; regressed is true if it came after a later
	// offset.
	value     []byte
	offset    int64
	regressed bool

	// guide and source are nil in a small fleet, whose coordinator announces nothing.
	guide *fanout.Guide
	cache *fanout.Cache
	// link limits the node's bandwidth to other nodes.
	link nodeLink
}

// linkBytesPerSecond is the bandwidth of one node to all others.
const linkBytesPerSecond = 75e6

// nodeLink is a link that sends answers one after another.
type nodeLink struct {
	mutex  sync.Mutex
	freeAt time.Time
}

// send returns how long an answer of a size takes, including the queue before it.
func (l *nodeLink) send(size int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / linkBytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}

func (n *fleetNode) observe(state election.State) {
	n.peers.Add(state.Coordinator)
	if n.guide != nil {
		n.guide.Observe(fanoutObservation(state, true))
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held = state.Held
}

// announcement corresponds to Node.operatorAnnouncement in a large fleet.
func (n *fleetNode) announcement() *election.Announcement {
	if n.cache == nil {
		return nil
	}
	return announcementOf(n.cache)
}

func (n *fleetNode) receive(records []store.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, record := range records {
		n.largestKnown = max(n.largestKnown, len(record.Value))
		n.regressed = n.regressed || record.Offset < n.offset
		n.value, n.offset = record.Value, record.Offset
	}
}

func (n *fleetNode) state() (held bool, known int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.held, n.largestKnown
}

// fleetOfNodes runs hundreds of nodes on one store.
type fleetOfNodes struct {
	store   *fleetStore
	nodes   []*fleetNode
	ctx     context.Context
	running *sync.WaitGroup
	// large is true if the coordinator announces changes to the others.
	large bool
}

func startFleet(ctx context.Context, running *sync.WaitGroup, nodes int) *fleetOfNodes {
	return startFleetWith(ctx, running, nodes, nil)
}

// startFleetWith starts a fleet on a store that already holds a configuration, nil for none.
func startFleetWith(ctx context.Context, running *sync.WaitGroup, nodes int, configuration []byte) *fleetOfNodes {
	f := &fleetOfNodes{store: &fleetStore{memory: storetest.NewMemory()}, ctx: ctx, running: running, large: nodes >= wholeFleetNodes}
	if configuration != nil {
		f.store.memory.Put(store.TopicOperator, "config", configuration)
	}
	for number := range nodes {
		f.startNode(float64(number) / float64(nodes))
	}
	return f
}

// startNode adds a node to the fleet; share is its position in the fleet, from 0 to 1.
func (f *fleetOfNodes) startNode(share float64) *fleetNode {
	ctx, stop := context.WithCancel(f.ctx)
	number := len(f.nodes)
	log := nodeLog{fleetStore: f.store, node: number}
	node := &fleetNode{stop: stop}
	node.proxy = storeproxy.NewProxy(log, &node.peers)
	f.nodes = append(f.nodes, node)
	name := fmt.Sprint(number)
	settings := &Settings{Node: name}
	following := follow.KeyedOptions{
		Log: log, Topic: store.TopicOperator, MinInterval: operatorMinInterval, Wait: operatorPollWait, LargeTopic: true, Logger: zap.NewNop(),
		Replace: node.receive, Change: node.receive, OnRead: func(int64, bool, time.Time) {}, ReadRelayed: f.relayFunc(node),
	}
	if f.large {
		f.enableFanout(node, name, share, &following)
	}
	f.running.Add(2)
	go func() {
		defer f.running.Done()
		election.Run(ctx, election.Options{
			Log: log, Self: name, Address: name, Timing: leaseTiming(settings), Yielder: &node.yielder, Logger: zap.NewNop(),
			Observe: node.observe, Resign: make(chan struct{}), Probe: f.probeFunc(name), Announcement: node.announcement,
		})
	}()
	go func() {
		defer f.running.Done()
		follow.Keyed(ctx, following)
	}()
	return node
}

// enableFanout makes a node follow the operator topic as in a large fleet.
func (f *fleetOfNodes) enableFanout(node *fleetNode, name string, share float64, following *follow.KeyedOptions) {
	node.cache = fanout.NewCache()
	node.guide = fanout.NewGuide(fanout.GuideOptions{Share: share, OnUpToDate: node.cache.MarkUpToDate})
	following.Selector, following.OnApplied = node.guide, node.cache.Update
	following.OnRead = func(_ int64, _ bool, asked time.Time) { node.cache.MarkUpToDate(asked) }
	readFor := following.ReadRelayed
	following.ReadRelayed = func(ctx context.Context, from int64) (follow.RelayedRecords, error) {
		if node.guide.HasAnnouncement() {
			asked := time.Now()
			poll, cancel := node.guide.UntilReadable(ctx)
			defer cancel()
			answer, err := fanout.Poll(poll, f.take, node.peers.Addresses(), from, name)
			if err == nil {
				node.cache.MarkUpToDate(asked.Add(-answer.Age))
				return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}, nil
			}
			if errors.Is(err, fanout.ErrStale) || poll.Err() != nil {
				return follow.RelayedRecords{}, err
			}
		}
		return readFor(ctx, from)
	}
	following.Fetch = func(ctx context.Context, from int64) (follow.RelayedRecords, error) {
		asked, announcement := time.Now(), node.guide.Announcement()
		answer, err := fanout.Fetch(ctx, f.take, announcement.From, fanout.Question{From: from, Next: announcement.Large, Asker: name})
		if err != nil {
			return follow.RelayedRecords{}, err
		}
		node.cache.MarkUpToDate(asked.Add(-answer.Age))
		return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}, nil
	}
}

var errNoAddress = fmt.Errorf("no address")

// take fetches a change from a node over that node's link.
func (f *fleetOfNodes) take(ctx context.Context, address string, question fanout.Question) (fanout.Answer, error) {
	if address == "" {
		return fanout.Answer{}, errNoAddress
	}
	giver := f.nodeAt(address)
	if giver.isStopped() {
		return fanout.Answer{}, errNoAddress
	}
	answer := giver.cache.Serve(ctx, question)
	if !pause.For(ctx, giver.link.send(sizeOf(answer.Records))) {
		return fanout.Answer{}, ctx.Err()
	}
	return answer, nil
}

func (f *fleetOfNodes) nodeAt(address string) *fleetNode {
	var number int
	fmt.Sscan(address, &number)
	return f.nodes[number]
}

// probeFunc returns the function by which a node probes the holder's node, which always answers
// while it runs.
func (f *fleetOfNodes) probeFunc(name string) func(context.Context, string, string, int64) liveness.Verdict {
	return func(_ context.Context, address, _ string, epoch int64) liveness.Verdict {
		holder := f.nodeAt(address)
		if holder.isStopped() {
			return liveness.Unknown
		}
		holder.peers.Add(name)
		if epoch > 0 && holder.yielder.Yield(epoch) {
			return liveness.Yielded
		}
		return liveness.Alive
	}
}

// relayFunc returns the function by which a node reads the operator topic by way of others.
func (f *fleetOfNodes) relayFunc(node *fleetNode) func(context.Context, int64) (follow.RelayedRecords, error) {
	call := func(ctx context.Context, address string, question storeproxy.ReadRequest) (storeproxy.ReadReply, error) {
		reader := f.nodeAt(address)
		if reader.isStopped() {
			return storeproxy.ReadReply{}, errNoAddress
		}
		answer := reader.proxy.Read(question)
		if !pause.For(ctx, reader.link.send(sizeOf(answer.Records))) {
			return storeproxy.ReadReply{}, ctx.Err()
		}
		return answer, nil
	}
	return func(ctx context.Context, from int64) (follow.RelayedRecords, error) {
		answer, err := storeproxy.ReadViaFunc(ctx, call, &node.peers, storeproxy.ReadRequest{From: from})
		return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}, err
	}
}

func (n *fleetNode) isStopped() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.stopped
}

// holders returns the number of nodes that hold the lease.
func (f *fleetOfNodes) holders() int {
	count := 0
	for _, node := range f.nodes {
		if held, _ := node.state(); held {
			count++
		}
	}
	return count
}

// put puts a configuration; its size identifies it.
func (f *fleetOfNodes) put(size int) {
	f.store.memory.Put(store.TopicOperator, "config", make([]byte, size))
}

// countWithout returns the number of nodes that don't have the configuration of a size.
func (f *fleetOfNodes) countWithout(size int) int {
	count := 0
	for _, node := range f.nodes {
		if _, known := node.state(); known < size {
			count++
		}
	}
	return count
}
