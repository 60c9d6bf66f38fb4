package frontend

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/duty"
	"dalehook/internal/election"
	"dalehook/internal/usage"
)

// flushTimeout bounds the last append of what a leaving node has counted.
const flushTimeout = 500 * time.Millisecond

var errNobodyKnown = errors.New("no other node is known to coordinate")

// newUsage returns what counts and reports the usage of tenants, nil where nobody asks for it.
func (n *Node) newUsage(logger *zap.Logger) (*usage.Sender, *usage.Reporter) {
	settings := n.options.Settings
	if !settings.reportsUsage() {
		return nil, nil
	}
	log := n.options.Adapter.Log()
	length := seconds(settings.Usage.WindowSeconds)
	sender := usage.NewSender(usage.SenderOptions{
		Log: log, Process: n.process(), WindowLength: length, Forward: n.forwardUsage, Logger: logger.Named("usage"),
		OnLost: func(requests int) { n.metrics.usageLost.Add(float64(requests)) },
	})
	reporter := usage.NewReporter(usage.ReporterOptions{
		Log: log, Provider: n.options.Adapter.Provider(), WindowLength: length, Lateness: seconds(settings.Usage.LatenessSeconds),
		Term: n.term, Logger: logger.Named("usage"),
		Observe: func(outcome string) { n.metrics.usageReports.WithLabelValues(outcome).Inc() },
	})
	return sender, reporter
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// noteBegan counts a request that began to run at a server.
func (n *Node) noteBegan(tenantName string, at time.Time) {
	if n.usageSender != nil && tenantName != "" {
		n.usageSender.Count(tenantName, at)
	}
}

// forwardUsage has the coordinator append a record that this node could not.
func (n *Node) forwardUsage(ctx context.Context, record []byte) error {
	address := n.jobReader.answering()
	if address == "" {
		return errNobodyKnown
	}
	return usage.AppendVia(ctx, address, record)
}

// term returns this node's hold of the lease, for what is done at the provider under it.
func (n *Node) term() duty.Term {
	state := n.electionState.Load()
	if state == nil {
		return duty.Term{}
	}
	return duty.Term{Epoch: state.Lease.Epoch, Acting: n.acts(clock.Now(), *state)}
}

// acts says whether this node may act on the lease now.
func (n *Node) acts(now time.Time, state election.State) bool {
	pause := time.Duration(n.options.Settings.OrderPauseMs) * time.Millisecond
	settled := state.Lease.SettledAt(pause, n.options.Settings.FencingEnforced)
	return state.Held && now.Before(state.Lease.ExpiresAt) && !now.Before(settled) && !n.yielder.HasYielded(state.Lease.Epoch)
}
