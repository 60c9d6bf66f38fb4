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

// Provider takes orders. One that got no answer may be carried out seconds later.
type Provider interface {
	OrderServers(ctx context.Context, order Order) error
}

// View is what is known of the services at a time.
type View struct {
	Services []Service
	// Listed holds the number of servers by service and zone, without those that leave.
	Listed map[string]map[string]int
	// Open holds the number of open items by service.
	Open map[string]int
}

const (
	// tickInterval is the time between two decisions.
	tickInterval = 200 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 1500 * time.Millisecond
)

// DriverOptions configure a Driver.
type DriverOptions struct {
	Provider Provider
	// Term returns this process's hold of the lease, View what it knows.
	Term func() duty.Term
	View func() View
	// Headroom and Most are those of Options.
	Headroom float64
	Most     int
	// Observe is told of each order and what came of it.
	Observe func(outcome string)
	Logger  *zap.Logger
}

// Driver gives the orders of a Machine while this process holds the lease.
type Driver struct {
	options DriverOptions
	machine *Machine
	epoch   int64
}

// NewDriver returns a driver without the lease.
func NewDriver(options DriverOptions) *Driver { return &Driver{options: options} }

// Run works until the context ends.
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
	if d.machine == nil || d.epoch != term.Epoch {
		d.epoch = term.Epoch
		d.machine = NewMachine(Options{Headroom: d.options.Headroom, Most: d.options.Most, Epoch: term.Epoch})
	}
	now := clock.Now()
	view := d.options.View()
	d.machine.HandleServices(view.Services)
	for _, known := range view.Services {
		d.machine.HandleServers(now, known.Name, view.Listed[known.Name])
		d.machine.HandleDemand(now, known.Name, view.Open[known.Name])
	}
	for _, order := range d.machine.Tick(now) {
		d.order(ctx, order, view)
	}
}

func (d *Driver) order(ctx context.Context, order Order, view View) {
	if term := d.options.Term(); !term.Permits(order.Epoch) {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.options.Provider.OrderServers(call, order)
	outcome := OutcomeTaken
	switch {
	case errors.Is(err, duty.ErrFenced):
		outcome = OutcomeFenced
	case err != nil:
		outcome = OutcomeUnknown
	}
	d.machine.HandleOutcome(clock.Now(), order, outcome)
	d.options.Observe(outcome.String())
	d.options.Logger.Info("servers ordered", zap.String("service", order.Service), zap.String("zone", order.Zone),
		zap.Int("count", order.Count), zap.Int("listed", view.Listed[order.Service][order.Zone]),
		zap.Int("open_items", view.Open[order.Service]), zap.Int64("epoch", order.Epoch),
		zap.Stringer("outcome", outcome), zap.Error(err))
}
