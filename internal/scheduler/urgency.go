package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dalehook/internal/batch"
)

// The order of waiting items matters when batch jobs ask for more than the engines can run. Jobs that state
// a number of wanted groups, on routes with a result deadline, are ordered by slack; all others keep the
// order of arrival.

const (
	// rankInterval is the time after which the groups of a job are ranked again, and the slack of its
	// items is computed again.
	rankInterval = 100 * time.Millisecond
	// maxRankedItems bounds the items whose jobs are ranked again in one step because rankInterval has
	// passed. The other jobs follow in later steps.
	maxRankedItems = 1000
	// startedGroupMargin is the factor by which a needed group with started items must be longer than
	// another to lose its place to it. Without it each changed prediction could change which groups are
	// needed, and none would become whole.
	startedGroupMargin = 1.5
	// longEstimateFactor is how many times the median estimate of its job an item's estimate must be for
	// the item to count as long.
	longEstimateFactor = 2
	// tenantWindow is the difference in slack within which the share of the tenants decides.
	tenantWindow = 500 * time.Millisecond
	// maxPassedOver bounds the items of a job that are passed over in one step because no engine with a
	// free slot suits them. Other items may suit one.
	maxPassedOver = 16
	// maxRated bounds the comparisons of passed over items of all jobs with engines in one step, which
	// would otherwise take long in a large fleet.
	maxRated = 5000
)

// group is the state of the items of a job that share a prompt.
type group struct {
	// items are the items of the group that had no result in the log when the group was last ranked.
	items []*item
	// resubmitted groups were in an earlier job, and their trainer is waiting for them.
	resubmitted bool
	started     bool
	// dead groups have an item that was given up.
	dead bool
	// needed groups are among those that the trainer waits for.
	needed bool
	// longest is the longest predicted time that an item of the group still runs, in seconds.
	longest float64
}

// isOrderedBySlack reports whether the job's items are ordered by slack. Other jobs keep the order of
// arrival.
func (j *job) isOrderedBySlack() bool {
	return j.route != nil && j.route.ResultDeadline > 0 && j.wantedGroups > 0
}

// setDue sets when the job is due. acceptedAt is replaced by the time of reading if it can't be right:
// the clocks of machines may differ or jump.
func (j *job) setDue() {
	if !j.acceptedAtChecked {
		j.acceptedAtChecked = true
		if j.acceptedAt.After(j.receivedAt) || j.receivedAt.Sub(j.acceptedAt) > j.route.ItemLifetime {
			j.acceptedAt = j.receivedAt
		}
	}
	j.dueAt = j.acceptedAt.Add(j.route.ResultDeadline)
}

// isOverdue reports whether the job's items have waited for the result deadline. They then precede the
// items of all later jobs, so that none starves.
func (j *job) isOverdue(now time.Time) bool { return !now.Before(j.dueAt) }

// precedes reports whether a job was accepted before another. A successor, which reads the partitions in
// another order, gets the same result if both jobs state when they were accepted.
func (j *job) precedes(other *job) bool {
	if j.isOrderedBySlack() && other.isOrderedBySlack() {
		return cmp.Or(j.acceptedAt.Compare(other.acceptedAt), cmp.Compare(j.id, other.id)) < 0
	}
	return j.arrival < other.arrival
}

// isNeeded reports whether an item's trainer waits for its group.
func (i *item) isNeeded() bool { return i.group == nil || i.group.needed || !i.job.isOrderedBySlack() }

// isLong reports whether the caller expects the item to be much longer than others of its job.
func (i *item) isLong() bool {
	return float64(i.source.Expected) > longEstimateFactor*float64(i.job.medianEstimate)
}

// medianEstimate returns the median of the callers' estimates of the items, or 0 if there are none.
func medianEstimate(items []batch.Item) int {
	var estimates []int
	for i := range items {
		if items[i].Expected > 0 {
			estimates = append(estimates, items[i].Expected)
		}
	}
	if len(estimates) == 0 {
		return 0
	}
	slices.Sort(estimates)
	return estimates[len(estimates)/2]
}

// predictedSeconds returns the time for which an item is predicted to run alone on an engine with the
// typical gap of its service.
func (m *Machine) predictedSeconds(subject *item, typicalGaps map[string]float64) float64 {
	return m.remainingEvents(subject) * max(typicalGaps[subject.service], minimumGap)
}

// rank ranks the groups of a job by how long they still run, and marks as needed as many as its trainer waits
// for. The queue is ordered again before the next start.
func (m *Machine) rank(now time.Time, owner *job, typicalGaps map[string]float64) {
	owner.rankedAt = now
	owner.queueDirty = true
	needed := owner.wantedGroups
	var ranked []*group
	for _, subject := range owner.groups {
		m.measure(subject, typicalGaps)
		if subject.resubmitted {
			subject.needed = true
			needed--
			continue
		}
		ranked = append(ranked, subject)
	}
	slices.SortStableFunc(ranked, func(a, b *group) int { return cmp.Compare(a.rankKey(), b.rankKey()) })
	for at, subject := range ranked {
		subject.needed = at < needed
	}
	for _, waiting := range owner.queue {
		waiting.startBy = time.Time{}
	}
}

// measure predicts how long the items of a group still run.
func (m *Machine) measure(subject *group, typicalGaps map[string]float64) {
	subject.longest = 0
	unfinished := subject.items[:0]
	for _, member := range subject.items {
		if member.job.items[member.source.ID] != member { // its result is in the log
			subject.started = true
			subject.dead = subject.dead || member.job.results[member.source.ID].Outcome == batch.OutcomeDead
			continue
		}
		unfinished = append(unfinished, member)
		subject.started = subject.started || member.attempt != nil || member.finished || len(member.text.events) > 0
		if !member.finished && !member.textComplete {
			subject.longest = max(subject.longest, m.predictedSeconds(member, typicalGaps))
		}
	}
	clear(subject.items[len(unfinished):])
	subject.items = unfinished
}

// rankKey is the key by which the groups of a job that were not resubmitted are ranked; the lowest are needed.
func (g *group) rankKey() float64 {
	switch {
	case g.dead:
		return math.Inf(1) // the group can't become whole
	case g.needed && g.started:
		return g.longest / startedGroupMargin
	}
	return g.longest
}

// isRankStale reports whether the groups of a job were not ranked recently.
func (j *job) isRankStale(now time.Time) bool { return now.Sub(j.rankedAt) >= rankInterval }

// rankStale ranks the jobs that were not ranked recently: new ones at once, and others as far as
// maxRankedItems allows, those ranked longest ago first.
func (m *Machine) rankStale(now time.Time, jobs []*job, typicalGaps map[string]float64) {
	var stale []*job
	for _, owner := range jobs {
		if owner.rankedAt.IsZero() {
			m.rank(now, owner, typicalGaps)
		} else if owner.isRankStale(now) {
			stale = append(stale, owner)
		}
	}
	slices.SortStableFunc(stale, func(a, b *job) int { return a.rankedAt.Compare(b.rankedAt) })
	ranked := 0
	for _, owner := range stale {
		if ranked >= maxRankedItems {
			return
		}
		ranked += len(owner.items)
		m.rank(now, owner, typicalGaps)
	}
}

// orderQueue orders the waiting items of a job after a change: those of needed groups first, then by
// the latest time at which they may start.
func (m *Machine) orderQueue(owner *job, typicalGaps map[string]float64) {
	if !owner.queueDirty {
		return
	}
	owner.queueDirty = false
	for _, waiting := range owner.queue {
		if waiting.startBy.IsZero() {
			waiting.startBy = m.latestStart(waiting, typicalGaps)
		}
	}
	slices.SortStableFunc(owner.queue, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), a.startBy.Compare(b.startBy))
	})
}

// latestStart returns the latest time at which an item of a job with a due time may start.
func (m *Machine) latestStart(waiting *item, typicalGaps map[string]float64) time.Time {
	// A head start of more than the deadline would let items of jobs that are not accepted yet precede
	// this one.
	run := min(m.predictedSeconds(waiting, typicalGaps), waiting.job.route.ResultDeadline.Seconds())
	return waiting.job.dueAt.Add(-seconds(run))
}

// class is the first criterion in the order of waiting items; lower starts first.
type class int

const (
	// classOverdue items are those of overdue jobs.
	classOverdue class = iota
	// classNeeded items belong to needed groups, or are long.
	classNeeded
	// classSpare items belong to groups beyond the wanted number and are not long.
	classSpare
	// classRefused items were refused by several engines in succession.
	classRefused
)

// class returns the class of an item within its job.
func (i *item) class() class {
	switch {
	case i.refusals > maxRefusalsInFront:
		return classRefused
	case i.isNeeded(), i.isLong():
		// A spare group that does not become whole is submitted again in the next job, where it is needed.
		// Its long items would decide when that job ends if they had no head start.
		return classNeeded
	}
	return classSpare
}

// slack returns the time by which a waiting item could start later and still end when its job is due; 0
// if the job is not ordered by slack, or has not been ordered since the item was queued.
func (i *item) slack(now time.Time) time.Duration {
	if !i.job.isOrderedBySlack() || i.startBy.IsZero() {
		return 0
	}
	return i.startBy.Sub(now)
}
