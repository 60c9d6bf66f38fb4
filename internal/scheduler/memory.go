package scheduler

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// Engines keep the prompt and the text of each run in memory. When it runs out, an engine preempts its
// newest run and later reads the run's prompt and text again. Engines do not report the memory in use, so
// it is computed here from the runs.

// memoryUse is what runs use of an engine's memory.
type memoryUse struct {
	// prompt is the length of the prompts in tokens.
	prompt int
	// events is the number of events generated so far.
	events int
	// expected is the predicted number of further events.
	expected int
}

func (u *memoryUse) add(other memoryUse) {
	u.prompt += other.prompt
	u.events += other.events
	u.expected += other.expected
}

func (u *memoryUse) remove(other memoryUse) {
	u.prompt -= other.prompt
	u.events -= other.events
	u.expected -= other.expected
}

// inUse returns the number of tokens in use now.
func (u memoryUse) inUse(tokensPerEvent int) int { return u.prompt + u.events*tokensPerEvent }

// total returns the number of tokens in use when the runs end.
func (u memoryUse) total(tokensPerEvent int) int {
	return u.prompt + (u.events+u.expected)*tokensPerEvent
}

// lengthKey returns the key of the item in the length estimator: the name of its route.
func (i *item) lengthKey() string {
	if i.job.route == nil {
		return ""
	}
	return i.job.route.Name
}

// remainingEvents returns the predicted number of events that an item still needs.
func (m *Machine) remainingEvents(subject *item) float64 {
	return m.lengths.Remaining(subject.lengthKey(), subject.source.Expected, len(subject.text.events))
}

// observeLength records the length of an item from its result, unless it was recorded before: from the
// item's run, from the log, or in an earlier job.
func (m *Machine) observeLength(ended *item, result *batch.Result) {
	if ended.lengthObserved || ended.job.route == nil || result.Outcome != batch.OutcomeCompleted || result.Text == "" {
		return
	}
	ended.lengthObserved = true
	m.lengths.Observe(ended.lengthKey(), ended.source.Expected, strings.Count(result.Text, "\n")+1)
}

// memoryNeed returns what a run of an item would use of an engine's memory.
func (m *Machine) memoryNeed(subject *item) memoryUse {
	return memoryUse{
		prompt: subject.source.Prompt, events: len(subject.text.events),
		expected: int(math.Ceil(m.remainingEvents(subject))),
	}
}

// addToMemory counts a started run in its engine's memory.
func (m *Machine) addToMemory(started *attempt) {
	started.memory = m.memoryNeed(started.item)
	started.engine.memory.add(started.memory)
	started.engine.recentPrompts.add(started.item.promptKey())
}

// recordGrowth updates the memory use of a run after an event, with a new prediction of its length.
func (m *Machine) recordGrowth(running *attempt) {
	running.memory.events++
	running.engine.memory.events++
	m.predictLength(running)
}

// predictLength updates the predicted length of a run.
func (m *Machine) predictLength(running *attempt) {
	expected := int(math.Ceil(m.remainingEvents(running.item)))
	running.engine.memory.expected += expected - running.memory.expected
	running.memory.expected = expected
}

// hasRoom reports whether an engine's memory holds a run in addition to its own runs until all have
// ended.
func (e *engine) hasRoom(need memoryUse) bool {
	return e.memoryTokens == 0 || e.memory.total(e.tokensPerEvent)+need.total(e.tokensPerEvent) <= e.memoryTokens
}

// fitsNow reports whether an engine's memory holds a run until its end beside what its own runs use now.
// An engine without runs takes any item, since no other engine can have more free memory.
func (e *engine) fitsNow(need memoryUse) bool {
	return len(e.attempts) == 0 || e.memory.inUse(e.tokensPerEvent)+need.total(e.tokensPerEvent) <= e.memoryTokens
}

// expectedShare returns the share of an engine's memory that its runs will use.
func (e *engine) expectedShare() float64 {
	return float64(e.memory.total(e.tokensPerEvent)) / float64(max(e.memoryTokens, 1))
}

// MemoryShare returns the share of its memory that the fullest engine uses; 0 if no capacity is known.
func (m *Machine) MemoryShare() float64 {
	fullest := 0.0
	for _, eng := range m.engines {
		if eng.listed && eng.memoryTokens > 0 {
			fullest = max(fullest, float64(eng.memory.inUse(eng.tokensPerEvent))/float64(eng.memoryTokens))
		}
	}
	return fullest
}

// setTokensPerEvent tells the length estimator the tokens per event of each batch route.
func (m *Machine) setTokensPerEvent() {
	if m.table == nil {
		return
	}
	for _, route := range m.table.Routes {
		if route.Kind == routetable.KindBatch && len(route.Targets) > 0 {
			_, tokensPerEvent := m.table.Memory(route.Targets[0].Service)
			m.lengths.SetTokensPerEvent(route.Name, tokensPerEvent)
		}
	}
}

// maxMemoryWait is how long an item waits for memory before later items of its job that need less no longer
// take it.
const maxMemoryWait = time.Second

// maxRecentPrompts is the number of prompts that an engine is expected to keep in its prompt cache.
const maxRecentPrompts = 8

// recentPrompts holds the keys of the prompts that an engine read last.
type recentPrompts struct {
	keys [maxRecentPrompts]uint64
	next int
}

func (p *recentPrompts) add(key uint64) {
	if key == 0 || p.has(key) {
		return
	}
	p.keys[p.next] = key
	p.next = (p.next + 1) % maxRecentPrompts
}

func (p *recentPrompts) has(key uint64) bool {
	if key == 0 {
		return false
	}
	for _, known := range p.keys {
		if known == key {
			return true
		}
	}
	return false
}

// promptKey identifies the prompt of the item's group; 0 if the item has no group.
func (i *item) promptKey() uint64 {
	if i.source.Group == "" {
		return 0
	}
	if i.promptHash == 0 {
		i.promptHash = xxhash.Sum64String(retentionKey(i.job.tenant, i.source.Group))
	}
	return i.promptHash
}
