package sim

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/sim/fault"
)

// runAll runs each schedule against each scenario under the given number of
// seeds, several worlds at a time.
func runAll(t *testing.T, scenarios []string, seeds int, schedules func(Deployment) []fault.Schedule) {
	t.Helper()
	for _, scenario := range scenarios {
		s, err := scenarioByName(scenario)
		if err != nil {
			t.Fatal(err)
		}
		for _, schedule := range schedules(s.Deployment) {
			for seed := range uint64(seeds) {
				r := trial{scenario: scenario, seed: seed + 1, schedule: schedule}
				t.Run(fmt.Sprintf("%s/%s/%d", scenario, schedule, r.seed), func(t *testing.T) {
					t.Parallel()
					r.holds(t)
				})
			}
		}
	}
}

var bothDeployments = []string{"arequipa", "medellin"}

// plan reads a schedule that is written in a test.
func plan(text string) fault.Schedule {
	schedule, err := fault.ParseSchedule(text)
	if err != nil {
		panic(err)
	}
	return schedule
}

// join returns the faults of several schedules as one.
func join(schedules ...fault.Schedule) fault.Schedule {
	var all fault.Schedule
	for _, s := range schedules {
		all = append(all, s...)
	}
	return all
}

func TestNoFault(t *testing.T) {
	runAll(t, []string{"arequipa", "medellin", "arequipa/operators"}, 2, func(Deployment) []fault.Schedule {
		return []fault.Schedule{nil}
	})
}

func TestVersionsAreTrue(t *testing.T) {
	runAll(t, bothDeployments, 1, func(d Deployment) []fault.Schedule {
		engines := engineTargets(d)
		return []fault.Schedule{
			every(fault.SwapFail, engines[:4], 5*time.Second, 40*time.Second),
			every(fault.SwapWrong, engines[:4], 5*time.Second, 40*time.Second),
			every(fault.CutStream, engines, 8*time.Second, 20*time.Second),
			join(every(fault.SwapWrong, engines, 5*time.Second, 30*time.Second), every(fault.Crash, engines[:3], 14*time.Second, 10*time.Second)),
			join(every(fault.SwapWrong, engines[:5], 5*time.Second, 40*time.Second), plan("crash:node-1@12s+10s,crash:node-4@16s+10s")),
		}
	})
}

func TestStalenessBound(t *testing.T) {
	runAll(t, bothDeployments, 1, func(d Deployment) []fault.Schedule {
		engines := engineTargets(d)
		return []fault.Schedule{
			every(fault.SwapFail, engines[:len(engines)-2], 5*time.Second, time.Minute),
			every(fault.Slow, engines, 8*time.Second, 40*time.Second),
			join(plan("store_slow:platform@5s+50s"), every(fault.Slow, engines[:5], 8*time.Second, 40*time.Second)),
			join(plan("list_lag:platform@1s+60s,freeze:node-2@13s+15s"), every(fault.ReportLag, engines, 8*time.Second, 40*time.Second)),
			join(every(fault.Freeze, engines[:4], 10*time.Second, 25*time.Second), plan("crash:node-3@20s+5s")),
		}
	})
}

func TestExactlyOnce(t *testing.T) {
	runAll(t, bothDeployments, 1, func(d Deployment) []fault.Schedule {
		var schedules []fault.Schedule
		for i, n := range nodeTargets(d) {
			at := time.Duration(9+2*i) * time.Second
			schedules = append(schedules,
				every(fault.Crash, []string{n}, at, 10*time.Second),
				every(fault.Freeze, []string{n}, at, 15*time.Second))
		}
		return append(schedules,
			plan("append_answer_lost:platform@5s+55s"),
			plan("crash:trainer-1@11s+3s,crash:trainer-2@14s+3s,crash:trainer-1@20s+3s"),
			plan("crash:trainer-1@11s+3s,crash:node-1@11s+5s,crash:node-2@13s+5s"),
			plan("freeze:node-1@10s+20s,freeze:node-2@10s+20s,append_answer_lost:platform@5s+55s"),
			plan("crash:node-1@12s+5s,crash:node-2@12s+5s,crash:node-3@12s+5s"),
			plan("store_down:platform@12s+20s,crash:node-5@14s+5s"),
			plan("cut:cercado|*@10s+20s,cut:poblado|*@10s+20s"),
		)
	})
}

func TestWholeOwnAnswer(t *testing.T) {
	runAll(t, bothDeployments, 1, func(d Deployment) []fault.Schedule {
		servers := serverTargets(d)
		return []fault.Schedule{
			every(fault.Truncate, servers, 8*time.Second, 40*time.Second),
			join(every(fault.Truncate, servers[:2], 8*time.Second, 40*time.Second), plan("jitter:network@8s+40s,duplicate:network@8s+40s")),
			join(every(fault.Slow, servers, 8*time.Second, 20*time.Second), every(fault.DropAfter, servers[1:], 8*time.Second, 40*time.Second)),
			join(every(fault.Truncate, servers, 8*time.Second, 40*time.Second), plan("cut_one_way:cercado>*@20s+5s,freeze:node-2@15s+10s")),
		}
	})
}

func TestNotRunIsTrue(t *testing.T) {
	runAll(t, bothDeployments, 1, func(d Deployment) []fault.Schedule {
		servers := serverTargets(d)
		return []fault.Schedule{
			every(fault.Refuse, servers, 8*time.Second, 40*time.Second),
			every(fault.DropBefore, servers, 8*time.Second, 40*time.Second),
			every(fault.DropAfter, servers, 8*time.Second, 40*time.Second),
			every(fault.Freeze, servers, 12*time.Second, 15*time.Second),
			join(every(fault.Crash, servers, 12*time.Second, 15*time.Second), every(fault.DropAfter, servers, 8*time.Second, 40*time.Second)),
			join(every(fault.Refuse, servers, 8*time.Second, 40*time.Second), every(fault.Freeze, nodeTargets(d)[:3], 15*time.Second, 8*time.Second)),
		}
	})
}

func TestUnrepeatableAtMostOnce(t *testing.T) {
	runAll(t, bothDeployments, 2, func(d Deployment) []fault.Schedule {
		servers, nodes := serverTargets(d), nodeTargets(d)
		lost := join(every(fault.DropAfter, servers, 8*time.Second, 45*time.Second), every(fault.DropBefore, servers[:2], 8*time.Second, 45*time.Second))
		return []fault.Schedule{
			lost,
			join(lost, every(fault.Crash, nodes[:1], 15*time.Second, 10*time.Second), every(fault.Crash, nodes[3:4], 25*time.Second, 10*time.Second)),
			join(lost, every(fault.Crash, nodes[:2], 15*time.Second, 15*time.Second)),
			join(lost, every(fault.Crash, []string{nodes[0], nodes[1], nodes[3], nodes[4]}, 20*time.Second, 5*time.Second)),
			join(lost, every(fault.Crash, nodes, 20*time.Second, 5*time.Second)),
			join(lost, every(fault.Crash, nodes, 20*time.Second, 5*time.Second), plan("store_down:platform@15s+30s")),
			join(lost, allReplaced(d)),
			join(lost, plan("store_down:platform@12s+40s"), every(fault.Crash, nodes[2:3], 20*time.Second, 10*time.Second)),
			join(lost, every(fault.Freeze, nodes[:2], 15*time.Second, 20*time.Second), plan("loss:network@10s+30s")),
			join(lost, plan("cut:cercado|*@15s+20s,cut:poblado|*@15s+20s")),
			join(lost, plan("cut_one_way:*>yanahuara@15s+20s,cut_one_way:*>rionegro@15s+20s,jitter:network@8s+40s")),
		}
	})
}

func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	runAll(t, bothDeployments, 2, func(d Deployment) []fault.Schedule {
		servers, engines := serverTargets(d), engineTargets(d)
		leaving := join(every(fault.Leave, servers[:1], 12*time.Second, 30*time.Second), every(fault.Leave, engines[:3], 14*time.Second, 30*time.Second))
		lagging := join(leaving, plan("list_lag:platform@1s+60s"))
		return []fault.Schedule{
			leaving,
			lagging,
			join(lagging, plan("crash:node-1@16s+5s,crash:node-2@22s+5s")),
			join(lagging, plan("store_down:platform@10s+30s,freeze:node-3@10s+8s")),
		}
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
	runAll(t, bothDeployments, 2, func(d Deployment) []fault.Schedule {
		nodes := nodeTargets(d)
		return []fault.Schedule{
			every(fault.Stop, nodes[:1], 15*time.Second, 40*time.Second),
			every(fault.Stop, nodes[1:3], 15*time.Second, 40*time.Second),
			every(fault.Replace, nodes[:2], 12*time.Second, time.Second),
			allReplaced(d),
		}
	})
}

func TestConfigurationInForce(t *testing.T) {
	runAll(t, []string{"arequipa/operators", "medellin/operators"}, 2, func(d Deployment) []fault.Schedule {
		return []fault.Schedule{
			nil,
			plan("append_answer_lost:platform@3s+55s"),
			plan("store_slow:platform@3s+55s"),
			plan("crash:node-2@17s+8s,store_down:platform@20s+20s"),
			plan("crash:node-1@18s+4s,crash:node-2@18s+5s,store_down:platform@19s+20s"),
			plan("cut:cercado|*@14s+15s,cut:poblado|*@14s+15s"),
			plan("cut:node-2|platform@5s+50s,cut:node-5|platform@5s+50s,loss:network@10s+20s"),
			plan("freeze:node-1@15s+10s,freeze:node-4@16s+12s,append_answer_lost:platform@3s+55s"),
		}
	})
}

// TestStoreDownThirtyMinutes: with the store down service requests go on and
// steps that run are finished and handed over.
func TestStoreDownThirtyMinutes(t *testing.T) {
	for _, name := range bothDeployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const from, until = 12 * time.Second, 12*time.Second + 30*time.Minute
			w := trial{scenario: name + "/outage", seed: 1, schedule: plan("store_down:platform@12s+30m")}.holds(t)
			for _, line := range goesOn(w, from, until) {
				t.Error(line)
			}
		})
	}
}

// goesOn returns what did not go on while the store was down.
func goesOn(w *World, from, until time.Duration) []string {
	var faults []string
	asked, answered := 0, 0
	eachRequest(w, func(r *RequestWitness) {
		if r.Began > from && r.Ended < until {
			asked++
			if r.Answered {
				answered++
			}
		}
	})
	if asked == 0 || float64(answered) < 0.999*float64(asked) {
		faults = append(faults, fmt.Sprintf("%d of %d requests were answered with the store down", answered, asked))
	}
	running := 0
	for _, trainer := range w.trainers {
		for _, s := range trainer.steps {
			if s.AcceptedAt == 0 || s.AcceptedAt > from {
				continue
			}
			running++
			if s.DoneAt == 0 || s.DoneAt > from+2*time.Minute {
				faults = append(faults, fmt.Sprintf("%s ran when the store went down at %v and was done at %v", s.Body.Step, from, s.DoneAt))
			}
		}
	}
	if running == 0 {
		faults = append(faults, "no step ran when the store went down")
	}
	return faults
}
