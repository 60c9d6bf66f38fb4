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
	// Counts holds the requests that began, by tenant.
	Counts map[string]int
	// Epoch is the lease's, which fences the report.
	Epoch int64
}

// Provider takes reports. A report that got no answer may be taken seconds later.
type Provider interface {
	ReportUsage(ctx context.Context, report Report) error
}

const (
	// closeShare is the share of the time for a report after which a window is closed. Until
	// then nodes that stood still or were cut off append what they counted; afterwards a
	// successor still has the time to take over and report.
	closeShare = 0.65
	// latestShare is the share at which a window is closed though an outage of the store has
	// just ended.
	latestShare = 0.9
	// backlogTime is how long after an outage of the store the nodes append what they
	// counted meanwhile: their longest pause between two tries, and the append.
	backlogTime = longestRetry + 400*time.Millisecond
	// reporterTick is the time between two looks at what is due.
	reporterTick = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 1500 * time.Millisecond
	// reportRetry is the time between a report that failed and the next try.
	reportRetry = 400 * time.Millisecond
	// mostWindows is how many windows back a holder closes and reports, and for how many the
	// partition is kept.
	mostWindows = 12
)

// ReporterOptions configure a Reporter.
type ReporterOptions struct {
	Log      store.Log
	Provider Provider
	// Length is that of a window, Lateness the time after its end by which it is due.
	Length, Lateness time.Duration
	// Term returns this process's hold of the lease.
	Term func() duty.Term
	// Observe is told of each report and what came of it.
	Observe func(outcome string)
	Logger  *zap.Logger
}

// Reporter closes windows and reports them while its process holds the lease.
type Reporter struct {
	options ReporterOptions
	clock   Clock

	epoch  int64
	ledger *Ledger
	// next is the offset to read; loaded says that the partition was read to its end.
	next   int64
	loaded bool
	// first is the window in which the term began.
	first Window
	// reported holds the windows that were taken in this term.
	reported map[Window]bool
	// fenced says that a later holder has reported.
	fenced bool
	// outageUntil is when the store last failed.
	outageUntil time.Time
	// retryAt is when a report may be tried again.
	retryAt time.Time
}

// NewReporter returns a reporter without the lease.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, clock: NewClock()}
}

// Run works until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for pause.For(ctx, reporterTick) {
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
		r.begin(term)
	}
	if r.fenced {
		return nil
	}
	if err := r.closeDue(ctx); err != nil {
		r.outageUntil = r.clock.Now()
		return err
	}
	return r.reportClosed(ctx)
}

// begin starts a term: what predecessors closed is read again, and reported again where it
// may not have been.
func (r *Reporter) begin(term duty.Term) {
	r.epoch = term.Epoch
	r.ledger, r.next, r.loaded = NewLedger(mostWindows), 0, false
	r.first = WindowAt(r.clock.Now(), r.options.Length)
	r.reported = make(map[Window]bool)
	r.fenced, r.retryAt = false, time.Time{}
}

// share returns a share of the time that there is for a report.
func (r *Reporter) share(share float64) time.Duration {
	return time.Duration(share * float64(r.options.Lateness))
}

// closeDue closes the windows whose time has come, and reads the partition up to there.
func (r *Reporter) closeDue(ctx context.Context) error {
	if !r.loaded {
		if err := r.read(ctx); err != nil {
			return err
		}
	}
	for {
		now := r.clock.Now()
		window := max(r.ledger.Next(r.first), WindowAt(now, r.options.Length)-mostWindows)
		end := window.End(r.options.Length)
		closeAt := end.Add(r.share(closeShare))
		if settled := r.outageUntil.Add(backlogTime); settled.After(closeAt) {
			closeAt = earlier(settled, end.Add(r.share(latestShare)))
		}
		if now.Before(closeAt) {
			return nil
		}
		if err := r.close(ctx, window); err != nil {
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

func (r *Reporter) close(ctx context.Context, window Window) error {
	encoded, err := EncodeClose(window)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.options.Log.Append(call, Partition, [][]byte{encoded}); err != nil {
		return err
	}
	if err := r.read(ctx); err != nil {
		return err
	}
	r.trim(ctx)
	return nil
}

// read reads the partition to its end.
func (r *Reporter) read(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, 2*appendTimeout)
	defer cancel()
	late := r.ledger.Late()
	ended, err := store.ReadOn(call, r.options.Log, Partition, r.next, func(batch store.Batch) bool {
		for _, record := range batch.Records {
			if err := r.ledger.Apply(record.Offset, record.Value); err != nil {
				r.options.Logger.Error("usage record void", zap.Error(err))
			}
		}
		r.next = batch.Next
		return true
	})
	if came := r.ledger.Late() - late; came > 0 {
		r.options.Logger.Warn("usage came after its window was closed", zap.Int("requests", came))
	}
	r.loaded = r.loaded || ended
	return err
}

// trim drops what no later holder needs. What remains after a failure is dropped next time.
func (r *Reporter) trim(ctx context.Context) {
	before := r.ledger.Needless()
	if before == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := r.options.Log.Trim(call, Partition, before); err != nil {
		r.options.Logger.Warn("usage not trimmed", zap.Int64("before", before), zap.Error(err))
	}
}

// reportClosed reports the closed windows, the oldest first.
func (r *Reporter) reportClosed(ctx context.Context) error {
	now := r.clock.Now()
	if now.Before(r.retryAt) {
		return nil
	}
	for _, window := range r.ledger.Closed() {
		expired := now.Sub(window.End(r.options.Length)) > mostWindows*r.options.Length
		if r.reported[window] || expired || r.handledBefore(window) {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.retryAt = r.clock.Now().Add(reportRetry)
			return err
		}
	}
	return nil
}

// handledBefore says whether a window was due before this term began by so long that its
// holder of the time has reported it.
func (r *Reporter) handledBefore(window Window) bool {
	return window+2 < r.first-Window(r.options.Lateness/r.options.Length)
}

func (r *Reporter) report(ctx context.Context, window Window) error {
	counts, _ := r.ledger.Counts(window)
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if term := r.options.Term(); !term.Permits(r.epoch) {
		return nil
	}
	err := r.options.Provider.ReportUsage(call, Report{Window: window, Counts: counts, Epoch: r.epoch})
	requests := 0
	for _, count := range counts {
		requests += count
	}
	fields := []zap.Field{
		zap.Int64("window", int64(window)), zap.Int("requests", requests), zap.Int("tenants", len(counts)), zap.Int64("epoch", r.epoch),
		zap.Duration("after_end", r.clock.Now().Sub(window.End(r.options.Length))),
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
