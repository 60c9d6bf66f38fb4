package overload

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"
)

// The modelled deployment: a server runs 6 requests at once, 25 ms each on average, queues 24, and
// then rejects the one that has waited longest.
const (
	modelSlots    = 6
	modelQueue    = 24
	modelService  = 25 * time.Millisecond
	modelTarget   = 150 * time.Millisecond
	modelDeadline = 800 * time.Millisecond
	modelDelay    = time.Millisecond
	modelAttempts = 3
	// modelCapacity is the requests a second of one server.
	modelCapacity = float64(modelSlots) / 0.025
)

type modelEvent struct {
	at  time.Time
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(event any)    { *e = append(*e, event.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is a virtual clock with servers, nodes and callers on it.
type model struct {
	now     time.Time
	events  modelEvents
	random  *rand.Rand
	servers []*modelServer
	nodes   []*modelNode
	// statesLoad says that responses state the server's load.
	statesLoad bool
	modelCounts
}

// modelCounts counts what has happened so far.
type modelCounts struct {
	made, arrivals, inTime, refused, hedges, retries int
}

type modelServer struct {
	running int
	queue   []modelArrival
	// slowdown multiplies the time of a request; 0 means that the server hangs. rejecting says that
	// it rejects all requests.
	slowdown  float64
	rejecting bool
}

type modelArrival struct{ run, reject func() }

// modelNode sends requests as the gateway does.
type modelNode struct {
	service *Service
	servers []*Server
	// unprotected nodes ignore all decisions.
	unprotected bool
}

type modelRequest struct {
	node     *modelNode
	deadline time.Time
	tried    []bool
	attempts int
	pending  int
	done     bool
}

func newModel(nodes, servers int) *model {
	m := &model{now: start, random: rand.New(rand.NewPCG(1, 2)), statesLoad: true}
	for range servers {
		m.servers = append(m.servers, &modelServer{slowdown: 1})
	}
	for range nodes {
		node := &modelNode{service: NewService(ServiceOptions{})}
		for range servers {
			node.servers = append(node.servers, NewServer(modelSlots))
		}
		m.nodes = append(m.nodes, node)
	}
	return m
}

func (m *model) after(wait time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{at: m.now.Add(wait), run: run})
}

// simulate has callers make the given requests a second for a time, and returns the counts of that time.
func (m *model) simulate(length time.Duration, rate float64) modelCounts {
	before, end := m.modelCounts, m.now.Add(length)
	var next func()
	next = func() {
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
			if m.now.Before(end) {
				m.made++
				m.call(m.nodes[m.random.IntN(len(m.nodes))], m.now.Add(modelDeadline))
				next()
			}
		})
	}
	next()
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
	}
	m.now = end
	return modelCounts{
		made: m.made - before.made, arrivals: m.arrivals - before.arrivals, inTime: m.inTime - before.inTime,
		refused: m.refused - before.refused, hedges: m.hedges - before.hedges, retries: m.retries - before.retries,
	}
}

// call has a node serve a request, unless it refuses to.
func (m *model) call(node *modelNode, deadline time.Time) {
	r := &modelRequest{node: node, deadline: deadline, tried: make([]bool, len(m.servers))}
	remaining := deadline.Sub(m.now)
	free := node.hasFreeSlot(m.now, r.tried)
	if node.service.IsTooLate(m.now, "", remaining) && !node.unprotected {
		m.refuse(r, minRetryAfter)
		return
	}
	decision := node.service.Admit(m.now, Request{Remaining: remaining, HasFreeSlot: free}, m.random.Float64())
	switch {
	case node.unprotected || decision.Admitted:
		m.attempt(r)
		m.after(modelTarget*2/5, func() {
			if !r.done && r.pending > 0 && r.attempts < modelAttempts && (node.unprotected || node.service.AllowHedge(m.now)) {
				m.hedges++
				m.attempt(r)
			}
		})
	default:
		m.refuse(r, decision.RetryAfter)
	}
}

// refuse has the caller send the request again after the given time, while it has time left.
func (m *model) refuse(r *modelRequest, retryAfter time.Duration) {
	m.refused++
	r.done = true
	if m.now.Add(retryAfter).Before(r.deadline) {
		m.after(retryAfter, func() { m.call(r.node, r.deadline) })
	}
}

func (n *modelNode) hasFreeSlot(now time.Time, tried []bool) bool {
	for i, server := range n.servers {
		if !tried[i] && server.HasFreeSlot(now) {
			return true
		}
	}
	return false
}

// attempt sends a request to the untried server of lowest cost.
func (m *model) attempt(r *modelRequest) {
	best, bestCost := -1, 0.0
	for i, known := range r.node.servers {
		load := known.LastLoad()
		used := 1 + max(known.Limiter.InFlight(), load.Running+load.Waiting)
		cost := known.ServiceTime(m.now, modelService).Seconds() * (1 + float64(used)/modelSlots)
		if !known.Limiter.HasRoom(m.now) {
			cost *= 10
		}
		if known.IsRejecting(m.now) {
			cost *= 10
		}
		if !r.tried[i] && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	known, server, sent := r.node.servers[best], m.servers[best], m.now
	r.tried[best] = true
	r.attempts++
	r.pending++
	known.Start(sent)
	known.Limiter.Acquire()
	respond := func(rejected bool) func() {
		return func() {
			load := Load{Running: server.running, Waiting: len(server.queue), Slots: modelSlots}
			m.after(modelDelay, func() { m.receive(r, best, sent, rejected, load) })
		}
	}
	m.after(modelDelay, func() { m.arrive(server, modelArrival{run: respond(false), reject: respond(true)}) })
}

func (m *model) arrive(server *modelServer, arrival modelArrival) {
	m.arrivals++
	if server.rejecting {
		arrival.reject()
		return
	}
	server.queue = append(server.queue, arrival)
	m.advance(server)
	if len(server.queue) > modelQueue {
		oldest := server.queue[0]
		server.queue = server.queue[1:]
		oldest.reject()
	}
}

// advance starts waiting requests at a server.
func (m *model) advance(server *modelServer) {
	for server.running < modelSlots && len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		if server.slowdown == 0 {
			continue
		}
		took := server.slowdown * (0.4 + 1.2*m.random.Float64()) * float64(modelService)
		m.after(time.Duration(took), func() {
			server.running--
			m.advance(server)
			next.run()
		})
	}
}

// receive handles a server's response as the gateway does.
func (m *model) receive(r *modelRequest, from int, sent time.Time, rejected bool, load Load) {
	known := r.node.servers[from]
	r.pending--
	known.End(sent)
	known.ObserveResponse(m.now, rejected)
	sample := Sample{Server: strconv.Itoa(from), Rejected: rejected, Target: modelTarget, Utilization: -1}
	if rejected {
		known.Limiter.Failed(m.now)
	} else {
		known.Limiter.Answered(m.now, m.now.Sub(sent))
		r.node.service.ObserveAnswer(m.now, "", m.now.Sub(sent))
	}
	if !m.statesLoad {
		load = Load{}
	} else {
		known.ObserveLoad(m.now, load)
		sample.Utilization = load.Utilization()
	}
	if !rejected {
		known.ObserveLatency(m.now, m.now.Sub(sent), load)
	}
	sample.Predicted = known.PredictedLatency(load)
	r.node.service.Throttle.Observe(m.now, sample)
	switch {
	case r.done:
	case !rejected:
		r.done = true
		if !m.now.After(r.deadline) {
			m.inTime++
		}
	case r.pending > 0:
	case r.attempts < modelAttempts && (r.node.unprotected || r.node.service.AllowRetry(m.now, r.node.hasFreeSlot(m.now, r.tried))):
		m.retries++
		m.attempt(r)
	default:
		m.refuse(r, r.node.service.Throttle.RetryAfter(m.now, r.deadline.Sub(m.now), m.random.Float64()))
	}
}
