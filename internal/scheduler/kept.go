package scheduler

import (
	"maps"
	"slices"
	"time"

	"dalehook/internal/batch"
)

// keptFor is how long the items of an ended job are kept.
const keptFor = 15 * time.Second

// keptRunFor is how long runs of an ended job go on for the job that follows.
const keptRunFor = 2500 * time.Millisecond

// keptItem is what is known of an item that has no open job.
type keptItem struct {
	item *item
	// result is set when the item completed.
	result    *batch.Result
	runUntil  time.Time
	keepUntil time.Time
}

// keep takes over the items of the groups that an ended job left unfinished.
func (m *Machine) keep(now time.Time, ended *job) {
	for _, id := range slices.Sorted(maps.Keys(ended.groupOf)) {
		group := ended.groupOf[id]
		unfinished := ended.items[id]
		whole := ended.groups[group] == 0
		switch {
		case whole || group == "":
			if unfinished != nil {
				unfinished.finished = true
				m.cancel(unfinished.attempt)
			}
		case unfinished != nil && unfinished.final != nil:
			m.kept[id] = &keptItem{result: unfinished.final, keepUntil: now.Add(keptFor)}
		case unfinished != nil:
			unfinished.kept = true
			m.kept[id] = &keptItem{item: unfinished, runUntil: now.Add(keptRunFor), keepUntil: now.Add(keptFor)}
		case ended.done[id].Outcome == batch.OutcomeCompleted:
			m.kept[id] = &keptItem{result: ended.done[id], keepUntil: now.Add(keptFor)}
		}
	}
}

// resume gives an item of a new job what is kept of it, as far as its versions
// fit, and queues it unless it is running or complete.
func (m *Machine) resume(opened *job, waiting *item) {
	known := m.kept[waiting.source.ID]
	delete(m.kept, waiting.source.ID)
	waiting.carried = known != nil
	switch {
	case known == nil:
		m.recover(opened, waiting)
	case known.result != nil:
		if fits(opened, known.result.Versions) {
			m.finishAs(waiting, known.result.Text, known.result.Versions)
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
			running.item = waiting
			return
		}
	}
	opened.queue = append(opened.queue, waiting)
}

// fits says whether text of some versions may stand in a job's results.
func fits(opened *job, versions []int64) bool {
	return len(versions) == 0 || slices.Min(versions) >= opened.minimum
}

// settleKept takes the end of an attempt of a kept item.
func (m *Machine) settleKept(ended *attempt, reason EndReason) {
	owner := ended.item
	known := m.kept[owner.source.ID]
	if known == nil || known.item != owner || ended.cancelled || reason != EndCompleted {
		return
	}
	known.result = &batch.Result{Text: joinLines(owner.text), Versions: owner.versions}
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
