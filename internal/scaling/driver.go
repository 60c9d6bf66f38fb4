package scaling

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/duty"
	"dalehook/internal/pause"
)

// Provider accepts orders. An order without an answer may be carried out seconds later.
type Provider interface {
	OrderServers(ctx context.Context, order Order) error
}

// View is a snapshot of the scalable services, their servers and their demand.
type View struct {
	Services []Service
	// ListedServers holds the number of servers by service and zone, without draining ones.
	ListedServers map[string]map[string]int
	// OpenItems holds the number of open items by service.
	OpenItems map[string]int
}

const (
	// tickInterval is the time between two ticks of the Autoscaler.
	tickInterval = 200 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 1500 * time.Millisecond
)

// DriverOptions configure a Driver.
type DriverOptions struct {
	Provider Provider
	// Term returns this process's term as holder of the lease, and View its current view.
	Term func() duty.Term
	View func() View
	// SlotsPerItem and MaxServers are passed on to the Autoscaler; see Options.
	SlotsPerItem float64
	MaxServers   int
	// Observe is called with the outcome of each order.
	Observe func(outcome string)
	Logger  *zap.Logger
}

// Driver runs an Autoscaler and places its orders while this process holds the lease.
type Driver struct {
	options    DriverOptions
	autoscaler *Autoscaler
	epoch      int64
}

// NewDriver returns a driver that has not begun a term.
func NewDriver(options DriverOptions) *Driver { return &Driver{options: options} }

// Run drives the Autoscaler until the context ends.
func (d *Driver) Run(ctx context.Context) {
	for pause.For(ctx, tickInterval) {
		d.step(ctx)
	}
}

func (d *Driver) step(ctx context.Context) {
	term := d.options.Term()
	if !term.Active {
		return
	}
	if d.autoscaler == nil || d.epoch != term.Epoch {
		d.epoch = term.Epoch
		d.autoscaler = NewAutoscaler(Options{SlotsPerItem: d.options.SlotsPerItem, MaxServers: d.options.MaxServers, Epoch: term.Epoch})
	}
	now := clock.Now()
	view := d.options.View()
	d.autoscaler.HandleServices(view.Services)
	for _, service := range view.Services {
		d.autoscaler.HandleServers(now, service.Name, view.ListedServers[service.Name])
		d.autoscaler.HandleDemand(now, service.Name, view.OpenItems[service.Name])
	}
	for _, order := range d.autoscaler.Tick(now) {
		d.placeOrder(ctx, order, view)
	}
}

func (d *Driver) placeOrder(ctx context.Context, order Order, view View) {
	if term := d.options.Term(); !term.Permits(order.Epoch) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.options.Provider.OrderServers(callCtx, order)
	outcome := OutcomeAccepted
	switch {
	case errors.Is(err, duty.ErrFenced):
		outcome = OutcomeFenced
	case err != nil:
		outcome = OutcomeUnknown
	}
	d.autoscaler.HandleOutcome(clock.Now(), order, outcome)
	d.options.Observe(outcome.String())
	d.options.Logger.Info("servers ordered", zap.String("service", order.Service), zap.String("zone", order.Zone),
		zap.Int("count", order.Count), zap.Int("listed", view.ListedServers[order.Service][order.Zone]),
		zap.Int("open_items", view.OpenItems[order.Service]), zap.Int64("epoch", order.Epoch),
		zap.Stringer("outcome", outcome), zap.Error(err))
}
