package standin

import (
	"container/heap"
	"slices"
	"time"

	"dalehook/internal/backend"
)

// cachedPrefillShare is the part of a prompt's prefill that a cached prefix
// leaves to be done.
const cachedPrefillShare = 0.2

// generationQueue orders waiting requests: higher priority first, then by
// arrival. It implements heap.Interface.
type generationQueue []*generation

func (q generationQueue) Len() int { return len(q) }

func (q generationQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}

func (q generationQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *generationQueue) Push(x any) { *q = append(*q, x.(*generation)) }

// Pop implements heap.Interface.
func (q *generationQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runBatches steps the batch until the engine is closed.
func (e *Engine) runBatches() {
	for e.background.ctx.Err() == nil {
		duration, busy := e.beginStep()
		if !busy {
			e.waitForWork()
			continue
		}
		if !sleep(e.background.ctx, duration, nil) {
			return
		}
		if !e.faults.waitOver(e.background.ctx, FaultFreeze) {
			return
		}
		e.endStep(duration)
	}
}

func (e *Engine) waitForWork() {
	select {
	case <-e.wake:
	case <-e.background.ctx.Done():
	}
}

// beginStep fills the batch and returns the time that the next chunk takes.
func (e *Engine) beginStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked()
	if e.pausedLocked() {
		e.tokensPerSecond = 0
		e.noteReportLocked()
		return 0, false
	}
	for len(e.batch) < e.options.Slots && len(e.queue) > 0 {
		e.startLocked(heap.Pop(&e.queue).(*generation))
	}
	if len(e.batch) == 0 {
		e.tokensPerSecond = 0
	}
	e.noteReportLocked()
	return e.stepTimeLocked(), len(e.batch) > 0
}

// pausedLocked reports whether nothing may be generated now.
func (e *Engine) pausedLocked() bool {
	return e.version == 0 || e.load != nil && e.load.swapping
}

// stepTimeLocked is the time of one chunk; it grows with the batch.
func (e *Engine) stepTimeLocked() time.Duration {
	perToken := float64(e.options.TokenTime) * (1 + e.options.BatchCost*float64(len(e.batch)-1))
	if slow := e.faults.level(FaultSlow); slow > 0 {
		perToken *= slow
	}
	return time.Duration(perToken * float64(e.options.ChunkTokens))
}

// startLocked takes a request into the batch.
func (e *Engine) startLocked(g *generation) {
	g.prefill = e.prefillLocked(g.request)
	g.setState(generationRunning)
	if !g.begun {
		g.begun = true
		e.counts[g.request.RequestID]++
	}
	e.batch = append(e.batch, g)
}

// prefillLocked is the time before a request's first token.
func (e *Engine) prefillLocked(request backend.CompletionRequest) time.Duration {
	if request.ImportKV == kvHandle(request.Prompt) {
		return 0
	}
	tokens := promptTokens(request.Prompt)
	prefill := time.Duration(tokens) * e.options.PrefillTokenTime
	if request.Group == "" {
		return prefill
	}
	if e.cache.use(time.Now(), request.Group, tokens) {
		return time.Duration(float64(prefill) * cachedPrefillShare)
	}
	return prefill
}

// endStep adds a chunk to each stream of the batch, unless a swap has begun
// meanwhile. The tokens bear the version that is loaded now.
func (e *Engine) endStep(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausedLocked() {
		return
	}
	produced := 0
	for _, g := range e.batch {
		if g.state != generationRunning {
			continue
		}
		if g.prefill > 0 {
			g.prefill -= duration
			continue
		}
		before := g.produced
		g.produce(e.options.ChunkTokens, e.version)
		produced += g.produced - before
		if g.produced == g.length {
			g.idleSince = time.Now()
			g.setState(generationDone)
		}
	}
	e.tokensPerSecond = float64(produced) / duration.Seconds()
	e.batch = slices.DeleteFunc(e.batch, isNotRunning)
}

func isNotRunning(g *generation) bool { return g.state != generationRunning }

// sweepLocked pauses requests that nobody reads any more and forgets old ones.
func (e *Engine) sweepLocked() {
	now := time.Now()
	for id, g := range e.known {
		idle := now.Sub(g.idleSince)
		if g.readers > 0 {
			continue
		}
		if isUnfinished(g) && idle > e.options.DetachGrace {
			g.setState(generationPaused)
		}
		if !isUnfinished(g) && idle > e.options.KeepTime {
			delete(e.known, id)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, isNotRunning)
	e.dropFromQueueLocked()
}

func isUnfinished(g *generation) bool {
	return g.state == generationWaiting || g.state == generationRunning
}

// dropFromQueueLocked takes out what no longer waits.
func (e *Engine) dropFromQueueLocked() {
	e.queue = slices.DeleteFunc(e.queue, func(g *generation) bool { return g.state != generationWaiting })
	heap.Init(&e.queue)
}
