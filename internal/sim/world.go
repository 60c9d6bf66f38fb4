// Package sim runs dalehook's nodes on a virtual clock, with models of
// everything that stands outside: the platform, back ends, trainers, callers and
// operators. One seed decides everything, so that each run can be repeated byte
// for byte. The same code serves tests of the product's guarantees and
// `dalehook rehearse`.
package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/backend"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
	"dalehook/internal/sim/platform"
)

// Factory makes the state machine of a node that starts. Seeds are the peer
// addresses to join by.
type Factory func(self cluster.Node, seeds []string, seed uint64) machine.Machine

// Options configure a World.
type Options struct {
	Seed     uint64
	Scenario Scenario
	Schedule fault.Schedule
	Factory  Factory
	// Trace receives one line an event; nil for none.
	Trace io.Writer
	// Probe says whether each node's status is read at intervals, for Probes.
	Probe bool
}

// World is one simulated deployment.
type World struct {
	options  Options
	scenario Scenario
	kernel   *kernel.Kernel
	faults   *fault.Set
	network  *network
	random   *rand.Rand

	log      *platform.Log
	weights  *platform.Weights
	machines *platform.Machines

	nodes     []*Node
	engines   []*backend.Engine
	services  []*backend.Service
	setup     *Operator
	trainers  []*Trainer
	callers   []*Caller
	operators []*Operator

	enginesByID  map[cluster.BackendID]*backend.Engine
	servicesByID map[cluster.BackendID]*backend.Service
	zoneOf       map[cluster.BackendID]cluster.ZoneName

	shapes map[string]backend.Shape
	// runs counts how often each request ran at any server.
	runs       map[string]int
	violations []string
	lastNode   int
	// stopping is set when callers and operators have stopped.
	stopping bool
}

// startTime is the wall-clock time at which every world starts.
func startTime() time.Time { return kernel.Epoch }

// NewWorld builds a world at time zero; nothing has run yet.
func NewWorld(options Options) *World {
	k := kernel.New(options.Seed, options.Trace)
	s := options.Scenario
	w := &World{
		options: options, scenario: s, kernel: k, faults: &fault.Set{}, random: k.Rand("world"),
		enginesByID: make(map[cluster.BackendID]*backend.Engine), servicesByID: make(map[cluster.BackendID]*backend.Service),
		zoneOf: make(map[cluster.BackendID]cluster.ZoneName),
		shapes: make(map[string]backend.Shape), runs: make(map[string]int),
	}
	w.network = newNetwork(k, w.faults, s.Deployment)
	w.log = platform.NewLog(platform.LogOptions{Kernel: k, Faults: w.faults, AppendTime: 5 * time.Millisecond})
	w.weights = platform.NewWeights(platform.WeightsOptions{
		Kernel: k, Faults: w.faults, FetchTime: s.FetchTime, FetchesPerSecond: s.FetchesPerSecond,
	})
	w.machines = platform.NewMachines(k, w.faults, s.ListLag)
	w.addBackends()
	for range s.Deployment.Nodes {
		w.addNode()
	}
	w.machines.Published()
	w.addClients()
	w.schedule()
	return w
}

func (w *World) zone(index int) cluster.ZoneName {
	zones := w.scenario.Deployment.Zones
	return zones[index%len(zones)]
}

// firstVersion is what engines run at the start.
const firstVersion cluster.Version = 1

func (w *World) addBackends() {
	d := w.scenario.Deployment
	w.weights.Put(d.Model, firstVersion)
	for i := range d.Engines {
		id := cluster.BackendID(fmt.Sprintf("engine-%d", i+1))
		e := backend.NewEngine(backend.EngineOptions{
			Kernel: w.kernel, Faults: w.faults, Weights: w.weights, ID: id, Profile: w.scenario.Engine,
			Model: d.Model, Version: firstVersion, Exported: w.exported,
			Shapes: func(prompt string) backend.Shape { return w.shapes[prompt] },
		})
		w.engines = append(w.engines, e)
		w.enginesByID[id] = e
		w.list(id, cluster.KindEngine, d.Pool, w.zone(i))
	}
	for i := range d.Servers {
		id := cluster.BackendID(fmt.Sprintf("%s-%d", d.Service, i+1))
		s := backend.NewService(backend.ServiceOptions{
			Kernel: w.kernel, Faults: w.faults, ID: id,
			Slots: w.scenario.ServerSlots, Queue: w.scenario.ServerQueue,
			ServiceTime: w.scenario.ServiceTime, ReportLag: time.Second,
			Ran: func(request string) {
				w.runs[request]++
				w.kernel.Record("run", string(id), request, uint64(w.runs[request]))
			},
		})
		w.services = append(w.services, s)
		w.servicesByID[id] = s
		w.list(id, cluster.KindService, d.Service, w.zone(i))
	}
}

func (w *World) list(id cluster.BackendID, kind cluster.BackendKind, pool string, zone cluster.ZoneName) {
	w.zoneOf[id] = zone
	w.machines.Set(cluster.Machine{
		ID: id, Kind: kind, Pool: pool, Zone: zone, Region: w.scenario.Deployment.Region,
		Address: string(id) + ":80", State: cluster.StateLive,
	})
}

// exported finds the cache of a request at any engine that is up.
func (w *World) exported(handle string) int {
	id, _, _ := strings.Cut(handle, "/")
	if e := w.engine(cluster.BackendID(id)); e != nil && e.Up() {
		return e.CachedTokens(handle)
	}
	return 0
}

// addNode adds a node of a new name and starts it.
func (w *World) addNode() *Node {
	w.lastNode++
	id := nodeID(w.lastNode)
	n := newNode(w, cluster.Node{
		ID: id, Zone: w.zone(w.lastNode - 1), Region: w.scenario.Deployment.Region,
		PeerAddress: peerAddress(id), ClientAddress: string(id) + ":8000",
	})
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

// seedNodes is the number of peers that a node is told to join by.
const seedNodes = 3

// seedAddresses returns the peer addresses that a starting node is told: those
// of the oldest nodes that have not left for good.
func (w *World) seedAddresses() []string {
	var seeds []string
	for number := 1; number <= max(w.lastNode, seedNodes) && len(seeds) < seedNodes; number++ {
		id := nodeID(number)
		if n := w.node(id); n == nil || !n.left {
			seeds = append(seeds, peerAddress(id))
		}
	}
	return seeds
}

func nodeID(number int) cluster.NodeID { return cluster.NodeID(fmt.Sprintf("node-%d", number)) }

func peerAddress(id cluster.NodeID) string { return string(id) + ":7000" }

func (w *World) node(id cluster.NodeID) *Node {
	index := slices.IndexFunc(w.nodes, func(n *Node) bool { return n.identity.ID == id })
	if index < 0 {
		return nil
	}
	return w.nodes[index]
}

func (w *World) engine(id cluster.BackendID) *backend.Engine { return w.enginesByID[id] }

func (w *World) service(id cluster.BackendID) *backend.Service { return w.servicesByID[id] }

// backendZone returns the zone of a back end.
func (w *World) backendZone(id cluster.BackendID) cluster.ZoneName { return w.zoneOf[id] }

// violate notes that a rule of the contract was broken.
func (w *World) violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.kernel.Record("violation", "", text, 0)
	w.violations = append(w.violations, fmt.Sprintf("%v: %s", w.kernel.Elapsed(), text))
}

// Violations returns the broken rules of the contract that the world saw itself.
func (w *World) Violations() []string { return w.violations }

// Hash returns the hash over the whole run.
func (w *World) Hash() uint64 { return w.kernel.Hash() }

// Elapsed returns the virtual time since the start.
func (w *World) Elapsed() time.Duration { return w.kernel.Elapsed() }

// Steps returns the number of events that were run.
func (w *World) Steps() uint64 { return w.kernel.Steps() }

// Run runs the scenario: RunFor with all traffic, then until the trainers have
// what they asked for, SettleFor at most.
func (w *World) Run() {
	w.kernel.Run(w.scenario.RunFor)
	w.stopping = true
	w.kernel.RunWhile(w.scenario.RunFor+w.scenario.SettleFor, func() bool { return !w.settled() })
}

// settled reports whether nothing is left to wait for.
func (w *World) settled() bool {
	busy := slices.ContainsFunc(w.trainers, func(t *Trainer) bool { return !t.Done() }) ||
		slices.ContainsFunc(w.callers, func(c *Caller) bool { return c.open > 0 }) ||
		slices.ContainsFunc(w.operators, func(o *Operator) bool { return !o.Done() })
	return !busy
}

func (w *World) addClients() {
	w.setup = newOperator(w, OperatorOptions{Name: "setup", Events: w.scenario.Events, StartAt: time.Second})
	for _, options := range w.scenario.Trainers {
		w.trainers = append(w.trainers, newTrainer(w, options))
	}
	for _, options := range w.scenario.Callers {
		w.callers = append(w.callers, newCaller(w, options))
	}
	for _, options := range w.scenario.Operators {
		w.operators = append(w.operators, newOperator(w, options))
	}
}

// Trainers returns the scenario's trainers.
func (w *World) Trainers() []*Trainer { return w.trainers }

// Callers returns the scenario's callers.
func (w *World) Callers() []*Caller { return w.callers }

// Engines returns the scenario's engines.
func (w *World) Engines() []*backend.Engine { return w.engines }

// Shape returns how long a sample's prompt and answer are.
func (w *World) Shape(sample record.Sample) backend.Shape { return w.shapes[sample.Prompt] }

// Refusals returns what operators were refused with, in order.
func (w *World) Refusals() []machine.Failure {
	refusals := slices.Clone(w.setup.refusals)
	for _, o := range w.operators {
		refusals = append(refusals, o.refusals...)
	}
	return refusals
}
