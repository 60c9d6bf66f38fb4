package joblog

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
)

// errCutOff says that the store tells of records that it does not bring.
var errCutOff = errors.New("partition is cut off before its end")

// scan reads a partition once for a job that may stand anywhere, from its start to where satisfied
// holds or the partition ends, and changes nothing of what is followed.
func (p *partition) scan(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	fold, enough, next, gone := batch.NewJobFold(jobID), false, int64(0), false
	ended, err := store.ReadOn(ctx, p.log, p.at, 0, func(read store.Batch) bool {
		gone = gone || read.Next-int64(len(read.Records)) > next
		next = read.Next
		for _, record := range read.Records {
			if _, err := fold.Apply(record.Value); err != nil {
				p.logger.Error("record void", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			}
		}
		enough = satisfied(fold.Job(jobID), false)
		return !enough
	})
	switch {
	case err != nil:
		return err
	case !ended && !enough:
		return errCutOff
	case gone && fold.Job(jobID) == nil:
		// It may have stood among the records that the store has dropped.
		return errMayStandElsewhere
	}
	visit(fold.Job(jobID))
	return nil
}
