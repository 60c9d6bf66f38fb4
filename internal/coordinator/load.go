package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/pause"
	"dalehook/internal/scheduler"
)

// The timing of loads.
const (
	// engineCallTimeout bounds a call to an engine.
	engineCallTimeout = time.Second
	// firstLook is when a load that was taken is first looked at.
	firstLook = 960 * time.Millisecond
	// nextLook is the time between the later looks.
	nextLook = 60 * time.Millisecond
	// loadTimeout bounds the wait for a load.
	loadTimeout = 8 * time.Second
	// unknownPause is how long an order without an answer is left alone.
	unknownPause = 500 * time.Millisecond
)

var errEngineBusy = errors.New("engine has another order under way")

// load carries out an order and waits until the engine has the version.
func (c *Coordinator) load(term context.Context, machine *scheduler.Machine, order scheduler.LoadOrder) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(term, loadTimeout)
	defer cancel()
	version, ordered, err := c.order(ctx, order)
	c.options.Logger.Info("load ordered", zap.String("server", order.Server.ID), zap.String("model", order.Model),
		zap.Int64("version", order.Version), zap.Int64("epoch", order.Epoch), zap.Int64("loaded", version),
		zap.Duration("took", clock.Since(began)), zap.Error(err))
	c.options.Observer.ObserveLoad(err == nil && version >= order.Version)
	c.inputOf(machine, func(now time.Time) {
		machine.HandleLoad(now, order.Server, order.Model, scheduler.LoadResult{Confirmed: ordered && err == nil, Version: version})
	})
}

// order returns the version that the engine has afterwards, 0 when that is not
// known, and whether the engine took the order and was seen to carry it out.
func (c *Coordinator) order(ctx context.Context, order scheduler.LoadOrder) (version int64, ordered bool, err error) {
	state, err := c.state(ctx, order)
	if err != nil {
		return 0, false, err
	}
	if state.Version >= order.Version {
		return state.Version, false, nil
	}
	if state.Busy {
		version, err = c.await(ctx, order, 0, errEngineBusy)
		return version, false, err
	}
	if !c.mayOrder(order) {
		return 0, false, context.Canceled
	}
	call, cancel := context.WithTimeout(ctx, engineCallTimeout)
	answer, err := c.options.Engines.Load(call, order, state.Orders)
	cancel()
	switch answer {
	case OrderHolds:
		return order.Version, false, nil
	case OrderUnderWay:
		version, err = c.await(ctx, order, firstLook, nil)
		return version, true, err
	case OrderUnknown:
		version, err = c.await(ctx, order, unknownPause, err)
		return version, false, err
	}
	return 0, false, err
}

// mayOrder checks the lease once more right before an order leaves.
func (c *Coordinator) mayOrder(order scheduler.LoadOrder) bool {
	clock.Refresh()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machine != nil && !c.resigned && c.lease.Epoch == order.Epoch && clock.Now().Before(c.lease.Until)
}

func (c *Coordinator) state(ctx context.Context, order scheduler.LoadOrder) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return c.options.Engines.State(ctx, order.Server, order.Model)
}

// await looks at the engine until it has the version or is idle without it.
func (c *Coordinator) await(ctx context.Context, order scheduler.LoadOrder, look time.Duration, cause error) (int64, error) {
	for pause.For(ctx, look) {
		state, err := c.state(ctx, order)
		if err != nil {
			return 0, err
		}
		if state.Version >= order.Version || !state.Busy {
			return state.Version, cause
		}
		look = nextLook
	}
	return 0, ctx.Err()
}
