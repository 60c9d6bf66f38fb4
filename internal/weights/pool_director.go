package weights

import (
	"math"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// poolDirector directs one pool under one epoch of its lease.
type poolDirector struct {
	director *Director
	name     string
	epoch    uint64
	// sequence is the highest sequence of a fence under this epoch.
	sequence   uint64
	tookOverAt time.Time
	lookedAt   time.Time
	// lost is set when an engine has seen a higher epoch: another node directs
	// the pool, whatever this node's fold says.
	lost    bool
	engines map[cluster.BackendID]*engineState
}

func newPoolDirector(director *Director, name string, epoch uint64, now time.Time) *poolDirector {
	pool := &poolDirector{
		director:   director,
		name:       name,
		epoch:      epoch,
		tookOverAt: now,
		engines:    map[cluster.BackendID]*engineState{},
	}
	if given := director.given[name]; given.Epoch == epoch {
		pool.sequence = given.Sequence
	}
	return pool
}

// tick looks at the pool once in an interval.
func (p *poolDirector) tick(now time.Time) {
	if now.Sub(p.lookedAt) < p.director.parameters.Interval {
		return
	}
	p.lookedAt = now
	p.director.pace.refill(now)
	wave := p.observe(now)
	if !p.lost {
		p.order(now, wave)
	}
}

// wave is what one look at the pool found.
type wave struct {
	// live counts the engines that are neither dead nor leaving.
	live int
	// loading counts live engines that load, or were ordered to; begun those of
	// them that were ordered within the last SwapTime.
	loading int
	begun   int
	// broken counts live engines that serve nothing, cannot be asked, or load for
	// so long that the load may be hung.
	broken     int
	candidates []candidate
}

// observe takes in the reports of all engines and finds those that need a load.
func (p *poolDirector) observe(now time.Time) wave {
	var found wave
	engines := p.director.environment.Engines(p.name)
	loads := p.plannedLoads(now)
	states := make(map[cluster.BackendID]*engineState, len(engines))
	for _, engine := range engines {
		state := p.engines[engine.ID]
		if state == nil {
			state = &engineState{}
		}
		states[engine.ID] = state
		if engine.State == cluster.StateLive {
			p.observeEngine(now, &found, engine, state, loads)
		}
	}
	p.engines = states
	return found
}

func (p *poolDirector) observeEngine(now time.Time, found *wave, engine Engine, state *engineState, loads map[cluster.BackendID]record.LoadVersion) {
	parameters := p.director.parameters
	found.live++
	p.observeFence(engine.Report.LastFence)
	if state.observe(now, parameters, engine) {
		p.director.pace.refused(now)
	}
	switch {
	case state.pending || p.isLoading(now, state, engine.Report):
		if state.isSlow(now, parameters) {
			found.broken++
		} else {
			found.loading++
		}
		if state.pending && now.Sub(state.orderedAt) < parameters.SwapTime {
			found.begun++
		}
		return
	case !p.isKnown(now, engine):
		found.broken++
		return
	}
	serving := engine.Report.Version != 0 && engine.Report.Loading == 0
	if !serving {
		found.broken++
	}
	want, ok := p.target(engine, loads)
	if !ok || now.Before(state.retryAt) || !engine.ReportedAt.After(state.trustAfter) {
		return
	}
	kind := state.judge(now, parameters, engine.Report, want)
	if kind == needNothing {
		return
	}
	demand := p.director.environment.Demand(engine.ID)
	if demand.Tail && kind == needUpdate && serving && !p.urgent(demand) && now.Sub(state.behindSince) < parameters.TailWait {
		return
	}
	found.candidates = append(found.candidates, candidate{
		engine: engine, state: state, want: want, kind: kind, demand: demand, serving: serving,
	})
}

// observeFence learns of other directors, and of sequences that were used under
// this epoch.
func (p *poolDirector) observeFence(seen machine.Fence) {
	switch {
	case seen.Epoch > p.epoch:
		p.lost = true
	case seen.Epoch == p.epoch:
		p.sequence = max(p.sequence, seen.Sequence)
	}
}

// isLoading reports whether an engine loads by its own report. A load that goes
// on for too long no longer counts.
func (p *poolDirector) isLoading(now time.Time, state *engineState, report machine.BackendReport) bool {
	return report.Loading != 0 && now.Sub(state.loadingSince) < p.director.parameters.LoadTimeout
}

// isKnown reports whether a report of an engine is at hand that is newer than
// the takeover, so that what the director before has ordered shows in it. An
// order may have been on its way at the takeover; an engine that never had one is
// spared the wait for it, since a new pool serves nothing until its first load.
func (p *poolDirector) isKnown(now time.Time, engine Engine) bool {
	if engine.Report.Err != "" || !engine.ReportedAt.After(p.tookOverAt) {
		return false
	}
	ordered := engine.Report.LastFence != machine.Fence{}
	return !ordered || now.Sub(p.tookOverAt) >= p.director.parameters.TakeoverWait
}

// urgent reports whether the running samples are about to miss their bound.
func (p *poolDirector) urgent(demand Demand) bool { return demand.Bounded && demand.Slack <= 0 }

// plannedLoads returns the last load that is due of each engine.
func (p *poolDirector) plannedLoads(now time.Time) map[cluster.BackendID]record.LoadVersion {
	due := map[cluster.BackendID]record.LoadVersion{}
	for _, load := range p.director.environment.PlannedLoads(p.name) {
		earlier, known := due[load.Engine]
		if load.At.After(now) || known && load.At.Before(earlier.At) {
			continue
		}
		due[load.Engine] = load
	}
	return due
}

// target returns what an engine should have loaded: the newest version of the
// model that a plan puts there, or else of the model that it has.
func (p *poolDirector) target(engine Engine, loads map[cluster.BackendID]record.LoadVersion) (target, bool) {
	model := engine.Report.Model
	load, planned := loads[engine.ID]
	if planned {
		model = load.Model
	}
	version := p.director.environment.Newest(model)
	if planned {
		version = max(version, load.Version)
	}
	return target{model: model, version: version}, model != "" && version != 0
}

// order gives load orders to the first candidates, as far as the floor of
// capacity and the store's pace allow.
func (p *poolDirector) order(now time.Time, found wave) {
	budget := p.budget(now, found)
	for _, next := range rank(found.candidates) {
		// An engine that serves nothing costs no capacity.
		if next.serving && budget <= 0 {
			continue
		}
		if !p.director.pace.take(now) {
			return
		}
		if next.serving {
			budget--
		}
		p.send(now, next)
	}
}

// budget is the number of serving engines that may begin to load now. Loads that
// begin apart end apart, so the pace at which they begin bounds the engines that
// stand still at once. One engine at a time may load in any case: otherwise a pool
// without spare engines would stay on an old version for ever. Broken engines may
// hold the others up to twice the usual number; beyond that it is the store, rather
// than an engine, that hangs.
func (p *poolDirector) budget(now time.Time, found wave) int {
	parameters := p.director.parameters
	swapping := max(1, int(float64(found.live)*parameters.MaxSwapFraction))
	if needed := p.director.environment.Needed(now, p.name); needed > 0 {
		swapping = max(1, min(swapping, found.live-needed))
	}
	loading := max(swapping, int(math.Ceil(float64(found.live)*parameters.MaxLoadFraction)))
	free := min(swapping-found.begun, loading-found.loading) - found.broken
	if found.loading == 0 && found.broken < 2*swapping {
		return max(1, free)
	}
	return free
}

func (p *poolDirector) send(now time.Time, next candidate) {
	p.sequence++
	fence := machine.Fence{Epoch: p.epoch, Sequence: p.sequence}
	p.director.given[p.name] = fence
	next.state.begin(now, fence, next.want)
	p.director.outbox.Add(machine.OrderEngine{
		Engine:  next.engine.ID,
		Address: next.engine.Address,
		Fence:   fence,
		Model:   next.want.model,
		Version: next.want.version,
	})
}
