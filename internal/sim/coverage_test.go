package sim

import "time"

// coverage counts what happened in runs, so that a property that held because
// nothing happened is seen.
type coverage struct {
	runs                                       int
	samples, mixed, stale, failed, reattempted int
	requests, answered, notRun, unknown        int
	swaps, preempted, appends                  int
	trainersDone                               time.Duration
}

func (c *coverage) add(w *World) {
	c.runs++
	for _, t := range w.trainers {
		for _, s := range t.steps {
			c.trainersDone = max(c.trainersDone, s.DoneAt)
			for _, received := range s.Chain {
				for _, h := range received {
					c.samples++
					c.mixed += count(len(h.View.Versions) > 1)
					c.failed += count(h.View.Error != nil)
					c.reattempted += count(h.View.Attempt > 1)
					c.stale += count(len(h.View.Versions) > 0 && h.View.Versions[0].Version < newestKnown(w, h.At))
				}
			}
		}
	}
	eachRequest(w, func(r *RequestWitness) {
		c.requests++
		c.answered += count(r.Answered)
		c.notRun += count(r.NotRun)
		c.unknown += count(r.Code == "outcome_unknown")
	})
	for _, e := range w.engines {
		c.swaps += e.Counts().Swaps
		c.preempted += e.Counts().Preempted
	}
	c.appends += w.log.Appends()
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
