package scheduler

import (
	"maps"
	"slices"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/reward"
)

// keptFor is how long the items of an ended job are kept.
const keptFor = 15 * time.Second

// keptRunFor is how long runs of an ended job go on for the job that follows.
const keptRunFor = 2500 * time.Millisecond

// keptItem is what is known of an item that has no open job.
type keptItem struct {
	tenant string
	item   *item
	// result is set when the item's text is whole; it has no score where the job ended
	// before the answer to the reward call, or before the call.
	result *batch.Result
	// reward is the call that the result's score is the answer to.
	reward    *reward.Call
	runUntil  time.Time
	keepUntil time.Time
}

// keptName names an item that is kept. What was made for one tenant is nobody else's.
func keptName(tenantName, itemID string) string { return tenantName + "/" + itemID }

// keep takes over the items of the groups that an ended job left unfinished.
func (m *Machine) keep(now time.Time, ended *job) {
	for _, id := range slices.Sorted(maps.Keys(ended.sources)) {
		source := ended.sources[id]
		unfinished := ended.items[id]
		wholeGroup := ended.groups[source.Group] == 0
		if unfinished != nil {
			m.withdrawReward(unfinished)
		}
		kept := &keptItem{tenant: ended.tenant, reward: source.Reward, keepUntil: now.Add(keptFor)}
		switch {
		case wholeGroup || source.Group == "":
			if unfinished != nil {
				unfinished.finished = true
				m.cancel(unfinished.attempt)
			}
			continue
		case unfinished != nil && unfinished.final != nil:
			kept.result = unfinished.final
		case unfinished != nil && unfinished.whole:
			kept.result = unfinished.unscoredResult()
		case unfinished != nil:
			unfinished.kept = true
			kept.item = unfinished
			kept.runUntil = now.Add(keptRunFor)
		case ended.done[id].Outcome == batch.OutcomeCompleted:
			kept.result = ended.done[id]
		default:
			continue
		}
		m.kept[keptName(ended.tenant, id)] = kept
	}
}

// resume gives an item of a new job what is kept of it, as far as its versions
// fit, and queues it unless it is running or complete.
func (m *Machine) resume(now time.Time, opened *job, waiting *item) {
	name := keptName(opened.tenant, waiting.source.ID)
	known := m.kept[name]
	delete(m.kept, name)
	waiting.carried = known != nil
	switch {
	case known == nil:
		if m.recover(opened, waiting) {
			m.complete(now, waiting)
			return
		}
	case known.result != nil:
		if fits(opened, known.result.Versions) {
			m.reuse(now, waiting, known)
			return
		}
	case !fits(opened, known.item.versions):
		known.item.finished = true
		m.cancel(known.item.attempt)
	default:
		waiting.text, waiting.lastID, waiting.versions = known.item.text, known.item.lastID, known.item.versions
		if running := known.item.attempt; running != nil && !running.cancelled {
			waiting.attempt = running
			waiting.unsaved = known.item.unsaved
			// Saved progress stands with the job before, in another partition.
			waiting.checkpointAt = time.Time{}
			running.item = waiting
			return
		}
	}
	waiting.waitingSince = now
	opened.queue = append(opened.queue, waiting)
}

// reuse gives an item the whole text that is kept of it, and the score of that text if
// it was made by the same reward call.
func (m *Machine) reuse(now time.Time, waiting *item, known *keptItem) {
	waiting.text, waiting.versions = []string{known.result.Text}, known.result.Versions
	if known.result.Score != "" && known.reward.Equal(waiting.source.Reward) {
		m.finishScored(waiting, known.result.Score)
		return
	}
	m.complete(now, waiting)
}

// fits says whether text of some versions may stand in a job's results.
func fits(opened *job, versions []int64) bool {
	return len(versions) == 0 || slices.Min(versions) >= opened.minimum
}

// settleKept takes the end of an attempt of a kept item.
func (m *Machine) settleKept(ended *attempt, reason EndReason) {
	owner := ended.item
	known := m.kept[keptName(owner.job.tenant, owner.source.ID)]
	if known == nil || known.item != owner || ended.cancelled || reason != EndCompleted {
		return
	}
	known.result = owner.unscoredResult()
	known.item = nil
}

// forgetKept ends the runs that nothing came for, and drops what is old.
func (m *Machine) forgetKept(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.kept)) {
		known := m.kept[id]
		if known.item != nil && now.After(known.runUntil) {
			m.cancel(known.item.attempt)
		}
		if now.After(known.keepUntil) {
			delete(m.kept, id)
		}
	}
}
