package joblog

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
)

// errIncompleteRead means that the store reported an end of the partition but returned no records
// before it.
var errIncompleteRead = errors.New("store returned no more records before the partition's end")

// scan reads a partition once for a job that may be anywhere, from its start until the condition is
// satisfied or the partition ends. It does not change the followed state.
func (p *partition) scan(ctx context.Context, jobID string, condition Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	fold, done, next, trimmed := batch.NewJobFold(jobID), false, int64(0), false
	ended, err := store.Scan(ctx, p.log, p.at, 0, func(read store.Batch) bool {
		trimmed = trimmed || read.Next-int64(len(read.Records)) > next
		next = read.Next
		for _, record := range read.Records {
			if _, err := fold.Apply(record.Value); err != nil {
				p.logger.Error("invalid record skipped", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			}
		}
		done = condition(fold.Job(jobID), false)
		return !done
	})
	switch {
	case err != nil:
		return err
	case !ended && !done:
		return errIncompleteRead
	case trimmed && fold.Job(jobID) == nil:
		// The job may have been among the trimmed records.
		return errMayBeUnread
	}
	visit(fold.Job(jobID))
	return nil
}
