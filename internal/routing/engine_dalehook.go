package routing

import (
	"cmp"
	"slices"

	"dalehook/internal/cluster"
)

// The parameters of the dalehook policy. Times are in seconds, speeds in tokens
// a second. All are assumptions that dalehook rehearse varies.
const (
	// assumedPrefillSpeed is the speed at which an engine reads a prompt.
	assumedPrefillSpeed = 8000
	// assumedStreamSpeed is the speed of one stream alone on an engine.
	assumedStreamSpeed = 80
	// halfSpeedBatch is the batch size at which one stream has half its speed.
	halfSpeedBatch = 48
	// assumedGroupPrompt is the least length in tokens of the prompt that a prompt
	// group shares.
	assumedGroupPrompt = 500
	// speedSpread is the factor within which two engines count as equally fast,
	// maxSlowness the largest by which one counts as slower than the others.
	speedSpread = 2
	maxSlowness = 20
	// memoryShare is the share of the cache memory that placement fills, so that
	// samples that grow beyond what was expected evict nothing.
	memoryShare = 0.9
	// swapPenalty is the time that a swap in the middle of a sample costs. An
	// engine with an old version is to be swapped soon.
	swapPenalty = 2.0
	// tailFactor is how many times its expected length a sample may well have.
	tailFactor = 4
	// movableSamplesPerEngine is the number of running samples for each engine
	// from which on down a step's samples are moved.
	movableSamplesPerEngine = 4
	// moveCost is the fixed time that a move takes.
	moveCost = 0.3
	// moveGain is the factor by which a move has to shorten the remaining time.
	moveGain = 1.3
	// maxMoves bounds the moves of one sample.
	maxMoves = 2
	// tailSamplesPerEngine is the number of unfinished samples for each engine
	// from which on down they are the last ones of their step.
	tailSamplesPerEngine = 1
	// maxMisses bounds the samples for which no engine has the memory before a
	// call gives up; shorter ones may fit, but not after many.
	maxMisses = 32
	// priorityTail is added to the priority of the last samples of a step.
	priorityTail = 100
	// priorityPerTokens is the number of expected tokens that raise the priority
	// by one.
	priorityPerTokens = 64
)

// dalehookPolicy places the longest expected sample first on the engine that
// ends it first, with limits by cache memory, and moves stragglers.
type dalehookPolicy struct{}

// Name implements EnginePolicy.
func (p *dalehookPolicy) Name() string { return PolicyDalehook }

// Place implements EnginePolicy.
func (p *dalehookPolicy) Place(request PlaceRequest) []Placement {
	engines := usable(request.Engines, request.Newest, request.Bound)
	estimateSpeeds(engines)
	tail := request.Unfinished <= tailSamplesPerEngine*len(engines)
	var placements []Placement
	misses := 0
	for _, work := range longestFirst(request.Waiting) {
		engines = slices.DeleteFunc(engines, func(e Engine) bool { return full(&e) })
		if len(engines) == 0 || misses >= maxMisses {
			break
		}
		chosen := bestEngine(engines, work, request.Newest)
		if chosen < 0 {
			misses++
			continue
		}
		engine := &engines[chosen]
		engine.prefill += prefillTime(engine, work)
		engine.take(work)
		placements = append(placements, Placement{
			Sample:   work.Sample,
			Engine:   engine.ID,
			Address:  engine.Address,
			Priority: priority(work, tail),
		})
	}
	return placements
}

// longestFirst sorts work by its expected length. Work of one prompt group and
// one length stays together, so that it meets its prefix in the cache.
func longestFirst(waiting []Work) []Work {
	sorted := slices.Clone(waiting)
	slices.SortStableFunc(sorted, func(a, b Work) int {
		return cmp.Or(
			cmp.Compare(b.Expected, a.Expected),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Sample, b.Sample),
		)
	})
	return sorted
}

// priority orders work inside an engine: longer first, a step's last samples
// before all others.
func priority(work Work, tail bool) int {
	value := work.Expected / priorityPerTokens
	if tail {
		value += priorityTail
	}
	return value
}

// bestEngine returns the index of the engine with the lowest cost that has room,
// or -1.
func bestEngine(engines []Engine, work Work, newest cluster.Version) int {
	chosen := -1
	lowest := 0.0
	for i := range engines {
		engine := &engines[i]
		if !hasRoom(engine, work) {
			continue
		}
		cost := placeCost(engine, work, newest)
		if chosen < 0 || cost < lowest {
			chosen, lowest = i, cost
		}
	}
	return chosen
}

// full reports whether the engine has no free slot.
func full(engine *Engine) bool {
	return engine.Slots > 0 && engine.requests() >= engine.Slots
}

// hasRoom reports whether the engine can start the work at once and hold it to
// its end. An idle engine takes any work, however long.
func hasRoom(engine *Engine, work Work) bool {
	requests := engine.requests()
	if requests == 0 {
		return true
	}
	if full(engine) {
		return false
	}
	if engine.KVCapacity == 0 {
		return true
	}
	limit := int(float64(engine.KVCapacity) * memoryShare)
	return engine.memory()+work.memory() <= limit
}

func holdsGroup(engine *Engine, group string) bool {
	return slices.Contains(engine.Groups, group) || slices.Contains(engine.Placed.Groups, group)
}

// Move implements EnginePolicy. It moves a sample only when none waits for an
// engine, and only when that ends the sample clearly sooner.
func (p *dalehookPolicy) Move(request MoveRequest) []Placement {
	engines := usable(request.Engines, request.Newest, request.Bound)
	estimateSpeeds(engines)
	if request.Waiting > 0 || len(request.Running) > movableSamplesPerEngine*len(engines) {
		return nil
	}
	var moves []Placement
	for _, running := range slowestFirst(request.Running) {
		target := moveTarget(engines, running, request.Newest)
		if target < 0 {
			continue
		}
		engine := &engines[target]
		engine.take(running.Work)
		moves = append(moves, Placement{
			Sample:   running.Sample,
			Engine:   engine.ID,
			Address:  engine.Address,
			Priority: priority(running.Work, true),
		})
	}
	return moves
}

// slowestFirst sorts running samples by the time they still need.
func slowestFirst(running []Running) []Running {
	sorted := slices.Clone(running)
	slices.SortStableFunc(sorted, func(a, b Running) int {
		return cmp.Compare(b.remaining(), a.remaining())
	})
	return sorted
}

// remaining is the time in seconds that the attempt still needs where it runs,
// zero when its speed is not known yet.
func (r Running) remaining() float64 {
	if r.Speed <= 0 {
		return 0
	}
	return float64(r.Expected) / r.Speed
}

// moveTarget returns the index of the engine on which the sample ends soonest,
// when that is worth a move, or -1.
func moveTarget(engines []Engine, running Running, newest cluster.Version) int {
	if running.Moves >= maxMoves || running.remaining() == 0 {
		return -1
	}
	others := slices.Clone(engines)
	for i := range others {
		if others[i].ID == running.Engine {
			others[i].Slots = -1
		}
	}
	best, lowest := -1, running.remaining()/moveGain
	for i := range others {
		engine := &others[i]
		if engine.Slots < 0 || !hasRoom(engine, running.Work) {
			continue
		}
		speed := streamSpeed(engine, engine.requests()+1)
		cost := moveCost + prefillTime(engine, running.Work) + float64(running.Expected)/speed
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
