package coordinator

import (
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/scheduler"
)

// Reports of items that wait although engines have free slots.
const (
	// waitReportInterval is the time between two reports.
	waitReportInterval = 2 * time.Second
	// minReportedWait is the shortest wait that is reported. Items usually find a free slot at once.
	minReportedWait = time.Second
	// maxExplainedWaits bounds the items of a report whose reasons are determined, and counted by the
	// metrics: each is compared with all engines.
	maxExplainedWaits = 64
	// maxLoggedWaits bounds the items of a report that get a log line of their own.
	maxLoggedWaits = 8
)

// reportWaits logs and counts why items wait although engines have free slots.
func (c *Coordinator) reportWaits() {
	now := clock.Now()
	if now.Sub(c.waitsReportedAt) < waitReportInterval {
		return
	}
	c.waitsReportedAt = now
	report, epoch := c.waits(now)
	if report.Total == 0 {
		return
	}
	byReason := make(map[string]int)
	for _, wait := range report.Longest {
		byReason[wait.Reason.String()]++
		c.options.Observer.ObserveWait(wait.Reason, min(wait.Waited-minReportedWait, waitReportInterval))
	}
	c.options.Logger.Info("items wait", zap.Int("items", report.Total), zap.Int("explained", len(report.Longest)),
		zap.Any("reasons", byReason), zap.Int64("epoch", epoch))
	for _, wait := range report.Longest[:min(maxLoggedWaits, len(report.Longest))] {
		c.options.Logger.Info("item waits", zap.String("job", wait.JobID), zap.String("item", wait.ItemID),
			zap.String("group", wait.Group), zap.Stringer("reason", wait.Reason), zap.Duration("waited", wait.Waited),
			zap.Int("refusals", wait.Refusals), zap.Int("free_slots", wait.FreeSlots), zap.Int64("epoch", epoch))
	}
}

// waits returns the items that have waited for long, and the epoch of the term. It returns none while this node
// does not schedule.
func (c *Coordinator) waits(now time.Time) (scheduler.WaitReport, int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil || c.resigned {
		return scheduler.WaitReport{}, 0
	}
	return c.machine.Waits(now, minReportedWait, maxExplainedWaits), c.termEpoch
}
