package planner

import (
	"fmt"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// crowdFactor is the excess of the crowd over the plan that risks are told for.
const crowdFactor = 2

// overlap names events in force that use the same back ends at the same time,
// and says what is missing for all of them together.
func (m *maker) overlap(needs []*need) {
	for _, other := range m.overlapping() {
		for _, theirs := range m.needs(other) {
			m.overlapWith(other, theirs, needs)
		}
	}
	for _, need := range needs {
		m.checkTogether(need)
	}
}

func (m *maker) overlapWith(other record.Event, theirs *need, needs []*need) {
	for _, ours := range needs {
		if ours.kind == theirs.kind && ours.pool == theirs.pool && theirs.count > 0 {
			m.plan.Overlaps = append(m.plan.Overlaps, fmt.Sprintf("event %s (%s to %s) uses %s: %s",
				other.Name, clock(other.Start), clock(other.End()), theirs, plural(theirs.count, theirs.unit())))
			return
		}
	}
}

// overlapping returns the events in force, other than this one itself, that run
// or warm up while this one does.
func (m *maker) overlapping() []record.Event {
	var events []record.Event
	for _, confirmed := range m.snapshot.Events {
		other := confirmed.Plan.Event
		begins := other.Start.Add(-m.parameters.WarmLead)
		ourBegin := m.event.Start.Add(-m.parameters.WarmLead)
		if other.Name != m.event.Name && begins.Before(m.event.End()) && ourBegin.Before(other.End()) {
			events = append(events, other)
		}
	}
	sortEvents(events)
	return events
}

// checkTogether compares a pool's size with what all overlapping events need.
func (m *maker) checkTogether(ours *need) {
	sum := 0
	for _, other := range m.overlapping() {
		for _, theirs := range m.needs(other) {
			if theirs.kind == ours.kind && theirs.pool == ours.pool {
				sum += theirs.count
			}
		}
	}
	live := len(m.snapshot.pool(ours.kind, ours.pool))
	if sum > 0 && ours.count <= live && sum+ours.count > live {
		m.missing("%s: %s for this event and %d for overlapping ones, %d live: %d missing",
			ours, plural(ours.count, ours.unit()), sum, live, sum+ours.count-live)
	}
}

// assess tells what happens when the crowd exceeds the plan, when a zone is
// lost, and where the longest samples come near the staleness bound.
func (m *maker) assess(needs []*need) {
	for _, need := range needs {
		if need.count == 0 {
			continue
		}
		if need.kind == cluster.KindService {
			m.assessCrowd(need)
		}
		m.assessZone(need)
		m.assessUnknown(need)
		for _, demand := range need.rollouts {
			m.assessLongest(demand)
		}
	}
}

func (m *maker) assessCrowd(need *need) {
	capacity, busy := m.capacity(need), m.busySlots(m.event, need)
	if busy == 0 || len(need.chosen) == 0 {
		return
	}
	m.risk("%s: shedding begins at a crowd of %d (planned %d)",
		need, int(float64(m.event.Crowd)*capacity/busy), m.event.Crowd)
	m.assessExcess(need, capacity)
	if spare := need.live - len(need.chosen); spare > 0 {
		m.risk("%s: %s more could be warmed", need, plural(spare, need.unit()))
	}
}

// assessExcess tells what each class loses when the crowd exceeds the plan.
func (m *maker) assessExcess(need *need, free float64) {
	shed := false
	for _, demand := range byImportance(need.services, func(d record.ServiceDemand) int { return d.Importance }) {
		wanted := crowdFactor * peakRate(m.event, demand) * m.serviceTime(demand).Seconds()
		served := min(wanted, free)
		free -= served
		if wanted > served {
			shed = true
			m.risk("%s: at a crowd of %d class %s loses %.0f%% of its requests at the peak",
				need, crowdFactor*m.event.Crowd, demand.ClassName(), 100*(1-served/wanted))
		}
	}
	if !shed {
		m.risk("%s: at a crowd of %d nothing is shed", need, crowdFactor*m.event.Crowd)
	}
}

// assessZone tells what the loss of the zone with the most chosen back ends leaves.
func (m *maker) assessZone(need *need) {
	counts := map[cluster.ZoneName]int{}
	var worst cluster.ZoneName
	for _, backend := range need.chosen {
		counts[backend.Zone]++
		if count := counts[backend.Zone]; count > counts[worst] || count == counts[worst] && backend.Zone < worst {
			worst = backend.Zone
		}
	}
	left := len(need.chosen) - counts[worst]
	if required := need.count - m.parameters.SpareBackends; left < required && len(need.chosen) > 0 {
		m.risk("%s: without zone %s %s of %d needed are left",
			need, worst, plural(left, need.unit()), required)
	}
}

// assessLongest compares the longest sample with the staleness bound: each
// StepEvery the trainer announces one more version.
func (m *maker) assessLongest(demand record.RolloutDemand) {
	every := demand.StepEvery.Std()
	longest := m.longestSample(demand)
	if every <= 0 || longest == 0 {
		return
	}
	versions := int64(longest / every)
	allowed := time.Duration(demand.StalenessBound+1) * every
	switch {
	case versions > demand.StalenessBound:
		m.missing("class %s: a sample of %d tokens takes %v alone, the bound of %d versions allows %v",
			demand.ClassName(), demand.MaxTokens, longest, demand.StalenessBound, allowed)
	case longest > every:
		m.risk("class %s: a sample of %d tokens takes %v alone, longer than a step (%v): it becomes up to %s old, the bound is %d",
			demand.ClassName(), demand.MaxTokens, longest, every, plural(int(versions), "version"), demand.StalenessBound)
	}
}

// assessUnknown tells of engines whose report this node does not have: they are
// planned as if nothing was loaded, which costs loads that may be needless.
func (m *maker) assessUnknown(need *need) {
	if need.kind != cluster.KindEngine {
		return
	}
	unknown := 0
	for _, engine := range need.chosen {
		if engine.Model == "" && engine.Version == 0 {
			unknown++
		}
	}
	if unknown > 0 {
		m.risk("%s: what %s of %d have loaded is not known here; they are planned as if it was nothing",
			need, plural(unknown, need.unit()), len(need.chosen))
	}
}
