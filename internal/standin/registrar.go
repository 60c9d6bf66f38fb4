package standin

import (
	"context"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// registerRetry is the pause between registration attempts.
const registerRetry = 200 * time.Millisecond

// registrar maintains a stand-in's entry in the platform's machine list.
type registrar struct {
	client  *platform.Client
	machine cluster.Machine
}

// newRegistrar returns nil if no platform is configured.
func newRegistrar(options platform.Options, machine cluster.Machine) *registrar {
	if options.LogURL == "" {
		return nil
	}
	return &registrar{
		client:  platform.NewClient(options),
		machine: machine,
	}
}

// register registers the machine with a state and retries until it succeeds or
// ctx ends.
func (r *registrar) register(ctx context.Context, state cluster.MachineState) {
	if r == nil {
		return
	}
	machine := r.machine
	machine.State = state
	for r.client.RegisterMachine(ctx, machine) != nil {
		if !sleep(ctx, registerRetry, nil) {
			return
		}
	}
}

func (r *registrar) close() {
	if r != nil {
		r.client.Close()
	}
}

// completeMachine sets the kind, the state and, if missing, the incarnation of a
// stand-in's machine entry.
func completeMachine(machine cluster.Machine, kind cluster.BackendKind) cluster.Machine {
	machine.Kind = kind
	machine.State = cluster.StateLive
	if machine.Incarnation == 0 {
		machine.Incarnation = cluster.Incarnation(time.Now().UnixMilli())
	}
	return machine
}
