package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// WaitReason says why an unfinished item makes no progress.
type WaitReason int

// Reasons for which an item makes no progress. Those from WaitFull to WaitOrder are ordered by how far an
// engine is from taking the item: the reason of an item is that of the engine nearest to taking it.
const (
	// WaitNone: the item is running, or finished.
	WaitNone WaitReason = iota
	// WaitUnrouted: no route of the configuration leads to engines for the item.
	WaitUnrouted
	// WaitStaleLog: the log of the job's partition was not read recently.
	WaitStaleLog
	// WaitFull: no engine has a free slot.
	WaitFull
	// WaitLoading: the engines with free slots load a version, or drain to do so.
	WaitLoading
	// WaitPaused: the engines with free slots are paused after failed attempts.
	WaitPaused
	// WaitWarmUp: the engines with free slots have just started and were sent as many items as they sustain.
	WaitWarmUp
	// WaitVersion: the engines with free slots lack the weight version that the item requires.
	WaitVersion
	// WaitMemory: the engines with free slots have no memory for the item.
	WaitMemory
	// WaitSlow: the engines with free slots are slow.
	WaitSlow
	// WaitOrder: an engine could take the item; others come before it.
	WaitOrder
	// WaitCancelled: the item's last run was cancelled, and its end was not reported yet.
	WaitCancelled
	// WaitSilent: the item's run produces no events.
	WaitSilent
	// WaitReward: the text is complete, and the reward call was not answered yet.
	WaitReward
)

// String implements fmt.Stringer.
func (r WaitReason) String() string {
	return [...]string{
		"none", "unrouted", "stale log", "full", "loading", "paused", "warm-up",
		"version", "memory", "slow", "order", "cancelled", "silent", "reward",
	}[r]
}

// Wait describes an item that makes no progress.
type Wait struct {
	JobID, ItemID, Group string
	Reason               WaitReason
	// Waited is the time since the item's last progress.
	Waited time.Duration
	// Refusals is the number of attempts that engines refused since the item's last event.
	Refusals int
	// FreeSlots is the number of free slots of listed engines of the item's service.
	FreeSlots int
}

// WaitReport lists the items that have made no progress for some time although engines have free slots.
type WaitReport struct {
	// Total is the number of these items.
	Total int
	// Longest are those that have waited longest, in falling order.
	Longest []Wait
}

// maxWaitComparisons bounds the comparisons of waiting items with engines by which one report finds its reasons.
const maxWaitComparisons = 20_000

// Waits returns the items that have made no progress for at least the given time, with the reasons of at most
// limit of them, or of fewer in a large fleet. Items whose service has no free slot are left out: they wait for others
// to end.
func (m *Machine) Waits(now time.Time, atLeast time.Duration, limit int) WaitReport {
	freeSlots := m.freeSlotsByService()
	var waiting []waitingItem
	for _, owner := range m.jobs {
		for _, subject := range owner.items {
			waited := subject.timeWithoutProgress(now)
			if waited >= atLeast && (subject.textComplete || owner.route == nil || freeSlots[subject.service] > 0) {
				waiting = append(waiting, waitingItem{item: subject, waited: waited})
			}
		}
	}
	slices.SortFunc(waiting, waitingItem.compare)
	report := WaitReport{Total: len(waiting)}
	typicalGaps := typicalGapsOf(m.sortedEngines())
	limit = min(limit, max(maxWaitComparisons/max(len(m.engines), 1), 1))
	for _, next := range waiting[:min(limit, len(waiting))] {
		subject := next.item
		report.Longest = append(report.Longest, Wait{
			JobID: subject.job.id, ItemID: subject.source.ID, Group: subject.source.Group,
			Reason: m.waitReason(now, subject, typicalGaps[subject.service]), Waited: next.waited,
			Refusals: subject.refusals, FreeSlots: freeSlots[subject.service],
		})
	}
	return report
}

// waitingItem is an item with the time since its last progress.
type waitingItem struct {
	item   *item
	waited time.Duration
}

// compare orders items by falling wait.
func (w waitingItem) compare(other waitingItem) int {
	return cmp.Or(
		cmp.Compare(other.waited, w.waited),
		cmp.Compare(w.item.job.id, other.item.job.id),
		cmp.Compare(w.item.source.ID, other.item.source.ID),
	)
}

// timeWithoutProgress returns the time since an unfinished item was queued, completed its text, or had its last
// event.
func (i *item) timeWithoutProgress(now time.Time) time.Duration {
	switch {
	case i.finished:
		return 0
	case i.attempt != nil:
		return now.Sub(i.attempt.eventsExpectedSince())
	}
	return now.Sub(i.waitingSince)
}

// freeSlotsByService returns the free slots of the listed engines of each service, whether or not they take
// items now.
func (m *Machine) freeSlotsByService() map[string]int {
	free := make(map[string]int)
	for _, eng := range m.engines {
		if eng.listed {
			free[eng.service] += max(eng.slots-len(eng.attempts), 0)
		}
	}
	return free
}

// waitReason returns why an item makes no progress.
func (m *Machine) waitReason(now time.Time, subject *item, typicalGap float64) WaitReason {
	switch {
	case subject.finished:
		return WaitNone
	case subject.textComplete:
		return WaitReward
	case subject.attempt != nil && subject.attempt.cancelled:
		return WaitCancelled
	case subject.attempt != nil:
		return WaitSilent
	case subject.job.route == nil:
		return WaitUnrouted
	case !m.isFresh(now, subject.job.partition):
		return WaitStaleLog
	}
	reason := WaitFull
	need := m.memoryNeed(subject)
	for _, eng := range m.sortedEngines() {
		if eng.service == subject.service && eng.listed {
			reason = max(reason, m.obstacle(now, subject, eng, need, typicalGap))
		}
	}
	return reason
}

// obstacle returns what keeps an item from a listed engine of its service, or WaitOrder if nothing does. need is what
// the item would use of the engine's memory.
func (m *Machine) obstacle(now time.Time, subject *item, eng *engine, need memoryUse, typicalGap float64) WaitReason {
	switch {
	case len(eng.attempts) >= eng.slots:
		return WaitFull
	case eng.loading || eng.draining:
		return WaitLoading
	case now.Before(eng.pausedUntil):
		return WaitPaused
	case eng.atWarmUpLimit(now):
		return WaitWarmUp
	case !m.canRun(now, subject, eng):
		return WaitVersion
	case !eng.hasRoom(need) && !eng.fitsNow(need):
		return WaitMemory
	case eng.awaitsSample(now, typicalGap) || eng.wasSlow(typicalGap):
		return WaitSlow
	}
	return WaitOrder
}
