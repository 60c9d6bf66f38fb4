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

// Timing of loads.
const (
	// engineCallTimeout bounds a call to an engine.
	engineCallTimeout = time.Second
	// firstLoadPoll is the delay before the first poll of an accepted load. A load takes about a second,
	// so that earlier polls would find it in progress.
	firstLoadPoll = 960 * time.Millisecond
	// loadPollInterval is the time between later polls.
	loadPollInterval = 60 * time.Millisecond
	// loadTimeout bounds a load, including the wait for its completion, for which its place in the load
	// window is taken.
	loadTimeout = 8 * time.Second
	// unknownOrderDelay is the delay before the first poll after an order without an answer, which the
	// engine may still execute.
	unknownOrderDelay = 500 * time.Millisecond
)

var errEngineBusy = errors.New("engine is executing another order")

// load executes an order and waits until the engine has loaded the version.
func (c *Coordinator) load(termCtx context.Context, machine *scheduler.Machine, order scheduler.LoadOrder) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(termCtx, loadTimeout)
	defer cancel()
	version, ordered, err := c.orderLoad(ctx, order)
	c.options.Logger.Info("load ordered", zap.String("server", order.Server.ID), zap.String("model", order.Model),
		zap.Int64("version", order.Version), zap.Int64("epoch", order.Epoch), zap.Int64("loaded", version),
		zap.Duration("took", clock.Since(began)), zap.Error(err))
	c.options.Observer.ObserveLoad(err == nil && version >= order.Version)
	c.withTermScheduler(machine, func(now time.Time) {
		machine.HandleLoad(now, order.Server, order.Model, scheduler.LoadResult{Confirmed: ordered && err == nil, Version: version})
	})
}

// orderLoad sends a load order if the engine needs one. It returns the engine's version
// afterwards, 0 if unknown, and whether the engine was seen to execute the order.
func (c *Coordinator) orderLoad(ctx context.Context, order scheduler.LoadOrder) (version int64, ordered bool, err error) {
	state, err := c.engineState(ctx, order)
	if err != nil {
		return 0, false, err
	}
	if state.Version >= order.Version {
		return state.Version, false, nil
	}
	if state.Busy {
		version, err = c.awaitVersion(ctx, order, 0, errEngineBusy)
		return version, false, err
	}
	if !c.mayOrder(order) {
		return 0, false, context.Canceled
	}
	call, cancel := context.WithTimeout(ctx, engineCallTimeout)
	answer, err := c.options.Engines.Load(call, order, state.Orders)
	cancel()
	switch answer {
	case OrderSatisfied:
		return order.Version, false, nil
	case OrderInProgress:
		version, err = c.awaitVersion(ctx, order, firstLoadPoll, nil)
		return version, true, err
	case OrderUnknown:
		version, err = c.awaitVersion(ctx, order, unknownOrderDelay, err)
		return version, false, err
	}
	return 0, false, err
}

// mayOrder checks that the lease is still in force, right before an order is sent.
func (c *Coordinator) mayOrder(order scheduler.LoadOrder) bool {
	clock.Refresh()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machine != nil && !c.resigned && c.lease.Epoch == order.Epoch && clock.Now().Before(c.lease.ExpiresAt)
}

func (c *Coordinator) engineState(ctx context.Context, order scheduler.LoadOrder) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return c.options.Engines.State(ctx, order.Server, order.Model)
}

// awaitVersion polls the engine until it has the version or is idle without it.
func (c *Coordinator) awaitVersion(ctx context.Context, order scheduler.LoadOrder, delay time.Duration, cause error) (int64, error) {
	for pause.For(ctx, delay) {
		state, err := c.engineState(ctx, order)
		if err != nil {
			return 0, err
		}
		if state.Version >= order.Version || !state.Busy {
			return state.Version, cause
		}
		delay = loadPollInterval
	}
	return 0, ctx.Err()
}
