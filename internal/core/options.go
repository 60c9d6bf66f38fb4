package core

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/planner"
	"dalehook/internal/request"
	"dalehook/internal/rollout"
	"dalehook/internal/routing"
	"dalehook/internal/weights"
)

// Options configure a Core. Zero fields besides Self take the parts' defaults.
type Options struct {
	// Self is this process; its Incarnation is set by the driver.
	Self cluster.Node
	// SeedAddresses are peer addresses (host:port) to join by.
	SeedAddresses []string
	// Seed feeds the node's random numbers.
	Seed uint64
	// EnginePolicy chooses engines for samples; nil means routing's default.
	EnginePolicy routing.EnginePolicy
	// Rollout bounds time and memory of rollouts.
	Rollout rollout.Limits
	// Request holds the limits of service requests; its Self, Outbox,
	// Environment and Seed are set by New.
	Request request.Options
	// Weights paces the loading of versions.
	Weights weights.Parameters
	// Planner describes the machines that plans are made for.
	Planner planner.Parameters
	// LeaveGrace is how long a leaving node goes on taking calls.
	LeaveGrace time.Duration
}

// defaultLeaveGrace outlasts the time in which callers see readyz fail.
const defaultLeaveGrace = 3 * time.Second

func (o Options) leaveGrace() time.Duration {
	if o.LeaveGrace == 0 {
		return defaultLeaveGrace
	}
	return o.LeaveGrace
}

func (o Options) requestOptions(outbox *machine.Outbox, environment request.Environment) request.Options {
	options := o.Request
	options.Self = o.Self
	options.Outbox = outbox
	options.Environment = environment
	options.Seed = o.Seed
	options.LeaveGrace = o.leaveGrace()
	return options
}
