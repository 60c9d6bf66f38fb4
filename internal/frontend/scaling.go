package frontend

import (
	"go.uber.org/zap"

	"dalehook/internal/scaling"
)

// newScaling returns the driver that orders servers, nil if the settings don't enable it.
func (n *Node) newScaling(logger *zap.Logger) *scaling.Driver {
	settings := n.options.Settings
	if !settings.scalingEnabled() {
		return nil
	}
	return scaling.NewDriver(scaling.DriverOptions{
		Provider: n.options.Adapter.Provider(),
		Term:     n.term,
		View:     n.scalingView, SlotsPerItem: settings.Scaling.Headroom, MaxServers: settings.Scaling.MostServers,
		Observe: func(outcome string) { n.metrics.serverOrders.WithLabelValues(outcome).Inc() },
		Logger:  logger.Named("scaling"),
	})
}

// scalingView returns the state of the services whose number of servers is scaled.
func (n *Node) scalingView() scaling.View {
	view := scaling.View{ListedServers: make(map[string]map[string]int), OpenItems: n.coordinator.UnfinishedItems()}
	table := n.table.Load()
	if table == nil {
		return view
	}
	snapshot := n.directory.Snapshot()
	for name, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		view.Services = append(view.Services, scaling.Service{
			Name: name, Slots: service.Slots, Minimum: service.Scaling.Minimum, Maximum: service.Scaling.Maximum,
			BootTime: service.Scaling.BootTime, ZonePrices: service.Scaling.ZonePrices,
		})
		listed := make(map[string]int)
		for _, server := range snapshot.Ready(name) {
			if !server.Spot {
				listed[server.Zone]++
			}
		}
		view.ListedServers[name] = listed
	}
	return view
}
