package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
)

// mean returns the mean of values.
func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(max(len(values), 1))
}

// Guards against an order that leaves engines idle while items wait, that serves trainers less than the
// order of arrival does, or that serves one of several unequal trainers much less than another. At half
// the capacity the trainers differ by their own longest items alone.
func TestUnequalTrainersInAClosedLoop(t *testing.T) {
	const seeds = 2
	// spreadOfSeeds is more than the difference between two sets of seeds under one order.
	const spreadOfSeeds = 0.04
	for _, count := range []int{3, 4} {
		for _, load := range []float64{0.5, 1, 3} {
			var bySlack, byArrival, spread, arrivalSpread []float64
			for seed := range uint64(seeds) {
				served, latencies, m := servedWith(seed, load, count, nil)
				if m.idle > 0 {
					t.Errorf("%d trainers, load %v, seed %d: items waited in %d ticks with a free slot", count, load, seed, m.idle)
				}
				if len(m.overtaken) > 0 {
					t.Errorf("%d trainers, load %v, seed %d: overdue items waited behind later ones: %s", count, load, seed, m.overtaken[0])
				}
				bySlack = append(bySlack, mean(served))
				spread = append(spread, slices.Max(latencies).Seconds()/slices.Min(latencies).Seconds())
				served, latencies, _ = servedWith(seed, load, count, inArrivalOrder)
				byArrival = append(byArrival, mean(served))
				arrivalSpread = append(arrivalSpread, slices.Max(latencies).Seconds()/slices.Min(latencies).Seconds())
			}
			t.Logf("%d trainers, load %v: served %.3f, by arrival %.3f; slowest to fastest trainer %.3f, by arrival %.3f",
				count, load, mean(bySlack), mean(byArrival), mean(spread), mean(arrivalSpread))
			if mean(bySlack) < mean(byArrival)-spreadOfSeeds {
				t.Errorf("%d trainers, load %v: served %.3f, in order of arrival %.3f", count, load, mean(bySlack), mean(byArrival))
			}
			if mean(spread) > max(1.1*mean(arrivalSpread), 1.2) {
				t.Errorf("%d trainers, load %v: the slowest trainer's jobs take %.2f times as long as the fastest one's, %.2f in order of arrival",
					count, load, mean(spread), mean(arrivalSpread))
			}
		}
	}
}

// openJob returns a job for a test that submits jobs itself: groups of equal size.
func openJob(random *rand.Rand, id string, groups, groupSize int, accepted time.Time) (*batch.Job, *trainerModel) {
	t := &trainerModel{name: id, groups: groups, groupSize: groupSize, random: random, single: true}
	job := t.nextJob(accepted)
	return job, t
}

// Guards against a trainer that is behind, since its job was read late, and that waits behind jobs that
// are due later.
func TestTrainerThatIsBehindGoesFirst(t *testing.T) {
	took := func(behind time.Duration) time.Duration {
		m := newJobModel(1, 6, Options{}, nil)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 4 {
			job, trainer := openJob(random, fmt.Sprint("t", i), 16, 8, m.now)
			m.submit(job, trainer)
		}
		job, trainer := openJob(random, "late", 4, 8, m.now.Add(-behind))
		m.submit(job, trainer)
		m.run(time.Minute)
		return m.doneAt[job.ID].Sub(m.begin)
	}
	late, level := took(6*time.Second), took(0)
	t.Logf("whole after %v if it was accepted 6 s before the others, %v if at the same time", late, level)
	if late > level/2 {
		t.Errorf("whole after %v if it was accepted 6 s before the others, %v if at the same time", late, level)
	}
}

// Guards against a job that needs few more items to be whole and gets none of them, because items of its
// spare groups start first.
func TestTrainerWhoseGroupsAreNearlyWhole(t *testing.T) {
	took := func(change func(*routetable.Route)) time.Duration {
		m := newJobModel(1, 1, Options{}, change)
		random := rand.New(rand.NewPCG(1, 1))
		job, trainer := openJob(random, "near", 12, 8, m.now)
		job.WantedGroups, trainer.groups = 6, 6 // six of twelve groups are wanted
		m.log[job.ID], m.owners[job.ID] = job, trainer
		var results []batch.Result
		for i := range job.Items {
			if i%8 != 0 && i/8 >= 6 {
				results = append(results, batch.Result{JobID: job.ID, ItemID: job.Items[i].ID, Text: "text"})
				trainer.results[job.Items[i].Group]++
			}
			m.length(&job.Items[i])
		}
		m.machine.HandleJob(m.now, 0, job, results)
		m.carryOut()
		m.run(time.Minute)
		return m.doneAt[job.ID].Sub(m.begin)
	}
	bySlack, byArrival := took(nil), took(inArrivalOrder)
	t.Logf("whole after %v, in order of arrival %v", bySlack, byArrival)
	if bySlack > byArrival*2/3 {
		t.Errorf("whole after %v, in order of arrival %v", bySlack, byArrival)
	}
}

// Guards against a successor that orders jobs by the time at which it read them, or that serves trainers
// less after the takeover.
func TestOrderSurvivesATakeover(t *testing.T) {
	trainers := unequalTrainers(4)
	m := newJobModel(1, enginesFor(1.5, trainers), Options{}, nil, trainers...)
	m.run(20 * time.Second)
	due := make(map[string]time.Time)
	for _, open := range m.machine.sortedJobs() {
		due[open.id] = open.dueAt
	}
	m.takeOver()
	for id, at := range due {
		if got := m.machine.jobs[id].dueAt; !got.Equal(at) {
			t.Errorf("job %s is due at %v, before the takeover %v", id, got, at)
		}
	}
	learned := m.machine.lengths.Remaining("r", 10*modelTokensPerEvent, 0)
	if learned < 7 || learned > 15 {
		t.Errorf("%v events predicted after the takeover for an item of about 10", learned)
	}
	m.run(40 * time.Second)
	if m.idle > 0 || len(m.overtaken) > 0 {
		t.Errorf("items waited in %d ticks with a free slot; overtaken: %v", m.idle, m.overtaken)
	}
	for _, trainer := range trainers {
		if last := trainer.finished[len(trainer.finished)-1]; m.now.Sub(last) > 3*modelDeadline {
			t.Errorf("%s: last job whole at %v", trainer.name, last.Sub(m.begin))
		}
	}
}

// Guards against capacity that makes a job later. Runs are not interrupted for more urgent items, so
// that a run that starts earlier with more engines may delay another by at most its own length.
func TestMoreEnginesMakeNoJobLater(t *testing.T) {
	const jobs = 12
	for seed := range uint64(3) {
		var previous map[string]time.Time
		var longest time.Duration
		for _, engines := range []int{2, 3, 4, 6, 12} {
			m := newJobModel(seed, engines, Options{}, nil)
			random := rand.New(rand.NewPCG(seed, 2))
			for i := range jobs {
				job, trainer := openJob(random, fmt.Sprint("t", i), 6+random.IntN(10), 8, m.now.Add(time.Duration(i)*time.Second))
				for at := range job.Items {
					run := time.Duration(float64(m.length(&job.Items[at])) * float64(modelGap) * (1 + modelCrowding))
					longest = max(longest, run+modelPrompt+modelLogDelay)
				}
				m.after(time.Duration(i)*time.Second, func() { m.submit(job, trainer) })
			}
			m.run(time.Minute)
			for id, at := range previous {
				if later := m.doneAt[id].Sub(at); later > longest {
					t.Errorf("seed %d: job %s is whole %v later with %d engines", seed, id, later, engines)
				}
			}
			if len(m.doneAt) != jobs {
				t.Errorf("seed %d, %d engines: %d of %d jobs whole", seed, engines, len(m.doneAt), jobs)
			}
			previous = m.doneAt
		}
	}
}

// Guards against two runs of the machine with the same inputs that decide differently.
func TestOrderIsDeterministic(t *testing.T) {
	run := func() []string {
		trainers := unequalTrainers(4)
		for at, trainer := range trainers {
			trainer.tenant = fmt.Sprint(at % 3)
		}
		m := newJobModel(1, enginesFor(1.5, trainers), Options{TenantWeights: map[string]float64{"0": 2, "1": 0.5}}, nil, trainers...)
		m.run(15 * time.Second)
		var starts []string
		for _, start := range m.started {
			starts = append(starts, fmt.Sprintf("%s %s %+v", start.Item.ID, start.Server.ID, start.Inputs))
		}
		return starts
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Error(diff)
	}
}
