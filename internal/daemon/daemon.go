// Package daemon assembles a node from its settings: listeners, platform and
// backend clients, the state machines and their driver.
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

// leaveTimeoutMargin is added to the leave grace and the longest call deadline to
// get the timeout of a planned stop.
const leaveTimeoutMargin = time.Minute

// Options configure a Daemon.
type Options struct {
	Settings settings.Settings
	// Logger receives the log entries of all components; nil discards them.
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

// New opens the listeners and assembles the node. The node doesn't run until Run
// is called.
func New(options Options) (*Daemon, error) {
	config := options.Settings
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	listeners, self, err := node.Listen(configuredNode(config), config.Listen.Client, config.Listen.Peer)
	if err != nil {
		return nil, err
	}
	machine := core.New(coreOptions(config, self))
	backendOptions := backend.Options{BufferLimit: int64(config.Limits.MaxResponseSize)}
	d := &Daemon{
		self: self,
		platform: platform.NewClient(platform.Options{
			LogURL:      string(config.Platform.Log),
			MachinesURL: string(config.Platform.Machines),
			WeightsURL:  string(config.Platform.Weights),
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
		Limits:       apiLimits(config.Limits),
		Logger:       options.Logger,
		LeaveTimeout: config.Limits.LeaveGrace + config.Limits.MaxDeadline + leaveTimeoutMargin,
	})
	return d, nil
}

// configuredNode returns the node's identity from the settings. node.Listen
// completes it.
func configuredNode(config settings.Settings) cluster.Node {
	return cluster.Node{
		ID:            config.Node.ID,
		Zone:          config.Node.Zone,
		Region:        config.Node.Region,
		ClientAddress: config.Advertise.Client,
		PeerAddress:   config.Advertise.Peer,
	}
}

// coreOptions returns the options of the state machines. Their random seed is
// derived from the node's ID and its incarnation, which is its start time.
func coreOptions(config settings.Settings, self cluster.Node) core.Options {
	limits, capacity := config.Limits, config.Capacity
	return core.Options{
		Self:          self,
		SeedAddresses: config.Peers,
		Seed:          xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation),
		Rollout:       rollout.Limits{MaxWait: limits.MaxWait},
		Request: request.Options{
			MostAttempts: limits.MaxAttempts,
			Deadline:     limits.Deadline,
			Admission:    admission.Options{MaxQueueLength: limits.MaxQueueLength, RetryShare: limits.RetryShare},
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

// Self returns the node's identity with its bound or advertised addresses.
func (d *Daemon) Self() cluster.Node { return d.self }

// Run runs the node until it has left the cluster (nil error) or was stopped.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.platform.Close()
	defer d.engines.Close()
	defer d.services.Close()
	return d.node.Run(ctx)
}

// Leave starts a planned stop.
func (d *Daemon) Leave() { d.node.Leave() }

// Stop makes Run return immediately.
func (d *Daemon) Stop() { d.node.Stop() }
