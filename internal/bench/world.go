// Package bench measures what the control plane costs. Hollow nodes, which are
// the real control machines with the real gob encoding, run in one process
// before hollow servers, a log and a machine list. On the virtual clock (World)
// any size fits; over loopback sockets (RunLoopback) a smaller one does.
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// The layout of a World.
const (
	zoneCount   = 4
	regionCount = 2
	poolCount   = 6
	// listLag is how far the machine list is behind the truth.
	listLag = 3 * time.Minute
	// appendTime and readTime are the log's, pollTime a server's time to answer.
	appendTime = 5 * time.Millisecond
	readTime   = 5 * time.Millisecond
	pollTime   = 2 * time.Millisecond
	// silentPollTimeout is when the driver gives up a poll of a lost machine.
	silentPollTimeout = time.Second
	// wireIdle is the time after which an unused connection is closed.
	wireIdle = time.Minute
	// readBatch is the largest number of entries in one answer of the log.
	readBatch = 256

	// The one-way latencies.
	latencyInZone    = 250 * time.Microsecond
	latencyInRegion  = 500 * time.Microsecond
	latencyOfRegions = 20 * time.Millisecond
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// World is a cluster on a virtual clock.
type World struct {
	now    time.Time
	random *rand.Rand
	events eventQueue
	order  int

	nodes   []*hollowNode
	byID    map[cluster.NodeID]*hollowNode
	address map[string]*hollowNode
	wires   map[wireKey]*wire
	servers []*hollowServer
	byName  map[cluster.BackendID]*hollowServer

	log  []record.Entry
	held []heldRead
	// list holds the machine list as it was at past times.
	list []listedAt

	// cut is set while the regions do not reach each other.
	cut bool
	err error
}

// wireKey names a connection by the lives of its ends.
type wireKey struct {
	from, to *hollowNode
}

// hollowServer is a back end that answers polls and does nothing else.
type hollowServer struct {
	machine cluster.Machine
	// refusing is a dead process on a live machine, silent a lost machine.
	refusing bool
	silent   bool
	leaving  bool
	running  int
}

// heldRead is a long poll of the log.
type heldRead struct {
	node *hollowNode
	read machine.ReadLog
	end  time.Time
}

// listedAt is the machine list as it was at a time.
type listedAt struct {
	at       time.Time
	machines []cluster.Machine
}

// event is something due on the virtual clock: an input for a node, or a message
// that waits on a wire.
type event struct {
	at    time.Time
	order int
	node  *hollowNode
	input machine.Input
	from  *hollowNode
	wire  *wire
	bytes int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// NewWorld returns a cluster that has just started.
func NewWorld(nodes, servers int, seed uint64) *World {
	w := &World{
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 0)),
		byID:    map[cluster.NodeID]*hollowNode{},
		address: map[string]*hollowNode{},
		wires:   map[wireKey]*wire{},
		byName:  map[cluster.BackendID]*hollowServer{},
	}
	for number := range servers {
		w.addServer(number)
	}
	for number := range nodes {
		w.addNode(number, 1)
	}
	w.recordList()
	return w
}

// identity returns the node with a number.
func identity(number int, incarnation cluster.Incarnation) cluster.Node {
	zone := number % zoneCount
	return cluster.Node{
		ID:            cluster.NodeID(fmt.Sprintf("node-%03d", number)),
		Incarnation:   1_772_400_000_000 + incarnation,
		Zone:          zoneName(zone),
		Region:        regionName(zone),
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:7400", number/250, number%250),
		ClientAddress: fmt.Sprintf("10.1.%d.%d:7401", number/250, number%250),
	}
}

func zoneName(zone int) cluster.ZoneName { return cluster.ZoneName(fmt.Sprintf("zone-%d", zone)) }

func regionName(zone int) cluster.RegionName {
	return cluster.RegionName(fmt.Sprintf("region-%d", zone/(zoneCount/regionCount)))
}

// addServer adds a back end: half of them engines, half service servers.
func (w *World) addServer(number int) {
	kind, pool := cluster.KindEngine, fmt.Sprintf("model-%d", number/2%poolCount)
	if number%2 == 1 {
		kind, pool = cluster.KindService, fmt.Sprintf("service-%d", number/2%poolCount)
	}
	zone := number / 2 / poolCount % zoneCount
	server := &hollowServer{machine: cluster.Machine{
		ID:      cluster.BackendID(fmt.Sprintf("server-%03d", number)),
		Kind:    kind,
		Pool:    pool,
		Zone:    zoneName(zone),
		Region:  regionName(zone),
		Address: fmt.Sprintf("10.2.%d.%d:8000", number/250, number%250),
		State:   cluster.StateLive,
	}}
	w.servers = append(w.servers, server)
	w.byName[server.machine.ID] = server
}

// addNode starts a process. Its first tick comes at a random part of a tick.
func (w *World) addNode(number int, incarnation cluster.Incarnation) *hollowNode {
	self := identity(number, incarnation)
	seeds := []string{identity(0, 0).PeerAddress, identity(1, 0).PeerAddress, identity(2, 0).PeerAddress}
	node := newHollowNode(self, seeds, w.random.Uint64())
	if number < len(w.nodes) {
		w.nodes[number] = node
	} else {
		w.nodes = append(w.nodes, node)
	}
	w.byID[self.ID] = node
	w.address[self.PeerAddress] = node
	first := time.Duration(w.random.Int64N(int64(machine.TickInterval)))
	w.schedule(event{at: w.now.Add(first), node: node, input: machine.Tick{}})
	return node
}

// recordList notes the machine list as it is now.
func (w *World) recordList() {
	machines := make([]cluster.Machine, 0, len(w.servers)+len(w.nodes))
	for _, server := range w.servers {
		listed := server.machine
		if server.leaving {
			listed.State = cluster.StateLeaving
		}
		if !server.refusing && !server.silent {
			machines = append(machines, listed)
		}
	}
	for _, node := range w.nodes {
		if !node.down {
			machines = append(machines, cluster.Machine{
				ID: cluster.BackendID(node.self.ID), Kind: cluster.KindNode, Zone: node.self.Zone, Region: node.self.Region,
				Address: node.self.ClientAddress, PeerAddress: node.self.PeerAddress, State: cluster.StateLive,
				Incarnation: node.self.Incarnation,
			})
		}
	}
	w.list = append(w.list, listedAt{at: w.now, machines: machines})
}

// schedule puts an event on the clock.
func (w *World) schedule(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

// runUntil carries out all events up to a time.
func (w *World) runUntil(end time.Time) error {
	for len(w.events) > 0 && !w.events[0].at.After(end) && w.err == nil {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		w.carryOut(next)
	}
	w.now = end
	return w.err
}

// carryOut delivers one event to its node.
func (w *World) carryOut(e event) {
	node := e.node
	if node.down || w.byID[node.self.ID] != node {
		return
	}
	if w.now.Before(node.pausedUntil) {
		e.at = node.pausedUntil
		w.schedule(e)
		return
	}
	if e.wire != nil {
		message, err := w.receive(e)
		if err != nil {
			w.err = err
			return
		}
		e.input = machine.PeerMessage{From: e.from.self.ID, FromIncarnation: e.from.self.Incarnation, Message: message}
	}
	started := threadTime()
	node.handle(w.now, e.input)
	node.usage.busy += threadTime() - started
	if _, isTick := e.input.(machine.Tick); isTick {
		w.schedule(event{at: w.now.Add(machine.TickInterval), node: node, input: machine.Tick{}})
	}
	for _, output := range node.outbox.Take() {
		w.carryOutput(node, output)
	}
}

// receive decodes a message at its receiver.
func (w *World) receive(e event) (any, error) {
	started := threadTime()
	message, err := e.wire.decode()
	e.node.usage.busy += threadTime() - started
	e.node.usage.receivedMessages++
	e.node.usage.receivedBytes += e.bytes
	return message, err
}

// carryOutput does what a node asks for.
func (w *World) carryOutput(node *hollowNode, output machine.Output) {
	switch output := output.(type) {
	case machine.SendPeer:
		w.send(node, output)
	case machine.PollBackend:
		node.usage.polls++
		w.poll(node, output)
	case machine.ReadLog:
		node.usage.logReads++
		w.read(node, output)
	case machine.AppendLog:
		w.append(node, output)
	case machine.ReadMachines:
		node.usage.listReads++
		answer := machine.MachineList{Machines: w.listedMachines()}
		w.schedule(event{at: w.now.Add(readTime), node: node, input: answer})
	}
}

// send encodes a message on the wire between two processes.
func (w *World) send(from *hollowNode, output machine.SendPeer) {
	to := w.address[output.Address]
	if to == nil || to.down || output.To != "" && to.self.ID != output.To {
		return
	}
	if w.cut && to.self.Region != from.self.Region {
		return
	}
	key := wireKey{from: from, to: to}
	if w.wires[key] == nil {
		w.wires[key] = newWire()
	}
	w.wires[key].usedAt = w.now
	started := threadTime()
	size, err := w.wires[key].encode(output.Message)
	from.usage.busy += threadTime() - started
	if err != nil {
		w.err = err
		return
	}
	from.usage.sentMessages++
	from.usage.sentBytes += size
	w.schedule(event{at: w.now.Add(latency(from.self, to.self)), node: to, from: from, wire: w.wires[key], bytes: size})
}

// latency returns the one-way latency between two nodes.
func latency(a, b cluster.Node) time.Duration {
	switch {
	case a.Region != b.Region:
		return latencyOfRegions
	case a.Zone != b.Zone:
		return latencyInRegion
	default:
		return latencyInZone
	}
}

// poll answers for a server.
func (w *World) poll(node *hollowNode, output machine.PollBackend) {
	server := w.byName[output.Backend]
	report := machine.BackendReport{Backend: output.Backend, Leaving: server.leaving, Running: server.running, Slots: 64}
	after := pollTime
	reached := !w.cut || node.self.Region == server.machine.Region
	switch {
	case server.silent || !reached:
		report = machine.BackendReport{Backend: output.Backend, Err: "time-out"}
		after = silentPollTimeout
	case server.refusing:
		report = machine.BackendReport{Backend: output.Backend, Err: "connection refused"}
	case server.machine.Kind == cluster.KindEngine:
		report.Model, report.Version = "model", 1
	}
	w.schedule(event{at: w.now.Add(after), node: node, input: report})
}

// read answers from the log, at once or when something was appended.
func (w *World) read(node *hollowNode, output machine.ReadLog) {
	if output.From <= uint64(len(w.log)) || output.Wait == 0 {
		w.answerRead(node, output, readTime)
		return
	}
	w.held = append(w.held, heldRead{node: node, read: output, end: w.now.Add(output.Wait)})
}

// answerRead sends what stands on the log.
func (w *World) answerRead(node *hollowNode, output machine.ReadLog, after time.Duration) {
	answer := machine.LogEntries{Log: output.Log, From: output.From, End: uint64(len(w.log))}
	if output.From <= uint64(len(w.log)) {
		end := min(uint64(len(w.log)), output.From-1+readBatch)
		answer.Entries = append(answer.Entries, w.log[output.From-1:end]...)
	}
	w.schedule(event{at: w.now.Add(after), node: node, input: answer})
}

// releaseReads answers the long polls that are over, or all after an append.
func (w *World) releaseReads() {
	kept := w.held[:0]
	for _, held := range w.held {
		if held.read.From <= uint64(len(w.log)) || !w.now.Before(held.end) {
			w.answerRead(held.node, held.read, readTime)
			continue
		}
		kept = append(kept, held)
	}
	w.held = kept
}

// append puts a record of a node on the log.
func (w *World) append(node *hollowNode, output machine.AppendLog) {
	if output.Log != record.ControlLog {
		return
	}
	offset := w.appendRecord(output.Record)
	answer := machine.AppendResult{Log: output.Log, ID: output.Record.ID, Outcome: machine.AppendDone, Offset: offset}
	w.schedule(event{at: w.now.Add(appendTime), node: node, input: answer})
}

// appendRecord puts a record on the log and returns its offset.
func (w *World) appendRecord(r record.Record) uint64 {
	offset := uint64(len(w.log) + 1)
	w.log = append(w.log, record.Entry{Offset: offset, Record: r})
	w.releaseReads()
	return offset
}

// listedMachines returns the machine list as it was listLag ago.
func (w *World) listedMachines() []cluster.Machine {
	machines := w.list[0].machines
	for _, listed := range w.list {
		if !listed.at.After(w.now.Add(-listLag)) {
			machines = listed.machines
		}
	}
	return machines
}

// closeIdleWires ends the connections on which nothing was sent for long, as
// internal/peer does.
func (w *World) closeIdleWires() {
	for key, idle := range w.wires {
		if w.now.Sub(idle.usedAt) >= wireIdle && idle.buffer.Len() == 0 {
			delete(w.wires, key)
		}
	}
}

// running returns the nodes that are not down.
func (w *World) running() []*hollowNode {
	var found []*hollowNode
	for _, node := range w.nodes {
		if !node.down {
			found = append(found, node)
		}
	}
	return found
}

// stopNode ends a process without a word and drops its connections.
func (w *World) stopNode(node *hollowNode) {
	node.down = true
	for key := range w.wires {
		if key.from == node || key.to == node {
			delete(w.wires, key)
		}
	}
}
