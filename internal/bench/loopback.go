package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/peer"
)

const (
	// loopbackFormLimit bounds the time until the cluster has formed.
	loopbackFormLimit = 2 * time.Minute
	loopbackSettle    = 10 * time.Second
	loopbackSteady    = 30 * time.Second
	// loopbackSeenLimit bounds the wait for one thing to be seen by all nodes.
	loopbackSeenLimit = 30 * time.Second
	// loopbackLook is the time between two looks at all nodes.
	loopbackLook = 20 * time.Millisecond
	// inputQueue is the number of inputs that may wait for a node.
	inputQueue = 1024
)

// LoopbackOptions configure a run over loopback sockets.
type LoopbackOptions struct {
	Nodes   int
	Servers int
	Seed    uint64
}

// LoopbackResult holds the figures of a run over loopback sockets, in real time.
type LoopbackResult struct {
	Nodes   int
	Servers int
	Formed  time.Duration
	// The rates are those of one node a second, of the steady phase.
	Messages float64
	Bytes    float64
	Polls    float64
	// CoreShare is the processor time of the whole process, kernel included, as a
	// share of one core a node.
	CoreShare float64
	// HeapPerNode and ResidentPerNode are in bytes.
	HeapPerNode     int
	ResidentPerNode int
	Configuration   Spread
	DeadNode        Spread
	LeavingServer   Spread
	Refuted         int
}

// Write prints the figures.
func (r LoopbackResult) Write(w io.Writer) {
	t := newTable(w, fmt.Sprintf("%d nodes and %d hollow servers in one process over loopback sockets, real time", r.Nodes, r.Servers))
	t.AppendHeader([]any{"figure", "value"})
	for _, row := range [][]any{
		{"formed after, s", seconds(r.Formed)},
		{"messages/s a node", decimal(r.Messages, 1)},
		{"bytes/s a node, without TCP/IP", decimal(r.Bytes, 0)},
		{"polls/s a node", decimal(r.Polls, 2)},
		{"processor, % of a core a node", decimal(100*r.CoreShare, 3)},
		{"heap a node, KB", r.HeapPerNode / 1024},
		{"resident a node, KB", r.ResidentPerNode / 1024},
		{"configuration in force, s (median / last node)", spreadText(r.Configuration)},
		{"dead node seen, s", spreadText(r.DeadNode)},
		{"leaving server seen, s", spreadText(r.LeavingServer)},
		{"suspicions refuted", r.Refuted},
	} {
		t.AppendRow(row)
	}
	t.Render()
}

// socketNode is a hollow node with a real transport and its own goroutine.
type socketNode struct {
	*hollowNode
	transport *peer.Transport
	registry  *prometheus.Registry
	inputs    chan func(now time.Time)
	stop      context.CancelFunc
}

// socketCluster runs socket nodes before a hollow platform.
type socketCluster struct {
	platform *hollowPlatform
	nodes    []*socketNode
	group    conc.WaitGroup
}

// RunLoopback measures a cluster over loopback sockets in real time.
func RunLoopback(ctx context.Context, options LoopbackOptions) (LoopbackResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	baseline := heapInUse()
	c := &socketCluster{platform: newHollowPlatform(options)}
	defer c.group.Wait()
	defer cancel()
	if err := c.start(ctx, options); err != nil {
		return LoopbackResult{}, err
	}
	result := LoopbackResult{Nodes: options.Nodes, Servers: options.Servers}
	formed, err := c.wait(ctx, loopbackFormLimit, c.nodes, func(node *hollowNode) bool {
		return len(node.membership.Live()) == options.Nodes && node.follower.Ready() &&
			len(node.Control().View().Members) == options.Nodes && len(node.pool.All()) == options.Servers
	})
	if err != nil {
		return LoopbackResult{}, eris.Wrap(err, "form the cluster")
	}
	result.Formed = formed.Largest
	c.measureSteady(ctx, &result, baseline)
	err = c.measureTimes(ctx, &result)
	return result, err
}

// start opens all listeners and starts all nodes.
func (c *socketCluster) start(ctx context.Context, options LoopbackOptions) error {
	var seeds []string
	for number := range options.Nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return eris.Wrap(err, "listen on loopback")
		}
		self := identity(number, 1)
		self.PeerAddress = listener.Addr().String()
		if len(seeds) < 3 {
			seeds = append(seeds, self.PeerAddress)
		}
		node := &socketNode{
			hollowNode: newHollowNode(self, seeds, options.Seed+uint64(number)),
			registry:   prometheus.NewRegistry(),
			inputs:     make(chan func(now time.Time), inputQueue),
		}
		node.transport = peer.NewTransport(peer.Options{
			Self: self, Listener: listener, Registerer: node.registry,
			Receive: func(message machine.PeerMessage) { node.post(message) },
		})
		c.nodes = append(c.nodes, node)
	}
	for _, node := range c.nodes {
		running, stop := context.WithCancel(ctx)
		node.stop = stop
		c.group.Go(func() { _ = node.transport.Run(running) })
		c.group.Go(func() { c.loop(running, node) })
	}
	return nil
}

// post queues an input; one that finds the queue full is lost, as a message may be.
func (n *socketNode) post(input machine.Input) {
	select {
	case n.inputs <- func(now time.Time) { n.handle(now, input) }:
	default:
	}
}

// loop steps a node until it is stopped.
func (c *socketCluster) loop(ctx context.Context, node *socketNode) {
	ticker := time.NewTicker(machine.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			node.tick(time.Now())
		case step := <-node.inputs:
			step(time.Now())
		}
		for _, output := range node.outbox.Take() {
			c.carryOutput(node, output)
		}
	}
}

// carryOutput does what a node asks for.
func (c *socketCluster) carryOutput(node *socketNode, output machine.Output) {
	switch output := output.(type) {
	case machine.SendPeer:
		node.transport.Send(output.To, output.Address, output.Message)
	case machine.PollBackend:
		node.usage.polls++
		c.platform.poll(node, output)
	case machine.ReadLog:
		c.platform.read(node, output)
	case machine.AppendLog:
		c.platform.append(node, output)
	case machine.ReadMachines:
		time.AfterFunc(readTime, func() { node.post(machine.MachineList{Machines: c.platform.machines()}) })
	}
}

// ask runs a question on a node's own goroutine; a node that does not answer in
// time has not seen it.
func (n *socketNode) ask(ctx context.Context, question func(node *hollowNode) bool) bool {
	answer := make(chan bool, 1)
	select {
	case n.inputs <- func(time.Time) { answer <- question(n.hollowNode) }:
	case <-ctx.Done():
		return false
	}
	select {
	case seen := <-answer:
		return seen
	case <-ctx.Done():
		return false
	}
}

// wait looks until every node has seen something, and returns how long each took.
func (c *socketCluster) wait(ctx context.Context, limit time.Duration, nodes []*socketNode, seen func(node *hollowNode) bool) (Spread, error) {
	started := time.Now()
	pending := slices.Clone(nodes)
	var times []time.Duration
	for len(pending) > 0 {
		if time.Since(started) > limit {
			return Spread{}, eris.Errorf("%d of %d nodes have not seen it after %s", len(pending), len(nodes), limit)
		}
		pending = slices.DeleteFunc(pending, func(node *socketNode) bool {
			if !node.ask(ctx, seen) {
				return false
			}
			times = append(times, time.Since(started))
			return true
		})
		select {
		case <-ctx.Done():
			return Spread{}, eris.Wrap(ctx.Err(), "wait")
		case <-time.After(loopbackLook):
		}
	}
	slices.Sort(times)
	return Spread{Observed: len(times), Median: times[len(times)/2], Largest: times[len(times)-1]}, nil
}

// measureSteady measures cost while nothing happens.
func (c *socketCluster) measureSteady(ctx context.Context, result *LoopbackResult, baseline int) {
	pause(ctx, loopbackSettle)
	processor, messages, bytes, polls := processorTime(), c.counter("dalehook_peer_messages_total"), c.counter("dalehook_peer_bytes_total"), c.polls(ctx)
	started := time.Now()
	pause(ctx, loopbackSteady)
	per := time.Since(started).Seconds() * float64(len(c.nodes))
	result.CoreShare = (processorTime() - processor).Seconds() / per
	result.Messages = (c.counter("dalehook_peer_messages_total") - messages) / per
	result.Bytes = (c.counter("dalehook_peer_bytes_total") - bytes) / per
	result.Polls = float64(c.polls(ctx)-polls) / per
	result.HeapPerNode = (heapInUse() - baseline) / len(c.nodes)
	result.ResidentPerNode = resident() / len(c.nodes)
}

// measureTimes measures how soon changes are known.
func (c *socketCluster) measureTimes(ctx context.Context, result *LoopbackResult) error {
	offset := c.platform.confirmPlan()
	var err error
	result.Configuration, err = c.wait(ctx, loopbackSeenLimit, c.nodes, func(node *hollowNode) bool {
		return node.Control().Offset() >= offset
	})
	if err != nil {
		return eris.Wrap(err, "wait for the configuration")
	}
	leaving := c.platform.leaveServer(0)
	result.LeavingServer, err = c.wait(ctx, loopbackSeenLimit, c.nodes, func(node *hollowNode) bool {
		known, found := node.pool.Find(leaving)
		return found && known.State == cluster.StateLeaving
	})
	if err != nil {
		return eris.Wrap(err, "wait for the leaving server")
	}
	for _, node := range c.nodes {
		node.ask(ctx, func(node *hollowNode) bool {
			result.Refuted += node.membership.Stats().Refuted
			return true
		})
	}
	victim := c.nodes[len(c.nodes)/2]
	victim.stop()
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(node *socketNode) bool { return node == victim })
	result.DeadNode, err = c.wait(ctx, loopbackSeenLimit, others, func(node *hollowNode) bool {
		return !node.membership.Alive(victim.self.ID)
	})
	return eris.Wrap(err, "wait for the dead node")
}

// counter sums a transport counter of sent traffic over all nodes.
func (c *socketCluster) counter(name string) float64 {
	total := 0.0
	for _, node := range c.nodes {
		families, err := node.registry.Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, metric := range family.GetMetric() {
				if len(metric.GetLabel()) == 1 && metric.GetLabel()[0].GetValue() == "sent" {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

// polls sums the polls of all nodes.
func (c *socketCluster) polls(ctx context.Context) int {
	total := 0
	for _, node := range c.nodes {
		node.ask(ctx, func(node *hollowNode) bool {
			total += node.usage.polls
			return true
		})
	}
	return total
}

// pause waits, or returns early when the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// resident returns the memory that the runtime holds from the system.
func resident() int {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.Sys - stats.HeapReleased)
}
