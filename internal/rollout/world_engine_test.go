package rollout

import (
	"fmt"
	"slices"
	"strings"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// worldEngine generates tokens whose text names their version.
type worldEngine struct {
	world   *world
	id      cluster.BackendID
	version cluster.Version
	perTick int
	dead    bool
	hidden  bool
	// lenient makes the engine take tokens that it was given for its own.
	lenient  bool
	requests map[string]*engineRequest
	order    []string
}

type engineRequest struct {
	order    machine.StartAttempt
	listener *worldNode
	sent     int
	versions []cluster.Version
	done     bool
}

func (w *world) addEngine(id cluster.BackendID, version cluster.Version) *worldEngine {
	e := &worldEngine{world: w, id: id, version: version, perTick: 2, requests: map[string]*engineRequest{}}
	w.engines = append(w.engines, e)
	w.after(engineTick, e.tick)
	return e
}

func (w *world) engine(id cluster.BackendID) *worldEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	w.t.Fatalf("no engine %s", id)
	return nil
}

// start begins a request, or streams a known one again.
func (e *worldEngine) start(listener *worldNode, order machine.StartAttempt) {
	if e.dead {
		listener.ended(order.ID, e.id, machine.EndUnreachable)
		return
	}
	id := order.ID.String()
	request := e.requests[id]
	switch {
	case request != nil && order.ResumeFrom < request.order.ResumeFrom && !e.lenient:
		listener.ended(order.ID, e.id, machine.EndUnknownRequest) // its beginning came from elsewhere
		return
	case request != nil && order.ResumeText == "":
	case request == nil && order.ResumeText == "" && order.ResumeFrom > 0:
		listener.ended(order.ID, e.id, machine.EndUnknownRequest)
		return
	default:
		if strings.Count(order.ResumeText, " ") != order.ResumeFrom {
			e.world.t.Fatalf("%s resumes from %d with text %q", order.ID, order.ResumeFrom, order.ResumeText)
		}
		request = &engineRequest{order: order, versions: make([]cluster.Version, order.ResumeFrom)}
		e.requests[id] = request
		e.order = append(e.order, id)
	}
	request.listener = listener
	request.sent = order.ResumeFrom
	request.done = false
}

func (e *worldEngine) cancel(id machine.AttemptID) {
	delete(e.requests, id.String())
	e.order = slices.DeleteFunc(e.order, func(known string) bool { return known == id.String() })
}

func (e *worldEngine) tick() {
	e.world.after(engineTick, e.tick)
	if e.dead {
		return
	}
	for _, id := range slices.Clone(e.order) {
		e.generate(e.requests[id])
	}
}

// generate adds tokens and streams what the listener has not.
func (e *worldEngine) generate(r *engineRequest) {
	if r == nil || r.done {
		return
	}
	for range e.perTick {
		if len(r.versions) < r.order.MaxTokens {
			r.versions = append(r.versions, e.version)
		}
	}
	for r.sent < len(r.versions) {
		version := r.versions[r.sent]
		chunk := machine.AttemptChunk{ID: r.order.ID, Engine: e.id, FromToken: r.sent, Version: version}
		carried := r.sent < r.order.ResumeFrom
		if carried {
			chunk.Text, chunk.Tokens, chunk.Version = r.order.ResumeText, r.order.ResumeFrom, e.version
			r.sent = r.order.ResumeFrom
		}
		for !carried && r.sent < len(r.versions) && r.versions[r.sent] == version {
			chunk.Text += token(r.order.ID, r.sent, version)
			chunk.Tokens++
			r.sent++
		}
		r.listener.deliver(func() { r.listener.machine.HandleChunk(e.world.now, chunk) })
	}
	if len(r.versions) >= r.order.MaxTokens {
		r.done = true
		r.listener.ended(r.order.ID, e.id, machine.EndComplete)
	}
}

// token is the text of one token; it names the version that produced it.
func token(id machine.AttemptID, index int, version cluster.Version) string {
	return fmt.Sprintf("%d.%d@%d ", id.Sample, index, version)
}

// cut breaks the streams of an engine; its requests live on.
func (e *worldEngine) cut() {
	for _, id := range slices.Clone(e.order) {
		if r := e.requests[id]; !r.done {
			r.listener.ended(r.order.ID, e.id, machine.EndCut)
		}
	}
}

// crash ends an engine.
func (e *worldEngine) crash() {
	e.dead = true
	e.cut()
}

// forget makes an engine lose what it ran, so that nothing can be streamed again.
func (e *worldEngine) forget() {
	e.requests = map[string]*engineRequest{}
	e.order = nil
}
