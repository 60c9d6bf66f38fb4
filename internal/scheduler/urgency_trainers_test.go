package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dalehook/internal/batch"
)

// trainerModel is a trainer that posts its next job when the wanted groups of its last one are whole.
type trainerModel struct {
	name      string
	tenant    string
	groups    int
	groupSize int
	// firstPost is when the first job is posted.
	firstPost time.Duration
	// single trainers post no further job.
	single bool

	random *rand.Rand
	steps  int
	job    *batch.Job
	sentAt time.Time
	// results holds the number of results of each group, and resubmitted the groups that must be whole.
	results     map[string]int
	resubmitted map[string]bool
	// latencies holds the time that each job took.
	latencies []time.Duration
	finished  []time.Time
}

// wanted returns the number of groups that the trainer waits for.
func (t *trainerModel) wanted() int { return int(math.Ceil(modelWanted * float64(t.groups))) }

// isServed reports whether the wanted groups of the job are whole.
func (t *trainerModel) isServed() bool {
	whole := 0
	for name, results := range t.results {
		if results == t.groupSize {
			whole++
		} else if t.resubmitted[name] {
			return false
		}
	}
	return whole >= t.wanted()
}

// nextJob returns the next job: the incomplete groups of the last one, and new ones.
func (t *trainerModel) nextJob(now time.Time) *batch.Job {
	next := &batch.Job{
		ID: fmt.Sprintf("%s-%03d", t.name, t.steps), Tenant: t.tenant, Host: "h", Path: "/p/" + t.name, Model: "m", MinVersion: 1,
		Step: t.steps, WantedGroups: t.wanted(), AcceptedAt: now.UnixMilli(),
	}
	t.resubmitted = make(map[string]bool)
	if t.job != nil {
		for _, earlier := range t.job.Items {
			if t.results[earlier.Group] < t.groupSize {
				next.Items = append(next.Items, earlier)
				t.resubmitted[earlier.Group] = true
			}
		}
	}
	t.results = make(map[string]int)
	for name := range t.resubmitted {
		t.results[name] = 0
	}
	for at := len(t.resubmitted); at < t.groups; at++ {
		name := fmt.Sprintf("%s/%d", next.ID, at)
		t.results[name] = 0
		for member := range t.groupSize {
			estimate := modelEvents * modelTokensPerEvent * math.Exp(0.3*t.random.NormFloat64())
			if t.random.IntN(modelLongShare) == 0 {
				estimate *= modelLongFactor
			}
			next.Items = append(next.Items, batch.Item{ID: fmt.Sprintf("%s.%d", name, member), Path: "/p/x", Group: name, Expected: int(estimate)})
		}
	}
	t.steps++
	t.job, t.sentAt = next, now
	return next
}

// modelValue returns what the results of a job are worth after a time: they lose value from the deadline on.
func modelValue(latency time.Duration) float64 {
	return max(1-max(latency-modelDeadline, 0).Seconds()/modelDeadline.Seconds(), 0)
}

// served returns the value that a trainer got, relative to the jobs that it can post in a time.
func (t *trainerModel) served(duration time.Duration) float64 {
	total := 0.0
	for _, latency := range t.latencies {
		total += modelValue(latency)
	}
	return total / (duration - t.firstPost).Seconds() * modelPeriod.Seconds()
}

// meanLatency returns the mean time that the trainer's jobs took.
func (t *trainerModel) meanLatency() time.Duration {
	total := time.Duration(0)
	for _, latency := range t.latencies {
		total += latency
	}
	return total / time.Duration(max(len(t.latencies), 1))
}

// unequalTrainers returns trainers whose sizes differ.
func unequalTrainers(count int) []*trainerModel {
	sizes := [][2]int{{22, 8}, {9, 16}, {16, 8}, {20, 16}}
	var trainers []*trainerModel
	for at := range count {
		trainers = append(trainers, &trainerModel{
			name: fmt.Sprint("t", at), groups: sizes[at][0], groupSize: sizes[at][1], firstPost: time.Duration(at) * modelPeriod / time.Duration(count),
		})
	}
	return trainers
}
