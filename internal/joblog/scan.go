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

// scan reads a job once, from where it begins to where satisfied holds or the partition ends,
// and changes nothing of what is followed. A job that the index does not hold may stand
// anywhere, also among records that the store has dropped.
func (p *partition) scan(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	start, known, err := p.index.find(ctx, jobID)
	if err != nil {
		return err
	}
	fold, enough, next, gone := batch.NewFold(), false, start, false
	ended, err := store.ReadOn(ctx, p.log, p.at, start, func(read store.Batch) bool {
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
	case gone && known, fold.Job(jobID) == nil && (gone || known):
		return errMayStandElsewhere
	}
	visit(fold.Job(jobID))
	return nil
}
