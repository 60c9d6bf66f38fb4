package standin

import (
	"context"
	"errors"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// errSwapFailed is the load error of the fault swap_fail.
var errSwapFailed = errors.New("the swap failed")

// load is one load order that is being carried out.
type load struct {
	order  backend.Order
	cancel context.CancelFunc
	// swapping is set while nothing is generated.
	swapping bool
}

// beginLoadLocked starts to carry out an order; an earlier one is given up.
func (e *Engine) beginLoadLocked(order backend.Order) {
	e.stopLoadLocked()
	ctx, cancel := context.WithCancel(e.background.ctx)
	begun := &load{order: order, cancel: cancel}
	e.load = begun
	e.loadError = ""
	e.background.run(func() {
		defer cancel()
		e.runLoad(ctx, begun)
	})
}

func (e *Engine) stopLoadLocked() {
	if e.load != nil {
		e.load.cancel()
		e.load = nil
	}
}

// runLoad fetches the weights while the engine goes on, then swaps them in.
func (e *Engine) runLoad(ctx context.Context, l *load) {
	if err := e.fetchWeights(ctx, l.order); err != nil {
		e.endLoad(l, 0, err)
		return
	}
	e.mu.Lock()
	l.swapping = true
	e.mu.Unlock()
	if !sleep(ctx, e.options.SwapTime, nil) || !e.faults.waitOver(ctx, FaultFreeze) {
		return
	}
	if e.faults.take(FaultSwapFail) {
		e.endLoad(l, 0, errSwapFailed)
		return
	}
	loaded := l.order.Version
	if e.faults.take(FaultSwapWrong) {
		loaded = wrongVersion(loaded, e.currentVersion())
	}
	e.endLoad(l, loaded, nil)
}

// wrongVersion returns a version that is neither the ordered nor the current one.
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

// fetchWeights gets the weights, and waits where the store asks for it.
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

// endLoad puts the loaded version in force, or keeps the old one on an error.
func (e *Engine) endLoad(l *load, loaded cluster.Version, err error) {
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
		// Another model can't go on with what runs.
		e.loseRequestsLocked()
	}
	e.model = l.order.Model
	e.version = loaded
}

// judgeOrder takes an order whose fence is higher than the last. The report
// shows it at the earliest after its lag.
func (e *Engine) judgeOrder(order backend.Order) (accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lastFence.Less(order.Fence) {
		return false
	}
	e.lastFence = order.Fence
	e.beginLoadLocked(order)
	e.noteReportLocked()
	return true
}
