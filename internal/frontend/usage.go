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

// flushTimeout limits the last append of usage counts when a node shuts down.
const flushTimeout = 500 * time.Millisecond

var errNoCoordinator = errors.New("no other node is known as the coordinator")

// newUsage returns the sender that counts usage and the reporter that reports it, nil if the
// settings don't enable them.
func (n *Node) newUsage(logger *zap.Logger) (*usage.Sender, *usage.Reporter) {
	settings := n.options.Settings
	if !settings.usageEnabled() {
		return nil, nil
	}
	log := n.options.Adapter.Log()
	length := seconds(settings.Usage.WindowSeconds)
	sender := usage.NewSender(usage.SenderOptions{
		Log: log, Process: n.processID(), WindowLength: length, AppendVia: n.forwardUsage, Logger: logger.Named("usage"),
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

// countStarted counts a request of a tenant that a server has started to run, or may have.
func (n *Node) countStarted(tenantName string, at time.Time) {
	if n.usageSender != nil && tenantName != "" {
		n.usageSender.Count(tenantName, at)
	}
}

// forwardUsage asks the coordinator to append a usage record that this node couldn't append.
func (n *Node) forwardUsage(ctx context.Context, record []byte) error {
	address := n.jobReadRouter.forwardTarget()
	if address == "" {
		return errNoCoordinator
	}
	return usage.AppendVia(ctx, address, record)
}

// term returns the lease term under which this node may call the provider.
func (n *Node) term() duty.Term {
	state := n.electionState.Load()
	if state == nil {
		return duty.Term{}
	}
	return duty.Term{Epoch: state.Lease.Epoch, Active: n.mayAct(clock.Now(), *state)}
}

// mayAct reports whether this node may act on the lease now.
func (n *Node) mayAct(now time.Time, state election.State) bool {
	pause := time.Duration(n.options.Settings.OrderPauseMs) * time.Millisecond
	settled := state.Lease.SettledAt(pause, n.options.Settings.FencingEnforced)
	return state.Held && now.Before(state.Lease.ExpiresAt) && !now.Before(settled) && !n.leaseYielder.HasYielded(state.Lease.Epoch)
}
