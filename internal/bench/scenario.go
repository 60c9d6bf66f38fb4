package bench

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// Phase is a part of a run with its own figures.
type Phase string

// The phases, in order.
const (
	PhaseSteady   Phase = "steady"
	PhaseChanges  Phase = "changes"
	PhaseFailures Phase = "failures"
	PhaseZoneLost Phase = "zone-lost"
	PhaseCut      Phase = "regions-cut"
)

const (
	// observeInterval is the resolution of all observed times.
	observeInterval = 10 * time.Millisecond
	// startLimit bounds the time until the cluster has formed.
	startLimit = 3 * time.Minute
	// settleTime lies between the phases.
	settleTime = 30 * time.Second

	steadyTime   = time.Minute
	changesTime  = time.Minute
	failuresTime = 3 * time.Minute
	zoneLostTime = time.Minute
	cutTime      = 40 * time.Second
	healTime     = 40 * time.Second

	// The compressed day: a day's failures and replacements at 340 nodes, in
	// failuresTime; smaller clusters have their share, at least one of each.
	dayFailures     = 7
	dayReplacements = 63
	dayNodes        = 340
	// serversLeaving and serversDying are the back ends of that day.
	serversLeaving = 6
	serversDying   = 6

	// planWarm and planLoads are the lines of a confirmed plan; it has some
	// 15 KB as JSON.
	planWarm  = 100
	planLoads = 50
	// ownerCount is the number of step owners: each subscribes to a pool.
	ownerCount = 5
	// restartTime is how long a replaced node is away.
	restartTime = 3 * time.Second
)

// The smallest cluster that a run makes sense for.
const (
	MinNodes   = 8
	MinServers = 48
)

// Options configure a run.
type Options struct {
	Nodes   int
	Servers int
	Seed    uint64
	// Progress is told of each phase that has ended; nil for none.
	Progress func(phase Phase)
}

// run carries out the phases of one size.
type run struct {
	options      Options
	world        *World
	observations []*observation
	latencies    *latencies
	// later holds what is to happen at given times, in order of time.
	later        []laterAction
	incarnations cluster.Incarnation
	result       Result
}

// laterAction is something that the scenario does at a time.
type laterAction struct {
	at time.Time
	do func()
}

// Run measures one size on the virtual clock.
func Run(options Options) (Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	baseline := heapInUse()
	r := &run{options: options, world: NewWorld(options.Nodes, options.Servers, options.Seed), latencies: newLatencies()}
	r.incarnations = 1
	r.result = Result{Nodes: options.Nodes, Servers: options.Servers}
	started := r.world.now
	if err := r.form(); err != nil {
		return Result{}, err
	}
	r.result.Formed = r.world.now.Sub(started)
	r.subscribeOwners()
	if err := r.advance(settleTime); err != nil {
		return Result{}, err
	}
	phases := []struct {
		name Phase
		run  func() error
	}{
		{PhaseSteady, func() error { return r.advance(steadyTime) }},
		{PhaseChanges, r.changes},
		{PhaseFailures, r.failures},
		{PhaseZoneLost, r.loseZone},
		{PhaseCut, r.cutRegions},
	}
	for _, phase := range phases {
		r.world.closeIdleWires()
		if err := r.measure(phase.name, phase.run); err != nil {
			return Result{}, err
		}
		if options.Progress != nil {
			options.Progress(phase.name)
		}
		if phase.name == PhaseSteady {
			r.result.HeapPerNode = (heapInUse() - baseline) / options.Nodes
		}
		if err := r.advance(settleTime); err != nil {
			return Result{}, err
		}
	}
	runtime.KeepAlive(r)
	return r.result, nil
}

// heapInUse returns the live heap in bytes.
func heapInUse() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// form runs until every node knows all others and has state.
func (r *run) form() error {
	limit := r.world.now.Add(startLimit)
	for !r.formed() {
		if r.world.now.After(limit) {
			return fmt.Errorf("the cluster of %d nodes did not form within %s", r.options.Nodes, startLimit)
		}
		if err := r.advance(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// formed reports whether all nodes know each other, are ready and hold a view of
// all.
func (r *run) formed() bool {
	for _, node := range r.world.running() {
		if len(node.membership.Live()) != r.options.Nodes || !node.follower.Ready() {
			return false
		}
		if len(node.Control().View().Members) != r.options.Nodes || len(node.pool.All()) != r.options.Servers {
			return false
		}
	}
	return true
}

// advance runs the world, the scenario's actions and the observations.
func (r *run) advance(duration time.Duration) error {
	end := r.world.now.Add(duration)
	for r.world.now.Before(end) {
		if err := r.world.runUntil(r.world.now.Add(observeInterval)); err != nil {
			return err
		}
		for len(r.later) > 0 && !r.later[0].at.After(r.world.now) {
			next := r.later[0]
			r.later = r.later[1:]
			next.do()
		}
		r.world.releaseReads()
		r.checkObservations()
	}
	return nil
}

// after plans an action.
func (r *run) after(delay time.Duration, do func()) {
	at := r.world.now.Add(delay)
	index, _ := slices.BinarySearchFunc(r.later, at, func(a laterAction, at time.Time) int {
		if a.at.After(at) {
			return 1
		}
		return -1
	})
	r.later = slices.Insert(r.later, index, laterAction{at: at, do: do})
}

// subscribeOwners makes some nodes poll a whole pool, as owners of steps do.
func (r *run) subscribeOwners() {
	for number := range min(ownerCount, len(r.world.nodes)) {
		node := r.world.nodes[len(r.world.nodes)-1-number]
		node.pool.Subscribe(fmt.Sprintf("model-%d", number%poolCount), true)
	}
}

// changes confirms a plan every ten seconds.
func (r *run) changes() error {
	for number := range 6 {
		r.after(time.Duration(number)*10*time.Second, r.confirmPlan)
	}
	return r.advance(changesTime)
}

// confirmPlan puts a plan on the log and observes when it is in force.
func (r *run) confirmPlan() {
	base := record.Revision(0)
	for _, node := range r.world.running() {
		base = max(base, node.Control().Revision())
	}
	id := fmt.Sprintf("plan-%d", len(r.world.log))
	offset := r.world.appendRecord(record.Record{ID: record.ID(id), Body: record.PlanConfirmed{
		Base: base, Operator: "bench", Plan: benchPlan(r.world.servers, id, base),
	}})
	r.observe(observedConfiguration, func(node *hollowNode) bool { return node.Control().Offset() >= offset })
}

// benchPlan returns a plan with the usual number of lines.
func benchPlan(servers []*hollowServer, digest string, base record.Revision) record.Plan {
	plan := record.Plan{Digest: digest, Base: base, Event: record.Event{
		Name: "exam", Start: epoch.Add(time.Hour), Duration: record.Duration(time.Hour), Crowd: 4000,
	}}
	for number := range planWarm {
		server := servers[number%len(servers)].machine
		plan.Warm = append(plan.Warm, record.WarmBackend{Backend: server.ID, Pool: server.Pool, Zone: server.Zone, At: epoch})
	}
	for number := range planLoads {
		server := servers[number%len(servers)].machine
		plan.Loads = append(plan.Loads, record.LoadVersion{
			Engine: server.ID, Pool: server.Pool, Zone: server.Zone, Model: "model", Version: 7, At: epoch,
		})
	}
	return plan
}

// share scales a day's number of events to the size of the cluster.
func (r *run) share(ofDay int) int { return max(1, ofDay*r.options.Nodes/dayNodes) }

// failures compresses a day: nodes crash and come back as new processes, nodes
// are replaced as planned, servers leave and die, plans are confirmed.
func (r *run) failures() error {
	crashes, replacements := r.share(dayFailures), r.share(dayReplacements)
	victims := r.world.random.Perm(len(r.world.nodes))
	for number := range crashes {
		at := failuresTime * time.Duration(number) / time.Duration(crashes) / 2
		r.after(at, func() { r.crash(victims[number]) })
	}
	for number := range min(replacements, len(victims)-crashes) {
		at := failuresTime * time.Duration(number) / time.Duration(replacements) * 3 / 4
		r.after(at, func() { r.replace(victims[crashes+number]) })
	}
	servers := r.world.random.Perm(len(r.world.servers))
	for number := range serversLeaving {
		r.after(time.Duration(number)*10*time.Second, func() { r.leaveServer(servers[number]) })
	}
	for number := range serversDying {
		r.after(time.Duration(number)*10*time.Second+5*time.Second, func() {
			r.killServer(servers[serversLeaving+number], number%2 == 1)
		})
	}
	for number := range 3 {
		r.after(time.Duration(number)*40*time.Second+20*time.Second, r.confirmPlan)
	}
	return r.advance(failuresTime)
}

// crash ends a node without a word; a new process takes its place later.
func (r *run) crash(number int) {
	victim := r.world.nodes[number]
	r.world.stopNode(victim)
	r.observe(observedDeadNode, func(node *hollowNode) bool {
		known, found := node.membership.Find(victim.self.ID)
		return !found || known.Incarnation > victim.self.Incarnation || !node.membership.Alive(victim.self.ID)
	})
	r.after(20*time.Second, func() { r.restart(number) })
}

// replace stops a node as planned and starts a new process under its name.
func (r *run) replace(number int) {
	leaving := r.world.nodes[number]
	leaving.membership.Leave(r.world.now)
	r.after(restartTime, func() { r.world.stopNode(leaving) })
	r.after(2*restartTime, func() { r.restart(number) })
}

// restart starts a new process under a node's name.
func (r *run) restart(number int) {
	r.incarnations++
	r.world.addNode(number, r.incarnations)
	r.world.recordList()
}

// leaveServer makes a server say that it is leaving.
func (r *run) leaveServer(number int) {
	server := r.world.servers[number]
	server.leaving = true
	r.world.recordList()
	r.observeServer(observedLeavingServer, server.machine.ID)
}

// killServer ends a server: its process, or the whole machine.
func (r *run) killServer(number int, machineLost bool) {
	server := r.world.servers[number]
	server.refusing = !machineLost
	server.silent = machineLost
	r.world.recordList()
	r.observeServer(observedDeadServer, server.machine.ID)
}

// observeServer waits until no node gives a server new work.
func (r *run) observeServer(kind observedKind, id cluster.BackendID) {
	r.observe(kind, func(node *hollowNode) bool {
		known, found := node.pool.Find(id)
		return !found || known.State != cluster.StateLive
	})
}

// loseZone stops everything in one zone at once.
func (r *run) loseZone() error {
	zone := zoneName(zoneCount - 1)
	for _, node := range r.world.running() {
		if node.self.Zone == zone {
			r.world.stopNode(node)
			r.observe(observedDeadNode, func(other *hollowNode) bool { return !other.membership.Alive(node.self.ID) })
		}
	}
	for _, server := range r.world.servers {
		if server.machine.Zone == zone && !server.silent && !server.refusing && !server.leaving {
			server.silent = true
			r.observeServer(observedDeadServer, server.machine.ID)
		}
	}
	r.after(10*time.Second, r.confirmPlan)
	err := r.advance(zoneLostTime)
	r.bringBackZone(zone)
	return err
}

// bringBackZone starts the zone's nodes as new processes.
func (r *run) bringBackZone(zone cluster.ZoneName) {
	for number, node := range r.world.nodes {
		if node.down && node.self.Zone == zone {
			r.restart(number)
		}
	}
	for _, server := range r.world.servers {
		if server.machine.Zone == zone {
			server.silent = false
		}
	}
}

// cutRegions parts the regions and joins them again.
func (r *run) cutRegions() error {
	r.world.cut = true
	r.after(20*time.Second, r.confirmPlan)
	if err := r.advance(cutTime); err != nil {
		return err
	}
	r.world.cut = false
	healed := r.world.now
	for r.result.Healed == 0 && r.world.now.Before(healed.Add(healTime)) {
		if err := r.advance(100 * time.Millisecond); err != nil {
			return err
		}
		if r.agreed() {
			r.result.Healed = r.world.now.Sub(healed)
		}
	}
	return r.advance(healTime - r.world.now.Sub(healed))
}

// agreed reports whether every running node takes exactly the running ones for
// alive.
func (r *run) agreed() bool {
	running := r.world.running()
	for _, node := range running {
		if len(node.membership.Live()) != len(running) {
			return false
		}
	}
	return true
}
