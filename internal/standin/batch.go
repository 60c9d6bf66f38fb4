package standin

import (
	"container/heap"
	"slices"
	"time"

	"dalehook/internal/backend"
)

// cachedPrefillFraction is the fraction of the prefill time that remains when
// the prompt's prefix is cached.
const cachedPrefillFraction = 0.2

// generationQueue orders waiting requests by descending priority, then by
// arrival. It implements heap.Interface.
type generationQueue []*generation

func (q generationQueue) Len() int { return len(q) }

func (q generationQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].sequence < q[j].sequence
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

// runBatches runs batch steps until the engine is closed.
func (e *Engine) runBatches() {
	for e.background.ctx.Err() == nil {
		duration, busy := e.startStep()
		if !busy {
			e.waitForWork()
			continue
		}
		if !sleep(e.background.ctx, duration, nil) {
			return
		}
		if !e.faults.awaitEnd(e.background.ctx, FaultFreeze) {
			return
		}
		e.finishStep(duration)
	}
}

func (e *Engine) waitForWork() {
	select {
	case <-e.wake:
	case <-e.background.ctx.Done():
	}
}

// startStep fills the batch from the queue and returns the duration of the next
// step, which produces one chunk for each stream.
func (e *Engine) startStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked()
	if e.pausedLocked() {
		e.tokensPerSecond = 0
		e.recordReportLocked()
		return 0, false
	}
	for len(e.batch) < e.options.Slots && len(e.queue) > 0 {
		e.addToBatchLocked(heap.Pop(&e.queue).(*generation))
	}
	if len(e.batch) == 0 {
		e.tokensPerSecond = 0
	}
	e.recordReportLocked()
	return e.stepTimeLocked(), len(e.batch) > 0
}

// pausedLocked reports whether generation is paused because no version is loaded
// or a swap is in progress.
func (e *Engine) pausedLocked() bool {
	return e.version == 0 || e.load != nil && e.load.swapping
}

// stepTimeLocked returns the duration of one step; it grows with the batch size.
func (e *Engine) stepTimeLocked() time.Duration {
	perToken := float64(e.options.TokenTime) * (1 + e.options.BatchCost*float64(len(e.batch)-1))
	if slow := e.faults.level(FaultSlow); slow > 0 {
		perToken *= slow
	}
	return time.Duration(perToken * float64(e.options.ChunkTokens))
}

// addToBatchLocked moves a request into the batch.
func (e *Engine) addToBatchLocked(g *generation) {
	g.prefill = e.prefillLocked(g.request)
	g.setState(generationRunning)
	if !g.started {
		g.started = true
		e.counts[g.request.RequestID]++
	}
	e.batch = append(e.batch, g)
}

// prefillLocked returns the prefill time of a request, zero if its KV cache is
// imported.
func (e *Engine) prefillLocked(request backend.CompletionRequest) time.Duration {
	if request.ImportKV == kvHandle(request.Prompt) {
		return 0
	}
	tokens := promptTokens(request.Prompt)
	prefill := time.Duration(tokens) * e.options.PrefillTokenTime
	if request.Group == "" {
		return prefill
	}
	if e.cache.touch(time.Now(), request.Group, tokens) {
		return time.Duration(float64(prefill) * cachedPrefillFraction)
	}
	return prefill
}

// finishStep adds a chunk to each stream of the batch, unless a swap started
// during the step. The tokens carry the version that is loaded now.
func (e *Engine) finishStep(duration time.Duration) {
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

// sweepLocked pauses unfinished requests without readers after DetachGrace and
// deletes other requests after KeepTime.
func (e *Engine) sweepLocked() {
	now := time.Now()
	for id, g := range e.generations {
		idle := now.Sub(g.idleSince)
		if g.readers > 0 {
			continue
		}
		if isUnfinished(g) && idle > e.options.DetachGrace {
			g.setState(generationPaused)
		}
		if !isUnfinished(g) && idle > e.options.KeepTime {
			delete(e.generations, id)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, isNotRunning)
	e.pruneQueueLocked()
}

func isUnfinished(g *generation) bool {
	return g.state == generationWaiting || g.state == generationRunning
}

// pruneQueueLocked removes requests that are no longer waiting.
func (e *Engine) pruneQueueLocked() {
	e.queue = slices.DeleteFunc(e.queue, func(g *generation) bool { return g.state != generationWaiting })
	heap.Init(&e.queue)
}
