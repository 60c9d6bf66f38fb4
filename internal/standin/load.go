package standin

import (
	"context"
	"errors"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// errSwapFailed is the load error caused by FaultSwapFail.
var errSwapFailed = errors.New("the swap failed")

// load is a load order in progress.
type load struct {
	order  backend.Order
	cancel context.CancelFunc
	// swapping is set while the swap pauses generation.
	swapping bool
}

// startLoadLocked starts executing an order and cancels an earlier one.
func (e *Engine) startLoadLocked(order backend.Order) {
	e.cancelLoadLocked()
	ctx, cancel := context.WithCancel(e.background.ctx)
	started := &load{order: order, cancel: cancel}
	e.load = started
	e.loadError = ""
	e.background.run(func() {
		defer cancel()
		e.runLoad(ctx, started)
	})
}

func (e *Engine) cancelLoadLocked() {
	if e.load != nil {
		e.load.cancel()
		e.load = nil
	}
}

// runLoad fetches the weights while generation continues, then swaps them in.
func (e *Engine) runLoad(ctx context.Context, l *load) {
	if err := e.fetchWeights(ctx, l.order); err != nil {
		e.finishLoad(l, 0, err)
		return
	}
	e.mu.Lock()
	l.swapping = true
	e.mu.Unlock()
	if !sleep(ctx, e.options.SwapTime, nil) || !e.faults.awaitEnd(ctx, FaultFreeze) {
		return
	}
	if e.faults.consume(FaultSwapFail) {
		e.finishLoad(l, 0, errSwapFailed)
		return
	}
	loaded := l.order.Version
	if e.faults.consume(FaultSwapWrong) {
		loaded = wrongVersion(loaded, e.currentVersion())
	}
	e.finishLoad(l, loaded, nil)
}

// wrongVersion returns a version other than the ordered and the current one.
func wrongVersion(ordered, current cluster.Version) cluster.Version {
	for wrong := ordered - 1; wrong > 0; wrong-- {
		if wrong != current {
			return wrong
		}
	}
	return ordered + 1
}

func (e *Engine) currentVersion() cluster.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// fetchWeights fetches the weights and retries when the store's rate limit is hit.
func (e *Engine) fetchWeights(ctx context.Context, order backend.Order) error {
	if e.weights == nil {
		return nil
	}
	for {
		_, err := e.weights.GetWeights(ctx, order.Model, order.Version)
		var limited *platform.RateLimitedError
		if !errors.As(err, &limited) {
			return err
		}
		if !sleep(ctx, limited.RetryAfter, nil) {
			return ctx.Err()
		}
	}
}

// finishLoad activates the loaded version, or keeps the old one on an error.
func (e *Engine) finishLoad(l *load, loaded cluster.Version, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.signal()
	if e.load != l {
		return
	}
	e.load = nil
	if err != nil {
		e.loadError = err.Error()
		return
	}
	if l.order.Model != e.model {
		// Running requests can't continue on another model.
		e.dropRequestsLocked()
	}
	e.model = l.order.Model
	e.version = loaded
}

// acceptOrder accepts an order if its fence is higher than the last one. The
// order becomes visible in reports after the report lag.
func (e *Engine) acceptOrder(order backend.Order) (accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lastFence.Less(order.Fence) {
		return false
	}
	e.lastFence = order.Fence
	e.startLoadLocked(order)
	e.recordReportLocked()
	return true
}
