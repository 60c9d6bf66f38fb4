package standin

import (
	"context"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// registerRetry is the time between two tries to register.
const registerRetry = 200 * time.Millisecond

// registrar keeps a stand-in's line on the platform's machine list.
type registrar struct {
	client  *platform.Client
	machine cluster.Machine
}

// newRegistrar returns nil when there is no platform to register at.
func newRegistrar(options platform.Options, machine cluster.Machine) *registrar {
	if options.LogURL == "" {
		return nil
	}
	return &registrar{
		client:  platform.NewClient(options),
		machine: machine,
	}
}

// register puts the machine on the list in a state, and tries until it is done.
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

// describe fills in what a stand-in's constructor knows of its machine.
func describe(machine cluster.Machine, kind cluster.BackendKind) cluster.Machine {
	machine.Kind = kind
	machine.State = cluster.StateLive
	if machine.Incarnation == 0 {
		machine.Incarnation = cluster.Incarnation(time.Now().UnixMilli())
	}
	return machine
}
