package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// The modelled deployment: three servers with eight workers each, of 20 ms a
// request on average, so 1,200 requests a second, behind three nodes.
const (
	modelServers  = 3
	modelWorkers  = 8
	modelNodes    = 3
	modelCapacity = 1200.0
	modelDeadline = time.Second
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelServer serves in order of arrival and can't tell that a caller has gone.
type modelServer struct {
	id      cluster.BackendID
	running int
	queue   []func()
}

// overloadModel is a virtual clock with servers and nodes on it.
type overloadModel struct {
	now     time.Time
	seq     int
	events  events
	random  *rand.Rand
	servers []*modelServer
	nodes   []*Controller
	good    int
	scale   time.Duration
}

func (m *overloadModel) after(wait time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now.Add(wait), seq: m.seq, run: run})
}

func (m *overloadModel) run(until time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(until) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

func (m *overloadModel) serve(server *modelServer, done func()) {
	if server.running >= modelWorkers {
		server.queue = append(server.queue, func() { m.serve(server, done) })
		return
	}
	server.running++
	m.after(10*m.scale+time.Duration(m.random.Int64N(int64(20*m.scale))), func() {
		server.running--
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next()
		}
		done()
	})
}

func (m *overloadModel) finish(deadline time.Time) {
	if !m.now.After(deadline) {
		m.good++
	}
}

// direct sends a request straight to the server with the shortest queue.
func (m *overloadModel) direct(deadline time.Time) {
	best := m.servers[0]
	for _, server := range m.servers[1:] {
		if len(server.queue) < len(best.queue) {
			best = server
		}
	}
	m.serve(best, func() { m.finish(deadline) })
}

func (m *overloadModel) dispatch(node *Controller) {
	node.Dispatch(m.now, func(item Item) bool {
		var best *modelServer
		for _, server := range m.servers {
			limiter := node.Limiter(server.id)
			if limiter.HasRoom(m.now) && (best == nil || limiter.InFlight() < node.Limiter(best.id).InFlight()) {
				best = server
			}
		}
		if best == nil {
			return false
		}
		sent := m.now
		node.Limiter(best.id).Acquire()
		m.serve(best, func() {
			node.Limiter(best.id).Answered(m.now, m.now.Sub(sent))
			node.Ended(item, m.now.Sub(sent))
			m.finish(item.Deadline)
			m.dispatch(node)
		})
		return true
	})
	node.TakeRefused()
}

// runOverload returns the answers in time a second over the last 50 of 60 s.
func runOverload(times float64, controlled bool, scale time.Duration) float64 {
	model := &overloadModel{
		now:    time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(1, 2)),
		scale:  scale,
	}
	for range modelServers {
		id := cluster.BackendID(string(rune('a' + len(model.servers))))
		model.servers = append(model.servers, &modelServer{id: id})
	}
	for range modelNodes {
		node := New(Options{})
		node.Register("lookup", "lookup")
		model.nodes = append(model.nodes, node)
	}
	var call machine.CallID
	var arrive func()
	arrive = func() {
		call++
		deadline := model.now.Add(modelDeadline)
		if controlled {
			node := model.nodes[model.random.IntN(modelNodes)]
			node.Offer(model.now, Item{Call: call, Service: "lookup", Class: "lookup", Deadline: deadline})
			model.dispatch(node)
		} else {
			model.direct(deadline)
		}
		rate := times * modelCapacity
		model.after(time.Duration(model.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	model.after(0, arrive)
	var tick func()
	tick = func() {
		for _, node := range model.nodes {
			node.Tick(model.now)
			model.dispatch(node)
		}
		model.after(machine.TickInterval, tick)
	}
	model.after(0, tick)
	model.run(model.now.Add(10 * time.Second))
	warm := model.good
	model.run(model.now.Add(50 * time.Second))
	return float64(model.good-warm) / 50
}

func TestOverloadKeepsGoodput(t *testing.T) {
	cases := []struct {
		name       string
		times      float64
		scale      time.Duration
		controlled bool
		least      float64
		most       float64
	}{
		{"below capacity, controlled", 0.8, time.Millisecond, true, 0.8 * 0.99 * modelCapacity, modelCapacity},
		{"three times the capacity, controlled", 3, time.Millisecond, true, 0.9 * modelCapacity, 1.02 * modelCapacity},
		{"servers four times slower than planned, controlled", 1, 4 * time.Millisecond, true, 0.9 * modelCapacity / 4, 1.02 * modelCapacity / 4},
		{"three times the capacity, mechanism off", 3, time.Millisecond, false, 0, 0.1 * modelCapacity},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			goodput := runOverload(test.times, test.controlled, test.scale)
			t.Logf("goodput %.0f/s of %.0f/s", goodput, modelCapacity/float64(test.scale/time.Millisecond))
			if goodput < test.least || goodput > test.most {
				t.Errorf("goodput %.0f/s, want %.0f to %.0f", goodput, test.least, test.most)
			}
		})
	}
}
