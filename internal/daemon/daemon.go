// Package daemon assembles one node from its settings: listeners, clients of
// the outside, the state machines and their driver.
package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dalehook/internal/admission"
	"dalehook/internal/api"
	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/core"
	"dalehook/internal/node"
	"dalehook/internal/planner"
	"dalehook/internal/platform"
	"dalehook/internal/request"
	"dalehook/internal/rollout"
	"dalehook/internal/settings"
	"dalehook/internal/weights"
)

// leaveAllowance is the time that a planned stop may take besides its grace and
// the longest deadline of a call.
const leaveAllowance = time.Minute

// Options configure a Daemon.
type Options struct {
	Settings settings.Settings
	// Logger takes the logs of all parts; nil for none.
	Logger *zap.Logger
}

// Daemon is one assembled node.
type Daemon struct {
	self     cluster.Node
	node     *node.Node
	platform *platform.Client
	engines  *backend.EngineClient
	services *backend.ServiceClient
}

// New opens the listeners and assembles the node. Nothing runs before Run.
func New(options Options) (*Daemon, error) {
	chosen := options.Settings
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	listeners, self, err := node.Listen(selfOf(chosen), chosen.Listen.Client, chosen.Listen.Peer)
	if err != nil {
		return nil, err
	}
	machine := core.New(coreOptions(chosen, self))
	backendOptions := backend.Options{BufferLimit: int64(chosen.Limits.MaxResponseSize)}
	d := &Daemon{
		self: self,
		platform: platform.NewClient(platform.Options{
			LogURL:      string(chosen.Platform.Log),
			MachinesURL: string(chosen.Platform.Machines),
			WeightsURL:  string(chosen.Platform.Weights),
		}),
		engines:  backend.NewEngineClient(backendOptions),
		services: backend.NewServiceClient(backendOptions),
	}
	d.node = node.New(node.Options{
		Self:         self,
		Listeners:    listeners,
		Machine:      machine,
		Ready:        machine.Ready,
		Log:          d.platform,
		Machines:     d.platform,
		Engines:      d.engines,
		Services:     d.services,
		Limits:       apiLimits(chosen.Limits),
		Logger:       options.Logger,
		LeaveTimeout: chosen.Limits.LeaveGrace + chosen.Limits.MaxDeadline + leaveAllowance,
	})
	return d, nil
}

// selfOf returns the node's identity as far as the settings state it.
func selfOf(chosen settings.Settings) cluster.Node {
	return cluster.Node{
		ID:            chosen.Node.ID,
		Zone:          chosen.Node.Zone,
		Region:        chosen.Node.Region,
		ClientAddress: chosen.Advertise.Client,
		PeerAddress:   chosen.Advertise.Peer,
	}
}

// coreOptions returns the options of the state machines. Their random numbers
// are seeded by the node's name and the time of its start.
func coreOptions(chosen settings.Settings, self cluster.Node) core.Options {
	limits, capacity := chosen.Limits, chosen.Capacity
	return core.Options{
		Self:          self,
		SeedAddresses: chosen.Peers,
		Seed:          xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation),
		Rollout:       rollout.Limits{MaxWait: limits.MaxWait},
		Request: request.Options{
			MostAttempts: limits.MaxAttempts,
			Deadline:     limits.Deadline,
			Admission:    admission.Options{QueueSize: limits.MaxQueueLength, RetryShare: limits.RetryShare},
			KeyLifetime:  limits.KeyLifetime,
			MostAnswer:   int(limits.MaxResponseSize),
		},
		Weights: weights.Parameters{StoreLoadsPerSecond: capacity.WeightLoadsPerSecond},
		Planner: planner.Parameters{
			ServerSlots:           capacity.ServerSlots,
			EngineTokensPerSecond: capacity.EngineTokensPerSecond,
			StreamTokensPerSecond: capacity.StreamTokensPerSecond,
			LoadTime:              capacity.LoadTime,
			LoadMargin:            capacity.LoadMargin,
			StoreLoadsPerSecond:   capacity.WeightLoadsPerSecond,
		},
		LeaveGrace: limits.LeaveGrace,
	}
}

func apiLimits(limits settings.Limits) api.Limits {
	return api.Limits{
		StepBody:    int64(limits.MaxStepBodySize),
		ServiceBody: int64(limits.MaxBodySize),
		PlanBody:    int64(limits.MaxBodySize),
		Deadline:    limits.Deadline,
		MaxDeadline: limits.MaxDeadline,
		MaxWait:     limits.MaxWait,
		OpenCalls:   limits.MaxOpenCalls,
	}
}

// Self returns the node's identity with the addresses that it listens on.
func (d *Daemon) Self() cluster.Node { return d.self }

// Run drives the node until it has left (nil) or has been stopped.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.platform.Close()
	defer d.engines.Close()
	defer d.services.Close()
	return d.node.Run(ctx)
}

// Leave begins a planned stop.
func (d *Daemon) Leave() { d.node.Leave() }

// Stop ends Run at once.
func (d *Daemon) Stop() { d.node.Stop() }
