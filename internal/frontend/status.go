package frontend

import (
	"dalehook/internal/build"
	"dalehook/internal/clock"
	"dalehook/internal/nodestatus"
)

var _ nodestatus.Source = (*Node)(nil)

// Status implements nodestatus.Source.
func (n *Node) Status() nodestatus.Status {
	now := clock.Now()
	status := nodestatus.Status{
		Node: n.options.Settings.Node, Build: build.Revision(), Ready: n.Ready(), Leading: n.coordinator.State().Leading,
		ConfigurationAge: n.configurationAge(now), Servers: n.directory.Snapshot().Count(), ListAge: n.directory.Age(now),
	}
	if table := n.table.Load(); table != nil {
		status.Configuration = table.Version
	}
	if highest, ok := highestRefusedShare(n.gateway.Overload(now)); ok {
		status.RefusedService, status.RefusedShare = highest.Service, highest.RefusedShare
	}
	return status
}
