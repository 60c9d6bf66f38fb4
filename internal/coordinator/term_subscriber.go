package coordinator

import (
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/joblog"
	"dalehook/internal/scheduler"
	"dalehook/internal/store"
)

// termSubscriber passes job changes to the scheduler of one term.
type termSubscriber struct {
	coordinator *Coordinator
	machine     *scheduler.Machine
}

// HandleChange implements joblog.Subscriber.
func (f *termSubscriber) HandleChange(partition int, change batch.Change) {
	f.coordinator.withTermScheduler(f.machine, func(now time.Time) {
		if change.Accepted != nil && !f.coordinator.options.JobLogs.Indexed(change.Accepted.Job.ID) {
			f.coordinator.indexJob(partition, change.Accepted)
		}
		switch {
		case change.EarlyEnd != nil:
			f.coordinator.indexEarlyEnd(partition, change.EarlyEnd)
		case change.Accepted != nil && change.Accepted.EndedFirst:
			f.coordinator.options.Logger.Info("job not taken up: its end was read first", zap.String("job", change.Accepted.Job.ID),
				zap.Int("partition", partition), zap.Int64("start", change.Accepted.Start), zap.Int64("epoch", f.coordinator.termEpoch))
		case change.Accepted != nil && !change.Accepted.Ended:
			f.coordinator.options.Logger.Info("job taken up", zap.String("job", change.Accepted.Job.ID),
				zap.Int("partition", partition), zap.Int("results", len(change.Accepted.Results)),
				zap.Int64("epoch", f.coordinator.termEpoch))
			f.machine.HandleJob(now, partition, onSchedulerClock(now, change.Accepted.Job), change.Accepted.Results)
		case change.Result != nil:
			f.machine.HandleResult(now, change.Result)
		case change.Ended != nil:
			f.machine.HandleJobEnd(now, change.Ended.Job.ID)
		}
	})
}

// onSchedulerClock returns a job with its time of acceptance on the scheduler's clock, which is ahead of the
// time of day by the time for which this machine was suspended. It changes only a copy, since other readers
// share the job.
func onSchedulerClock(now time.Time, accepted *batch.Job) *batch.Job {
	if accepted.AcceptedAt == 0 {
		return accepted
	}
	translated := *accepted
	translated.AcceptedAt += now.UnixMilli() - clock.TimeOfDay().UnixMilli()
	return &translated
}

// HandleOpenFrom implements joblog.Subscriber.
func (f *termSubscriber) HandleOpenFrom(partition int, openFrom int64) {
	f.coordinator.withTermScheduler(f.machine, func(time.Time) {
		f.coordinator.appendIndexEntry(partition, joblog.IndexEntry{OpenFrom: openFrom})
	})
}

// HandleCaughtUp implements joblog.Subscriber.
func (f *termSubscriber) HandleCaughtUp(partition int, requestedAt time.Time) {
	f.coordinator.withTermScheduler(f.machine, func(now time.Time) { f.machine.HandlePartitionRead(now, partition, requestedAt) })
}

// indexJob appends the index entry that tells readers where a job begins. The caller holds the mutex.
func (c *Coordinator) indexJob(partition int, accepted *batch.State) {
	c.appendIndexEntry(partition, joblog.IndexEntry{JobID: accepted.Job.ID, Start: accepted.Start})
}

// indexEarlyEnd appends the index entry that tells the next coordinators of the end of a job that may still come. The
// caller holds the mutex.
func (c *Coordinator) indexEarlyEnd(partition int, end *batch.EarlyEnd) {
	if c.options.JobLogs.IndexedEarlyEnd(end.Key) {
		return
	}
	c.options.Logger.Info("job ended before it was read", zap.String("job", end.Key.ID), zap.String("tenant", end.Key.Tenant),
		zap.Int("partition", partition), zap.Int64("offset", end.Offset), zap.Int64("epoch", c.termEpoch))
	c.appendIndexEntry(partition, joblog.IndexEntry{EarlyEnd: &end.Key, Start: end.Offset})
}

func (c *Coordinator) appendIndexEntry(partition int, entry joblog.IndexEntry) {
	record, err := joblog.EncodeIndexEntry(entry)
	if err != nil {
		c.options.Logger.Error("index entry lost", zap.Int("partition", partition), zap.Error(err))
		return
	}
	c.writer.add(store.Partition{Topic: store.TopicJobIndex, Number: partition}, [][]byte{record})
}
