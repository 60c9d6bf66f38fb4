package rehearse

import (
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/record"
	"dalehook/internal/sim"
	"dalehook/internal/sim/kernel"
)

// Times of a rehearsal that no parameter changes.
const (
	lookupDeadline = 5 * time.Second
	settleFor      = 2 * time.Hour
	machineListLag = 10 * time.Second
)

// scenario returns the world that a file describes. The event's start is moved
// to the given lead after the start of the virtual clock.
func (f File) scenario() (sim.Scenario, error) {
	p := f.Rehearsal
	d, ok := sim.DeploymentByName(p.Deployment)
	if !ok {
		return sim.Scenario{}, eris.Errorf("unknown deployment %q", p.Deployment)
	}
	d.Engines = orElse(p.Engines, d.Engines)
	d.Servers = orElse(p.Servers, d.Servers)
	d.Nodes = orElse(p.Nodes, d.Nodes)
	event := f.Event
	lead := orElse(p.Lead.Std(), 2*time.Minute)
	event.Start = kernel.Epoch.Add(lead)
	s := sim.Scenario{
		Deployment: d, Engine: p.Engine.profile(), ListLag: machineListLag,
		ServerSlots: orElse(p.Server.Slots, 32), ServerQueue: orElse(p.Server.Queue, 128),
		ServiceTime:      20 * time.Millisecond,
		FetchTime:        orElse(p.Weights.FetchTime.Std(), 10*time.Second),
		FetchesPerSecond: orElse(p.Weights.FetchesPerSecond, 2),
		Events:           []record.Event{event},
		RunFor:           lead + orElse(p.Length.Std(), event.Duration.Std()), SettleFor: settleFor,
	}
	for i, demand := range event.Services {
		if demand.Service != d.Service {
			return sim.Scenario{}, eris.Errorf("deployment %s has no service %q", d.Name, demand.Service)
		}
		if i == 0 {
			s.ServiceTime = orElse(demand.ServiceTime.Std(), s.ServiceTime)
		}
		s.Callers = append(s.Callers, callers(event, demand, lead))
	}
	for i, demand := range event.Rollouts {
		if demand.Pool != d.Pool {
			return sim.Scenario{}, eris.Errorf("deployment %s has no pool %q", d.Name, demand.Pool)
		}
		d.Model = demand.Model
		s.Trainers = append(s.Trainers, trainer(event, demand, p.trainer(demand), i == 0))
	}
	s.Deployment = d
	return s, nil
}

// callers spreads the crowd's first requests over the arrival time and the rest
// over the event.
func callers(event record.Event, demand record.ServiceDemand, lead time.Duration) sim.CallerOptions {
	crowd := float64(event.Crowd)
	arrival := max(event.Arrival.Std(), time.Second)
	length := max(event.Duration.Std(), time.Second)
	burst := crowd * min(demand.RequestsPerCaller, 1) / arrival.Seconds()
	steady := crowd * max(demand.RequestsPerCaller-1, 0) / length.Seconds()
	return sim.CallerOptions{
		Name: orElse(demand.Class, demand.Service), Service: demand.Service, Deadline: lookupDeadline,
		StartAt: settleIn,
		RateAt: func(at time.Duration) float64 {
			switch {
			case at < lead:
				return steady / 2
			case at < lead+arrival:
				return burst + steady
			default:
				return steady
			}
		},
	}
}

// settleIn is when the first traffic comes: the nodes have a view by then.
const settleIn = 10 * time.Second

func trainer(event record.Event, demand record.RolloutDemand, p TrainerParameters, publishes bool) sim.TrainerOptions {
	return sim.TrainerOptions{
		Name: demand.Trainer, Event: event.Name, Model: demand.Model, Bound: demand.StalenessBound,
		Steps: p.Steps, Samples: demand.SamplesPerStep, Ahead: p.Ahead, Train: p.Train.Std(),
		MaxTokens: demand.MaxTokens, GroupSize: p.GroupSize, Groups: p.Groups, Lengths: p.lengths(),
		Publishes: publishes, Names: publishes, StartAt: settleIn,
	}
}
