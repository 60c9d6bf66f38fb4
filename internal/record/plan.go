package record

import (
	"time"

	"dalehook/internal/cluster"
)

// Event is what an operator states: a start time, an expected crowd, the
// services it touches and the rollout work around it.
type Event struct {
	Name  string    `json:"name" yaml:"name" validate:"required"`
	Start time.Time `json:"start" yaml:"start" validate:"required"`
	// Duration says how long the event lasts.
	Duration Duration `json:"duration" yaml:"duration"`
	// Crowd is the expected number of callers.
	Crowd int `json:"crowd" yaml:"crowd" validate:"gte=0"`
	// Arrival is the time over which the crowd's first requests come in.
	Arrival  Duration        `json:"arrival" yaml:"arrival"`
	Services []ServiceDemand `json:"services" yaml:"services" validate:"dive"`
	Rollouts []RolloutDemand `json:"rollouts" yaml:"rollouts" validate:"dive"`
}

// ServiceDemand is the traffic an event brings to one service.
type ServiceDemand struct {
	Service string `json:"service" yaml:"service" validate:"required"`
	// Class is the name under which requests are limited and shed; by default
	// the service's name.
	Class string `json:"class,omitempty" yaml:"class"`
	// RequestsPerCaller is counted over the whole event.
	RequestsPerCaller float64 `json:"requests_per_caller" yaml:"requests_per_caller" validate:"gte=0"`
	// ServiceTime is a server's time for one request.
	ServiceTime Duration `json:"service_time,omitempty" yaml:"service_time"`
	// Importance orders shedding: the class with the lowest goes first.
	Importance int `json:"importance" yaml:"importance"`
}

// RolloutDemand is the rollout work of one trainer around an event.
type RolloutDemand struct {
	Trainer string            `json:"trainer" yaml:"trainer" validate:"required"`
	Pool    string            `json:"pool" yaml:"pool" validate:"required"`
	Model   cluster.ModelName `json:"model" yaml:"model" validate:"required"`
	// Class is the name under which samples are limited and shed; by default
	// the trainer's name.
	Class          string `json:"class,omitempty" yaml:"class"`
	SamplesPerStep int    `json:"samples_per_step" yaml:"samples_per_step" validate:"gte=0"`
	MeanTokens     int    `json:"mean_tokens" yaml:"mean_tokens" validate:"gte=0"`
	MaxTokens      int    `json:"max_tokens" yaml:"max_tokens" validate:"gte=0"`
	// StepEvery is the trainer's time from one step to the next.
	StepEvery Duration `json:"step_every" yaml:"step_every"`
	// StalenessBound is the largest allowed age of a sample at hand-over, in
	// versions: the newest version less the oldest that produced a token.
	StalenessBound int64 `json:"staleness_bound" yaml:"staleness_bound" validate:"gte=0"`
	Importance     int   `json:"importance" yaml:"importance"`
}

// Plan is the planner's answer to an intent. It is a pure function of the
// event and of the snapshot named by Base; Digest covers all other fields.
type Plan struct {
	Digest string   `json:"digest"`
	Base   Revision `json:"base"`
	Event  Event    `json:"event"`
	// Warm lists back ends to be warmed, in order of time.
	Warm []WarmBackend `json:"warm"`
	// Loads lists the versions to be loaded, in order of time.
	Loads []LoadVersion `json:"loads"`
	// Limits holds the limit of each class, sorted by class.
	Limits []ClassLimit `json:"limits"`
	// ShedOrder names classes, the first to be shed first.
	ShedOrder []string `json:"shed_order"`
	// Arithmetic shows how the needed capacity was found, a line each.
	Arithmetic []string `json:"arithmetic"`
	// Risks says what happens when the crowd exceeds the plan.
	Risks []string `json:"risks"`
	// Missing says what keeps the plan from being met; empty when it can be.
	Missing []string `json:"missing"`
	// Overlaps names events in force that use the same back ends at the same time.
	Overlaps []string `json:"overlaps"`
}

// WarmBackend says that a back end is to be warm at a time.
type WarmBackend struct {
	Backend cluster.BackendID `json:"backend"`
	Pool    string            `json:"pool"`
	Zone    cluster.ZoneName  `json:"zone"`
	At      time.Time         `json:"at"`
}

// LoadVersion says that an engine is to start loading a version at a time.
type LoadVersion struct {
	Engine  cluster.BackendID `json:"engine"`
	Pool    string            `json:"pool"`
	Zone    cluster.ZoneName  `json:"zone"`
	Model   cluster.ModelName `json:"model"`
	Version cluster.Version   `json:"version"`
	At      time.Time         `json:"at"`
}

// ClassLimit bounds one class on the whole cluster.
type ClassLimit struct {
	Class string `json:"class"`
	// Rate is in requests a second for services, zero for no limit.
	Rate float64 `json:"rate"`
	// Concurrent is the largest number in flight, zero for no limit.
	Concurrent int `json:"concurrent"`
	Importance int `json:"importance"`
}

// End returns the time at which the event ends.
func (e Event) End() time.Time { return e.Start.Add(e.Duration.Std()) }

// ClassName returns the class under which requests are limited and shed.
func (d ServiceDemand) ClassName() string {
	if d.Class != "" {
		return d.Class
	}
	return d.Service
}

// ClassName returns the class under which samples are limited and shed.
func (d RolloutDemand) ClassName() string {
	if d.Class != "" {
		return d.Class
	}
	return d.Trainer
}
