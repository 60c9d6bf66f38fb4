package backend

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
)

// request is one request inside an engine.
type request struct {
	start    machine.StartAttempt
	shape    Shape
	listener Listener
	// base is the first token that this engine generates, done how far it is,
	// sent how far the listener is, and target where the answer ends.
	base   int
	done   float64
	sent   int
	target int
	// segments says which version generated which tokens from base on.
	segments []record.Segment
	// imported is the number of tokens that come from another engine's cache.
	imported int
	// readyAt is when the prefill is done.
	readyAt  time.Duration
	finished bool
}

func (r *request) kvTokens() int { return r.shape.Prompt + int(r.done) }

// extend notes that a version generated up to the given token.
func (r *request) extend(version cluster.Version, to int) {
	from := r.base
	if last := len(r.segments) - 1; last >= 0 {
		if r.segments[last].Version == version {
			r.segments[last].ToToken = to
			return
		}
		from = r.segments[last].ToToken
	}
	if to > from {
		r.segments = append(r.segments, record.Segment{Version: version, FromToken: from, ToToken: to})
	}
}

// keptRequests is how many finished requests an engine can stream again.
const keptRequests = 256

// batch holds the requests of an engine.
type batch struct {
	running []*request
	waiting []*request
	// kept are finished requests that can be streamed again.
	kept       []*request
	advancedAt time.Duration
	flushedAt  time.Duration
	// prefillFree is when the prefill of all admitted requests is done.
	prefillFree time.Duration
	// stalledUntil is when generation goes on after a swap.
	stalledUntil time.Duration
	wakeAt       time.Duration
	wakeNumber   uint64
}

func (b *batch) find(id machine.AttemptID) *request {
	for _, list := range [][]*request{b.running, b.waiting, b.kept} {
		if index := slices.IndexFunc(list, func(r *request) bool { return r.start.ID == id }); index >= 0 {
			return list[index]
		}
	}
	return nil
}

func (b *batch) remove(r *request) {
	same := func(other *request) bool { return other == r }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.kept = slices.DeleteFunc(b.kept, same)
}

func (b *batch) kvTokens() int {
	total := 0
	for _, r := range b.running {
		total += r.kvTokens()
	}
	return total
}

func (b *batch) decoding() int {
	count := 0
	for _, r := range b.running {
		if r.readyAt <= b.advancedAt {
			count++
		}
	}
	return count
}

// advance brings all running requests up to now. The batch was constant since
// the last call, since every change wakes the engine.
func (e *Engine) advance() {
	now := e.options.Kernel.Elapsed()
	b := &e.batch
	from := max(b.advancedAt, b.stalledUntil)
	if e.Frozen() || !e.Up() || now <= from {
		if !e.Frozen() {
			b.advancedAt = now
		}
		return
	}
	b.advancedAt = from
	gained := (now - from).Seconds() * e.speed(b.decoding())
	for _, r := range b.running {
		if r.readyAt > from || r.finished {
			continue
		}
		before := r.done
		r.done = min(r.done+gained, float64(r.target))
		e.counts.Tokens += r.done - before
		r.extend(e.version, int(r.done))
		r.finished = r.done >= float64(r.target)
	}
	b.advancedAt = now
}

// slowFactor is how much longer a slow back end takes.
const slowFactor = 5

func (e *Engine) speed(batch int) float64 {
	rate := e.options.Profile.tokensPerSecond(max(batch, 1))
	if e.options.Faults.On(fault.Slow, string(e.options.ID)) {
		return rate / slowFactor
	}
	return rate
}

// flush sends the listener what is new.
func (e *Engine) flush(r *request) {
	done := int(r.done)
	for _, segment := range r.segments {
		from, to := max(segment.FromToken, r.sent), min(segment.ToToken, done)
		if from >= to {
			continue
		}
		r.sent = to
		if r.listener != nil {
			r.listener.Chunk(from, to-from, Text(r.start.Prompt, segment.Version, from, to), segment.Version)
		}
	}
}

// finish ends a request whose listener has everything, and keeps it so that it
// can be streamed again.
func (e *Engine) finish(r *request) {
	e.batch.remove(r)
	e.batch.kept = append(e.batch.kept, r)
	if len(e.batch.kept) > keptRequests {
		e.batch.kept = e.batch.kept[1:]
	}
	listener := r.listener
	r.listener = nil
	if listener != nil {
		listener.Ended(machine.EndComplete, 0, "")
	}
}

// wake is the engine's event: it advances, sends what is due and admits more.
func (e *Engine) wake() {
	e.advance()
	now := e.options.Kernel.Elapsed()
	flushAll := now >= e.batch.flushedAt+e.options.Profile.ChunkEvery
	if flushAll {
		e.batch.flushedAt = now
		e.cutStreams()
	}
	for _, r := range slices.Clone(e.batch.running) {
		if r.finished || flushAll {
			e.flush(r)
		}
		if r.finished {
			e.finish(r)
		}
	}
	e.publish()
	e.reschedule()
}

// cutStreams breaks one stream in eight for as long as the fault lasts.
func (e *Engine) cutStreams() {
	if !e.options.Faults.On(fault.CutStream, string(e.options.ID)) {
		return
	}
	for _, r := range slices.Clone(e.batch.running) {
		if r.listener != nil && e.random.IntN(8) == 0 {
			listener := r.listener
			e.Detach(r.start.ID, listener)
			listener.Ended(machine.EndCut, 0, "connection reset")
		}
	}
}

// reschedule admits what fits and sets the next wake.
func (e *Engine) reschedule() {
	if e.Frozen() || !e.Up() {
		return
	}
	e.admit()
	next, any := e.nextWake()
	b := &e.batch
	if !any || b.wakeAt > e.options.Kernel.Elapsed() && b.wakeAt <= next {
		return
	}
	b.wakeAt = next
	b.wakeNumber++
	number, life := b.wakeNumber, e.Life()
	e.options.Kernel.At(next, func() {
		if e.Life() == life && e.batch.wakeNumber == number && !e.Frozen() {
			e.wake()
		}
	})
}

// nextWake returns the time of the next completion, end of prefill or flush.
func (e *Engine) nextWake() (time.Duration, bool) {
	b := &e.batch
	if len(b.running) == 0 {
		return 0, false
	}
	now := e.options.Kernel.Elapsed()
	from := max(now, b.stalledUntil)
	next := max(b.flushedAt+e.options.Profile.ChunkEvery, now+time.Millisecond)
	rate := e.speed(b.decoding())
	for _, r := range b.running {
		end := r.readyAt
		if r.readyAt <= now {
			left := (float64(r.target) - r.done) / rate
			end = from + time.Duration(left*float64(time.Second)) + time.Microsecond
		}
		next = min(next, max(end, now+time.Microsecond))
	}
	return next, true
}

// admit moves waiting requests into the batch, the highest priority first, and
// puts back running ones of the lowest priority when the cache memory is full.
func (e *Engine) admit() {
	b := &e.batch
	slices.SortStableFunc(b.waiting, func(x, y *request) int { return cmp.Compare(y.start.Priority, x.start.Priority) })
	used := b.kvTokens()
	for used > e.options.Profile.KVCapacity && len(b.running) > 1 {
		used -= e.preempt().kvTokens()
	}
	for len(b.waiting) > 0 {
		first := b.waiting[0]
		if len(b.running) >= e.options.Profile.Slots && !e.makeRoom(first) {
			return
		}
		used = b.kvTokens()
		if used+first.kvTokens() > e.options.Profile.KVCapacity && len(b.running) > 0 {
			return
		}
		b.waiting = b.waiting[1:]
		e.prefill(first)
		b.running = append(b.running, first)
	}
}

// makeRoom preempts a running request of lower priority than the given one.
func (e *Engine) makeRoom(first *request) bool {
	lowest := slices.MinFunc(e.batch.running, func(x, y *request) int { return cmp.Compare(x.start.Priority, y.start.Priority) })
	if lowest.start.Priority >= first.start.Priority {
		return false
	}
	e.preempt()
	return true
}

// preempt puts the running request of the lowest priority, of several the one
// that came last, back into the queue.
func (e *Engine) preempt() *request {
	b := &e.batch
	index := 0
	for i, r := range b.running {
		if r.start.Priority <= b.running[index].start.Priority {
			index = i
		}
	}
	r := b.running[index]
	b.running = slices.Delete(b.running, index, index+1)
	b.waiting = append(b.waiting, r)
	e.counts.Preempted++
	return r
}

// prefill sets the time at which a request begins to decode. Prefills run one
// after another.
func (e *Engine) prefill(r *request) {
	now := e.options.Kernel.Elapsed()
	tokens := r.kvTokens()
	cost := time.Duration(0)
	if imported := min(r.imported, tokens); imported > 0 {
		cost = time.Duration(float64(imported) / e.options.Profile.ImportRate * float64(time.Second))
		tokens -= imported
		r.imported = 0
	} else if e.prefix.use(r.start.Group, r.shape.Shared) {
		e.counts.PrefixHits++
		tokens -= r.shape.Shared
	}
	e.counts.PrefillTokens += float64(tokens)
	cost += time.Duration(float64(tokens) / e.options.Profile.PrefillRate * float64(time.Second))
	b := &e.batch
	b.prefillFree = max(b.prefillFree, now, b.stalledUntil) + cost
	r.readyAt = b.prefillFree
}
