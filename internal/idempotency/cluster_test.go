package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// testEvent is something that happens on the virtual clock.
type testEvent struct {
	at  time.Time
	seq int
	run func()
}

type testEvents []testEvent

func (e testEvents) Len() int { return len(e) }
func (e testEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e testEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *testEvents) Push(x any)   { *e = append(*e, x.(testEvent)) }
func (e *testEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// testCluster runs machines on a virtual clock, with a network that loses,
// doubles and delays, and a back end that counts what it runs.
type testCluster struct {
	start  time.Time
	now    time.Time
	seq    int
	events testEvents
	random *rand.Rand
	nodes  []*testNode
	views  []cluster.View
	loss   float64
	cuts   map[[2]cluster.NodeID]bool
	paused map[cluster.NodeID]bool
	// blind nodes see no view.
	blind map[cluster.NodeID]bool
	calls machine.CallID
	// newest numbers the newest key of a drawn schedule.
	newest  int
	runs    map[string]int
	answers map[string]string
	results map[machine.CallID]string
	// expects holds the calls whose callers still wait.
	expects map[machine.CallID]bool
	options Options
	// behaviour of the back end: the share of requests that it loses after
	// running them, and that don't reach it.
	loseAnswer float64
	notSent    float64
	trace      strings.Builder
	violations []string
	// logMessages writes each message into the trace.
	logMessages bool
	// runTime is how long the back end takes at most.
	runTime time.Duration
}

// testNode is one process.
type testNode struct {
	cluster  *testCluster
	self     cluster.Node
	machine  *Machine
	outbox   machine.Outbox
	dead     bool
	view     cluster.View
	previous cluster.View
	keys     map[machine.CallID]string
}

func (n *testNode) View() cluster.View         { return n.view }
func (n *testNode) PreviousView() cluster.View { return n.previous }

// FirstView returns the number of the first view.
func (n *testNode) FirstView() uint64 { return n.cluster.views[0].Number }

// Alive is membership's word: false for the dead and for those cut off.
func (n *testNode) Alive(id cluster.NodeID) bool {
	other := n.cluster.find(id)
	return other != nil && !other.dead && !n.cluster.cuts[[2]cluster.NodeID{n.self.ID, id}]
}

func newTestCluster(seed uint64, size int, off ablation) *testCluster {
	return newTestClusterWith(seed, size, Options{ablation: off})
}

func newTestClusterWith(seed uint64, size int, options Options) *testCluster {
	start := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	c := &testCluster{
		start:   start,
		now:     start,
		random:  rand.New(rand.NewPCG(seed, 1)),
		cuts:    make(map[[2]cluster.NodeID]bool),
		paused:  make(map[cluster.NodeID]bool),
		blind:   make(map[cluster.NodeID]bool),
		runs:    make(map[string]int),
		answers: make(map[string]string),
		expects: make(map[machine.CallID]bool),
		results: make(map[machine.CallID]string),
		options: options,
		runTime: 200 * time.Millisecond,
	}
	for i := range size {
		c.startNode(cluster.NodeID(fmt.Sprintf("n%d", i)), cluster.ZoneName(fmt.Sprintf("z%d", i%3)))
	}
	c.publish(0)
	c.advance(time.Millisecond)
	c.tick()
	return c
}

// startNode starts a process with an empty memory in the place of any other one
// of that name.
func (c *testCluster) startNode(id cluster.NodeID, zone cluster.ZoneName) {
	c.seq++
	node := &testNode{
		cluster: c,
		self:    cluster.Node{ID: id, Incarnation: cluster.Incarnation(c.seq), Zone: zone},
		keys:    make(map[machine.CallID]string),
	}
	options := c.options
	options.Self, options.Outbox, options.Environment = node.self, &node.outbox, node
	node.machine = New(options)
	if len(c.views) > 0 {
		c.showView(node, len(c.views)-1)
	}
	if index := slices.IndexFunc(c.nodes, func(n *testNode) bool { return n.self.ID == id }); index >= 0 {
		c.kill(c.nodes[index])
		c.nodes[index] = node
		return
	}
	c.nodes = append(c.nodes, node)
}

// kill ends a process; its callers wait no longer.
func (c *testCluster) kill(node *testNode) {
	node.dead = true
	for call := range node.keys {
		delete(c.expects, call)
	}
}

func (c *testCluster) find(id cluster.NodeID) *testNode {
	index := slices.IndexFunc(c.nodes, func(n *testNode) bool { return n.self.ID == id })
	if index < 0 {
		return nil
	}
	return c.nodes[index]
}

// publish puts a view of all live nodes in force; each sees it within spread.
func (c *testCluster) publish(spread time.Duration, without ...cluster.NodeID) {
	view := cluster.View{Number: uint64(10 * (len(c.views) + 1))}
	for _, node := range c.nodes {
		if !node.dead && !slices.Contains(without, node.self.ID) {
			view.Members = append(view.Members, node.self)
		}
	}
	c.views = append(c.views, view)
	index := len(c.views) - 1
	for _, node := range c.nodes {
		c.after(time.Duration(c.random.Int64N(int64(spread)+1)), func() { c.showView(node, index) })
	}
}

// showView lets a node see a view. The views between are skipped.
func (c *testCluster) showView(node *testNode, index int) {
	view := c.views[index]
	if node.dead || c.blind[node.self.ID] || node.view.Number >= view.Number {
		return
	}
	node.previous = cluster.View{}
	if index > 0 {
		node.previous = c.views[index-1]
	}
	node.view = view
	node.machine.HandleView(c.now, view, index == 0)
	c.drain(node)
}

func (c *testCluster) after(wait time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, testEvent{at: c.now.Add(wait), seq: c.seq, run: run})
}

func (c *testCluster) advance(length time.Duration) {
	until := c.now.Add(length)
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(testEvent)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// tick steps every node and comes back.
func (c *testCluster) tick() {
	for _, node := range c.nodes {
		if !node.dead && !c.paused[node.self.ID] {
			node.machine.Tick(c.now)
			c.drain(node)
		}
	}
	c.after(machine.TickInterval, c.tick)
}

// drain carries out what a machine left.
func (c *testCluster) drain(node *testNode) {
	for _, output := range node.outbox.Take() {
		c.carry(node, output.(machine.SendPeer))
	}
	for _, event := range node.machine.TakeEvents() {
		c.handleEvent(node, event)
	}
}

func (c *testCluster) carry(from *testNode, send machine.SendPeer) {
	copies := 1
	if c.random.Float64() < c.loss {
		copies = 0
	} else if c.random.Float64() < c.loss {
		copies = 2
	}
	for range copies {
		delay := 500*time.Microsecond + time.Duration(c.random.Int64N(int64(time.Millisecond)))
		if c.random.Float64() < c.loss {
			delay *= 200
		}
		c.after(delay, func() { c.receive(from, send) })
	}
}

func (c *testCluster) receive(from *testNode, send machine.SendPeer) {
	if c.logMessages {
		c.log("%s>%s %s", from.self.ID, send.To, describe(send.Message))
	}
	to := c.find(send.To)
	if to == nil || to.dead || c.cuts[[2]cluster.NodeID{from.self.ID, send.To}] {
		return
	}
	if c.paused[send.To] {
		c.after(50*time.Millisecond, func() { c.receive(from, send) })
		return
	}
	to.machine.HandleMessage(c.now, machine.PeerMessage{
		From: from.self.ID, FromIncarnation: from.self.Incarnation, Message: send.Message,
	})
	c.drain(to)
}

// call begins a request of a key at a node.
func (c *testCluster) call(node *testNode, key string, within time.Duration) machine.CallID {
	c.calls++
	call := c.calls
	if node.dead {
		return call
	}
	node.keys[call] = key
	c.expects[call] = true
	c.log("call %d of %s at %s", call, key, node.self.ID)
	node.machine.Begin(c.now, Request{Call: call, Key: key, Digest: key, Deadline: c.now.Add(within)})
	c.drain(node)
	return call
}

func (c *testCluster) handleEvent(node *testNode, event Event) {
	switch event := event.(type) {
	case Granted:
		wait := time.Duration(c.random.Int64N(int64(20 * time.Millisecond)))
		c.after(wait, func() { c.send(node, event.Call) })
	case Answered:
		c.log("call %d answered %s", event.Call, event.Response.Body)
		c.end(event.Call, string(event.Response.Body))
		if want := c.answers[node.keys[event.Call]]; want != string(event.Response.Body) {
			c.violate("call %d was answered %q, the key's answer is %q", event.Call, event.Response.Body, want)
		}
	case Refused:
		c.log("call %d refused %s, not run %t", event.Call, event.Failure.Code, event.Failure.NotRun)
		c.end(event.Call, fmt.Sprintf("%s %t", event.Failure.Code, event.Failure.NotRun))
		if event.Failure.NotRun {
			c.checkNotRun(node.keys[event.Call])
		}
	}
}

// end notes a call's single end.
func (c *testCluster) end(call machine.CallID, result string) {
	if c.results[call] != "" {
		c.violate("call %d ended as %q and as %q", call, c.results[call], result)
	}
	c.results[call] = result
}

// send runs a granted call on the back end.
func (c *testCluster) send(node *testNode, call machine.CallID) {
	if node.dead {
		return
	}
	if c.paused[node.self.ID] {
		c.after(50*time.Millisecond, func() { c.send(node, call) })
		return
	}
	key := node.keys[call]
	if !node.machine.Start(c.now, call) {
		if c.results[call] == "" && c.expects[call] {
			c.end(call, "lapsed")
		}
		return
	}
	if c.random.Float64() < c.notSent {
		c.end(call, "not sent")
		node.machine.Unsent(call)
		if node.machine.Refuse(c.now, call, machine.Failure{Code: machine.CodeBackendFailed}) {
			c.log("call %d not run", call)
			c.checkNotRun(key)
		}
		c.drain(node)
		return
	}
	c.runs[key]++
	c.log("call %d runs %s", call, key)
	if c.runs[key] > 1 {
		c.violate("key %s ran %d times", key, c.runs[key])
	}
	response := &machine.Response{Status: 200, Body: fmt.Appendf(nil, "%s run %d", key, c.runs[key])}
	if c.random.Float64() < c.loseAnswer {
		response = nil
	} else {
		c.answers[key] = string(response.Body)
	}
	c.after(time.Duration(c.random.Int64N(int64(c.runTime))), func() {
		if !node.dead {
			if response != nil {
				c.end(call, string(response.Body))
			} else {
				c.end(call, "lost")
			}
			node.machine.Finish(c.now, call, response)
			c.drain(node)
		}
	})
}

func (c *testCluster) checkNotRun(key string) {
	if c.runs[key] > 0 {
		c.violate("key %s was called not run after %d runs", key, c.runs[key])
	}
}

func (c *testCluster) log(format string, arguments ...any) {
	fmt.Fprintf(&c.trace, "%8.3f ", c.now.Sub(c.start).Seconds())
	fmt.Fprintf(&c.trace, format+"\n", arguments...)
}

func (c *testCluster) violate(format string, arguments ...any) {
	c.log("VIOLATION "+format, arguments...)
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}
