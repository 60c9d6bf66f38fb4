package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/cluster"
)

// registerTimeout and registerRetry bound and space the calls by which the node
// puts itself on the machine list.
const (
	registerTimeout = 2 * time.Second
	registerRetry   = 5 * time.Second
)

// keepRegistered states this node on the platform's machine list: as live at
// the start and as leaving from Leave on. A call that fails is repeated; the
// list is a help to others and no condition for running.
func (n *Node) keepRegistered() {
	n.registerUntilDone(cluster.StateLive, n.leaving)
	select {
	case <-n.leaving:
		n.registerUntilDone(cluster.StateLeaving, nil)
	case <-n.work.Done():
	}
}

// registerUntilDone repeats a registration until it succeeds, the node stops,
// or the interrupting channel is closed.
func (n *Node) registerUntilDone(state cluster.MachineState, interrupt <-chan struct{}) {
	for {
		if n.register(n.work, state) {
			return
		}
		timer := time.NewTimer(registerRetry)
		select {
		case <-timer.C:
		case <-interrupt:
			timer.Stop()
			return
		case <-n.work.Done():
			timer.Stop()
			return
		}
	}
}

// register states this node on the machine list once.
func (n *Node) register(ctx context.Context, state cluster.MachineState) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := n.options.Self
	err := n.options.Machines.RegisterMachine(ctx, cluster.Machine{
		ID:          cluster.BackendID(self.ID),
		Kind:        cluster.KindNode,
		Zone:        self.Zone,
		Region:      self.Region,
		Address:     self.ClientAddress,
		State:       state,
		Incarnation: self.Incarnation,
		PeerAddress: self.PeerAddress,
	})
	if err != nil {
		n.log.Info("node: Registration failed.", zap.String("state", string(state)), zap.Error(err))
	}
	return err == nil
}
