package frontend

import (
	"context"

	"go.uber.org/zap"

	"dalehook/internal/crashwatch"
	"dalehook/internal/follow"
	"dalehook/internal/store"
	"dalehook/internal/storeproxy"
)

// newCrashTracker returns the tracker of requests that crash servers. Nodes share their cases through
// the store, or through another node if the store doesn't answer them.
func (n *Node) newCrashTracker(logger *zap.Logger) *crashwatch.Tracker {
	adapter := n.options.Adapter
	return crashwatch.NewTracker(crashwatch.Options{
		Node: n.processID(), Log: adapter.Log(), Directory: n.directory, Probe: adapter.Probe,
		Logger:         logger.Named("quarantine"),
		StoreProxy:     crashwatch.StoreProxy{Read: n.readQuarantineRelayed, Put: n.putQuarantineRelayed},
		RemovesExpired: func() bool { return n.coordinator.State().Leading },
		Observer:       n.metrics, TimeOfDay: n.options.TimeOfDay,
	})
}

func (n *Node) readQuarantineRelayed(ctx context.Context, from int64) (follow.RelayedRecords, error) {
	answer, err := storeproxy.ReadVia(ctx, &n.peers, storeproxy.ReadRequest{Topic: store.TopicQuarantine, From: from})
	if err != nil {
		return follow.RelayedRecords{}, err
	}
	return relayFrom(answer), nil
}

func (n *Node) putQuarantineRelayed(ctx context.Context, records []store.Record) error {
	return storeproxy.PutVia(ctx, &n.peers, storeproxy.PutRequest{Topic: store.TopicQuarantine, Records: records})
}

// notifyServersChanged tells the crash tracker and the coordinator that the list of servers has
// changed.
func (n *Node) notifyServersChanged() {
	n.crashTracker.ObserveServers()
	n.coordinator.HandleServers()
}
