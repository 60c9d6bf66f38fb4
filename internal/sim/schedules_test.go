package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
)

// racingOperators returns three operators who confirm events of their own at the
// same moments.
func racingOperators(s Scenario) []OperatorOptions {
	var operators []OperatorOptions
	for i := range 3 {
		o := OperatorOptions{Name: fmt.Sprintf("operator-%d", i+1), StartAt: 15 * time.Second, Pause: 5 * time.Second}
		for j := range 3 {
			event := record.Event{
				Name: fmt.Sprintf("extra-%d-%d", i+1, j+1), Start: startTime().Add(time.Duration(24*(j+1)) * time.Hour),
				Duration: record.Duration(time.Hour), Crowd: 10, Arrival: record.Duration(time.Minute),
				Services: s.Events[0].Services,
			}
			o.Events = append(o.Events, event)
		}
		operators = append(operators, o)
	}
	return operators
}

// faultKind draws faults of one name against a deployment.
type faultKind struct {
	name fault.Name
	// most is the longest that the fault lasts.
	most    time.Duration
	targets func(Deployment) []string
}

func nodeTargets(d Deployment) []string { return numbered("node", d.Nodes) }

func engineTargets(d Deployment) []string { return numbered("engine", d.Engines) }

func serverTargets(d Deployment) []string { return numbered(d.Service, d.Servers) }

func numbered(prefix string, count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return names
}

func platformTarget(Deployment) []string { return []string{fault.Platform} }

func networkTarget(Deployment) []string { return []string{fault.Network} }

func trainerTargets(Deployment) []string { return []string{"trainer-1", "trainer-2"} }

// cutTargets are a zone from a zone, a node from the rest, and a node from the
// platform.
func cutTargets(separator string) func(Deployment) []string {
	return func(d Deployment) []string {
		targets := []string{string(d.Zones[0]) + separator + string(d.Zones[1]), string(d.Zones[2]) + separator + "*"}
		for _, n := range nodeTargets(d) {
			targets = append(targets, n+separator+"*", "*"+separator+n, n+separator+fault.Platform)
		}
		return targets
	}
}

var faultKinds = []faultKind{
	{fault.Crash, 20 * time.Second, nodeTargets},
	{fault.Freeze, 20 * time.Second, nodeTargets},
	{fault.Slow, 15 * time.Second, nodeTargets},
	{fault.Stop, 30 * time.Second, nodeTargets},
	{fault.Replace, time.Second, nodeTargets},
	{fault.Crash, 20 * time.Second, engineTargets},
	{fault.Freeze, 20 * time.Second, engineTargets},
	{fault.Slow, 20 * time.Second, engineTargets},
	{fault.Leave, 30 * time.Second, engineTargets},
	{fault.SwapFail, 30 * time.Second, engineTargets},
	{fault.SwapWrong, 30 * time.Second, engineTargets},
	{fault.CutStream, 20 * time.Second, engineTargets},
	{fault.ReportLag, 20 * time.Second, engineTargets},
	{fault.Refuse, 20 * time.Second, engineTargets},
	{fault.Crash, 10 * time.Second, serverTargets},
	{fault.Freeze, 10 * time.Second, serverTargets},
	{fault.Slow, 10 * time.Second, serverTargets},
	{fault.Leave, 30 * time.Second, serverTargets},
	{fault.Truncate, 15 * time.Second, serverTargets},
	{fault.DropBefore, 15 * time.Second, serverTargets},
	{fault.DropAfter, 15 * time.Second, serverTargets},
	{fault.Refuse, 15 * time.Second, serverTargets},
	{fault.StoreDown, 30 * time.Second, platformTarget},
	{fault.StoreSlow, 30 * time.Second, platformTarget},
	{fault.AppendAnswerLost, 40 * time.Second, platformTarget},
	{fault.ListLag, 60 * time.Second, platformTarget},
	{fault.Cut, 15 * time.Second, cutTargets("|")},
	{fault.CutOneWay, 15 * time.Second, cutTargets(">")},
	{fault.Loss, 20 * time.Second, networkTarget},
	{fault.Duplicate, 20 * time.Second, networkTarget},
	{fault.Jitter, 20 * time.Second, networkTarget},
	{fault.Crash, 10 * time.Second, trainerTargets},
}

// Faults begin in this part of a run, when the traffic has begun and goes on.
const (
	faultsFrom = 8 * time.Second
	faultsTo   = 50 * time.Second
)

// drawFault draws a fault of a kind. Times are whole tenths of a second, so that
// schedules are short to write.
func drawFault(kind faultKind, d Deployment, draw func(int) int) fault.Fault {
	targets := kind.targets(d)
	const tenth = 100 * time.Millisecond
	return fault.Fault{
		Name: kind.name, Target: targets[draw(len(targets))],
		At:  faultsFrom + time.Duration(draw(int((faultsTo-faultsFrom)/tenth)))*tenth,
		For: time.Duration(1+draw(int(kind.most/tenth))) * tenth,
	}
}

// drawSchedule draws up to the given number of faults from a seed.
func drawSchedule(d Deployment, seed uint64, most int) fault.Schedule {
	random := rand.New(rand.NewPCG(seed, 99))
	var schedule fault.Schedule
	for range 1 + random.IntN(most) {
		schedule = append(schedule, drawFault(faultKinds[random.IntN(len(faultKinds))], d, random.IntN))
	}
	return schedule
}

// allReplaced replaces all nodes one after another.
func allReplaced(d Deployment) fault.Schedule {
	var schedule fault.Schedule
	for i, n := range nodeTargets(d) {
		schedule = append(schedule, fault.Fault{Name: fault.Replace, Target: n, At: time.Duration(10+10*i) * time.Second, For: time.Second})
	}
	return schedule
}

// every returns the same fault on several targets.
func every(name fault.Name, targets []string, at, length time.Duration) fault.Schedule {
	var schedule fault.Schedule
	for _, target := range targets {
		schedule = append(schedule, fault.Fault{Name: name, Target: target, At: at, For: length})
	}
	return schedule
}
