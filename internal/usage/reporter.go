package usage

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/duty"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// Report is the usage of one window.
type Report struct {
	Window Window
	// Counts holds the number of requests that started in the window, by tenant.
	Counts map[string]int
	// Epoch is the epoch of the lease, the fencing token of the report.
	Epoch int64
}

// Provider accepts reports. A report without an answer may be accepted seconds later.
type Provider interface {
	ReportUsage(ctx context.Context, report Report) error
}

const (
	// closeFraction is the fraction of the report's lateness bound after which a window is
	// closed. Until then nodes that were suspended or disconnected can append their counts;
	// afterwards a successor still has time to take over and report.
	closeFraction = 0.65
	// latestCloseFraction is the fraction after which a window is closed even if an outage of
	// the store has only just ended.
	latestCloseFraction = 0.9
	// backlogDuration is how long after an outage of the store nodes may take to append the
	// counts of the outage: their maximum retry delay plus the append itself.
	backlogDuration = maxRetryDelay + 400*time.Millisecond
	// reporterInterval is the time between two checks for due windows.
	reporterInterval = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 1500 * time.Millisecond
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 400 * time.Millisecond
	// retainedWindows is how many past windows a holder closes and reports, and for how many the
	// partition keeps records.
	retainedWindows = 12
)

// ReporterOptions configure a Reporter.
type ReporterOptions struct {
	Log      store.Log
	Provider Provider
	// WindowLength is the duration of a window; Lateness is how long after its end its report is
	// due.
	WindowLength, Lateness time.Duration
	// Term returns this process's term as holder of the lease.
	Term func() duty.Term
	// Observe is called with the outcome of each report.
	Observe func(outcome string)
	Logger  *zap.Logger
}

// Reporter closes windows and reports them while its process holds the lease.
type Reporter struct {
	options ReporterOptions
	clock   Clock

	epoch  int64
	ledger *Ledger
	// nextOffset is the offset to read from; loaded is set once the partition was read to its end.
	nextOffset int64
	loaded     bool
	// firstWindow is the window in which the term began.
	firstWindow Window
	// reported holds the windows whose report was accepted in this term.
	reported map[Window]bool
	// fenced is set once a report was refused because a later holder has reported.
	fenced bool
	// lastStoreFailure is when a call to the store last failed.
	lastStoreFailure time.Time
	// retryAt is the earliest time of the next report after a failed one.
	retryAt time.Time
}

// NewReporter returns a reporter that has not begun a term.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, clock: NewClock()}
}

// Run closes and reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for pause.For(ctx, reporterInterval) {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.Warn("usage not reported", zap.Int64("epoch", r.epoch), zap.Error(err))
		}
	}
}

func (r *Reporter) step(ctx context.Context) error {
	term := r.options.Term()
	if !term.Active {
		return nil
	}
	if r.ledger == nil || r.epoch != term.Epoch {
		r.beginTerm(term)
	}
	if r.fenced {
		return nil
	}
	if err := r.closeDueWindows(ctx); err != nil {
		r.lastStoreFailure = r.clock.Now()
		return err
	}
	return r.reportClosedWindows(ctx)
}

// beginTerm starts a term. The partition is read from its start, and windows that predecessors
// closed but may not have reported are reported again.
func (r *Reporter) beginTerm(term duty.Term) {
	r.epoch = term.Epoch
	r.ledger, r.nextOffset, r.loaded = NewLedger(retainedWindows), 0, false
	r.firstWindow = WindowAt(r.clock.Now(), r.options.WindowLength)
	r.reported = make(map[Window]bool)
	r.fenced, r.retryAt = false, time.Time{}
}

// latenessFraction returns a fraction of the lateness bound of reports.
func (r *Reporter) latenessFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.options.Lateness))
}

// closeDueWindows closes the windows that are due and reads the partition up to their close
// records.
func (r *Reporter) closeDueWindows(ctx context.Context) error {
	if !r.loaded {
		if err := r.readPartition(ctx); err != nil {
			return err
		}
	}
	for {
		now := r.clock.Now()
		window := max(r.ledger.NextToClose(r.firstWindow), WindowAt(now, r.options.WindowLength)-retainedWindows)
		end := window.End(r.options.WindowLength)
		closeAt := end.Add(r.latenessFraction(closeFraction))
		if backlogEnd := r.lastStoreFailure.Add(backlogDuration); backlogEnd.After(closeAt) {
			closeAt = earlier(backlogEnd, end.Add(r.latenessFraction(latestCloseFraction)))
		}
		if now.Before(closeAt) {
			return nil
		}
		if err := r.closeWindow(ctx, window); err != nil {
			return err
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Reporter) closeWindow(ctx context.Context, window Window) error {
	encoded, err := EncodeClose(window)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.options.Log.Append(callCtx, Partition, [][]byte{encoded}); err != nil {
		return err
	}
	if err := r.readPartition(ctx); err != nil {
		return err
	}
	r.trim(ctx)
	return nil
}

// readPartition reads the partition from nextOffset to its end.
func (r *Reporter) readPartition(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*appendTimeout)
	defer cancel()
	lateBefore := r.ledger.LateRequests()
	reachedEnd, err := store.Scan(callCtx, r.options.Log, Partition, r.nextOffset, func(batch store.Batch) bool {
		for _, record := range batch.Records {
			if err := r.ledger.Apply(record.Offset, record.Value); err != nil {
				r.options.Logger.Error("invalid usage record", zap.Error(err))
			}
		}
		r.nextOffset = batch.Next
		return true
	})
	if newlyLate := r.ledger.LateRequests() - lateBefore; newlyLate > 0 {
		r.options.Logger.Warn("usage came after its window was closed", zap.Int("requests", newlyLate))
	}
	r.loaded = r.loaded || reachedEnd
	return err
}

// trim removes the records that no later holder needs. After a failure they are removed by the
// next call.
func (r *Reporter) trim(ctx context.Context) {
	before := r.ledger.TrimOffset()
	if before == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := r.options.Log.Trim(callCtx, Partition, before); err != nil {
		r.options.Logger.Warn("usage not trimmed", zap.Int64("before", before), zap.Error(err))
	}
}

// reportClosedWindows reports the closed windows, oldest first.
func (r *Reporter) reportClosedWindows(ctx context.Context) error {
	now := r.clock.Now()
	if now.Before(r.retryAt) {
		return nil
	}
	for _, window := range r.ledger.ClosedWindows() {
		expired := now.Sub(window.End(r.options.WindowLength)) > retainedWindows*r.options.WindowLength
		if r.reported[window] || expired || r.reportedByPredecessor(window) {
			continue
		}
		if err := r.reportWindow(ctx, window); err != nil {
			r.retryAt = r.clock.Now().Add(reportRetryDelay)
			return err
		}
	}
	return nil
}

// reportedByPredecessor reports whether a window was due so long before this term began that the
// holder at that time has reported it.
func (r *Reporter) reportedByPredecessor(window Window) bool {
	return window+2 < r.firstWindow-Window(r.options.Lateness/r.options.WindowLength)
}

func (r *Reporter) reportWindow(ctx context.Context, window Window) error {
	counts, _ := r.ledger.Counts(window)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if term := r.options.Term(); !term.Permits(r.epoch) {
		return nil
	}
	err := r.options.Provider.ReportUsage(callCtx, Report{Window: window, Counts: counts, Epoch: r.epoch})
	requests := 0
	for _, count := range counts {
		requests += count
	}
	fields := []zap.Field{
		zap.Int64("window", int64(window)), zap.Int("requests", requests), zap.Int("tenants", len(counts)), zap.Int64("epoch", r.epoch),
		zap.Duration("after_end", r.clock.Now().Sub(window.End(r.options.WindowLength))),
	}
	switch {
	case err == nil:
		r.reported[window] = true
		r.options.Observe("taken")
		r.options.Logger.Info("usage reported", fields...)
	case errors.Is(err, duty.ErrFenced):
		r.fenced = true
		r.options.Observe("fenced")
		r.options.Logger.Warn("usage report fenced off", fields...)
		return nil
	default:
		r.options.Observe("failed")
	}
	return err
}
