package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// hollowPlatform is the log, the machine list and the back ends of a run over
// sockets. Its answers come after the same times as in a World.
type hollowPlatform struct {
	mutex   sync.Mutex
	log     []record.Entry
	waiting []waitingRead
	servers map[cluster.BackendID]*hollowServer
}

// waitingRead is a long poll of the log.
type waitingRead struct {
	node  *socketNode
	read  machine.ReadLog
	timer *time.Timer
}

func newHollowPlatform(options LoopbackOptions) *hollowPlatform {
	world := NewWorld(0, options.Servers, options.Seed)
	return &hollowPlatform{servers: world.byName}
}

// machines returns the machine list.
func (p *hollowPlatform) machines() []cluster.Machine {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	machines := make([]cluster.Machine, 0, len(p.servers))
	for _, server := range p.servers {
		machines = append(machines, server.machine)
	}
	slices.SortFunc(machines, func(a, b cluster.Machine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return machines
}

// poll answers for a server.
func (p *hollowPlatform) poll(node *socketNode, output machine.PollBackend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report := machine.BackendReport{Backend: output.Backend, Leaving: p.servers[output.Backend].leaving, Slots: 64}
	time.AfterFunc(pollTime, func() { node.post(report) })
}

// leaveServer makes a server say that it is leaving.
func (p *hollowPlatform) leaveServer(number int) cluster.BackendID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	id := cluster.BackendID(fmt.Sprintf("server-%03d", number))
	p.servers[id].leaving = true
	return id
}

// read answers from the log, at once or when something was appended.
func (p *hollowPlatform) read(node *socketNode, read machine.ReadLog) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if read.From <= uint64(len(p.log)) || read.Wait == 0 {
		p.answer(node, read)
		return
	}
	timer := time.AfterFunc(read.Wait, func() { p.giveUp(node) })
	p.waiting = append(p.waiting, waitingRead{node: node, read: read, timer: timer})
}

// giveUp ends a long poll that brought nothing.
func (p *hollowPlatform) giveUp(node *socketNode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(waiting waitingRead) bool {
		if waiting.node == node {
			p.answer(node, waiting.read)
		}
		return waiting.node == node
	})
}

// answer sends what stands on the log; the mutex is held.
func (p *hollowPlatform) answer(node *socketNode, read machine.ReadLog) {
	answer := machine.LogEntries{Log: read.Log, From: read.From, End: uint64(len(p.log))}
	if read.From <= uint64(len(p.log)) {
		answer.Entries = slices.Clone(p.log[read.From-1:])
	}
	time.AfterFunc(readTime, func() { node.post(answer) })
}

// append puts a node's record on the log.
func (p *hollowPlatform) append(node *socketNode, output machine.AppendLog) {
	if output.Log != record.ControlLog {
		return
	}
	answer := machine.AppendResult{Log: output.Log, ID: output.Record.ID, Outcome: machine.AppendDone}
	answer.Offset = p.appendRecord(output.Record)
	time.AfterFunc(appendTime, func() { node.post(answer) })
}

// appendRecord puts a record on the log and releases the long polls.
func (p *hollowPlatform) appendRecord(r record.Record) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	offset := uint64(len(p.log) + 1)
	p.log = append(p.log, record.Entry{Offset: offset, Record: r})
	for _, waiting := range p.waiting {
		waiting.timer.Stop()
		p.answer(waiting.node, waiting.read)
	}
	p.waiting = nil
	return offset
}

// confirmPlan puts the first plan on the log and returns its offset.
func (p *hollowPlatform) confirmPlan() uint64 {
	var servers []*hollowServer
	for _, listed := range p.machines() {
		servers = append(servers, &hollowServer{machine: listed})
	}
	return p.appendRecord(record.Record{ID: "plan", Body: record.PlanConfirmed{
		Operator: "bench", Plan: benchPlan(servers, "plan", 0),
	}})
}
