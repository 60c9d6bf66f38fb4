package scheduler

import (
	"math"
	"slices"
	"time"

	"dalehook/internal/batch"
)

// slotQueues are the predicted queues for slots at engines that are not slow.
type slotQueues struct {
	// at is when they were predicted.
	at      time.Time
	classes map[slotClass]*slotQueue
}

// slotClass identifies the items that wait for the same slots.
type slotClass struct {
	service, model string
	minimum        int64
}

// slotQueue predicts when items that wait get the slots of a class.
type slotQueue struct {
	// releases holds the times until the slots become free for one more item, in ascending order and in
	// seconds.
	releases []float64
	// gap is the mean gap of the engines in seconds.
	gap float64
	// waits holds the waits of the items that have joined the queue.
	waits map[*batch.Item]float64
}

// wait returns the predicted time until an item gets a slot behind those that have joined the queue before.
// It is infinite if the class has no slots.
func (q *slotQueue) wait(next *item) float64 {
	if known, joined := q.waits[next.source]; joined {
		return known
	}
	if len(q.releases) == 0 {
		return math.Inf(1)
	}
	return q.releases[0]
}

// join adds an item that needs the given number of events.
func (q *slotQueue) join(next *item, remaining float64) {
	if _, joined := q.waits[next.source]; joined || len(q.releases) == 0 {
		return
	}
	wait := q.releases[0]
	q.waits[next.source] = wait
	q.releases = q.releases[1:]
	release := wait + remaining*q.gap
	at, _ := slices.BinarySearch(q.releases, release)
	q.releases = slices.Insert(q.releases, at, release)
}

// slotQueuesLifetime is how long predicted queues are reused, since computing them scans all engines.
const slotQueuesLifetime = 50 * time.Millisecond

// slotQueueOf returns the queue for the slots that an item may get.
func (m *Machine) slotQueueOf(now time.Time, next *item, typicalGap float64) *slotQueue {
	if m.slotQueues.classes == nil || now.Sub(m.slotQueues.at) >= slotQueuesLifetime {
		m.slotQueues = slotQueues{at: now, classes: make(map[slotClass]*slotQueue)}
	}
	class := slotClass{service: next.service, model: next.job.model, minimum: next.job.minimum}
	queue := m.slotQueues.classes[class]
	if queue == nil {
		queue = m.predictReleases(now, class, typicalGap)
		m.slotQueues.classes[class] = queue
	}
	return queue
}

// predictReleases predicts the ends of the runs at the engines of a class that are not slow.
func (m *Machine) predictReleases(now time.Time, class slotClass, typicalGap float64) *slotQueue {
	queue := &slotQueue{gap: typicalGap, waits: make(map[*batch.Item]float64)}
	gaps := 0.0
	for _, eng := range m.sortedEngines() {
		if !eng.servesClass(now, class) || eng.wasSlow(typicalGap) {
			continue
		}
		gap := eng.gapAt(len(eng.attempts), typicalGap)
		for _, running := range eng.attempts {
			gaps += gap
			queue.releases = append(queue.releases, running.remainingSeconds(now, gap))
		}
	}
	if len(queue.releases) > 0 {
		queue.gap = gaps / float64(len(queue.releases))
	}
	slices.Sort(queue.releases)
	return queue
}

// servesClass reports whether items of a class can take the slots of an engine when they become free.
func (e *engine) servesClass(now time.Time, class slotClass) bool {
	if !e.listed || e.service != class.service || e.model != class.model || e.versions[class.model] < class.minimum {
		return false
	}
	return !e.loading && !e.draining && !now.Before(e.pausedUntil) && !e.isUnresponsive(now)
}
