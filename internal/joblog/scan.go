package joblog

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
)

// scan reads a job once, from where it begins to where satisfied holds or the partition ends,
// and changes nothing of what is followed. A job that the index does not hold may stand
// anywhere.
func (p *partition) scan(ctx context.Context, jobID string, satisfied Condition, visit func(*batch.State)) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	next, _, err := p.index.find(ctx, jobID)
	if err != nil {
		return err
	}
	fold := batch.NewFold()
	for {
		read, err := p.log.Read(ctx, p.at, next, 0)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > next {
			next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range read.Records {
			if _, err := fold.Apply(record.Value); err != nil {
				p.logger.Error("record void", zap.Stringer("partition", p.at), zap.Int64("offset", record.Offset), zap.Error(err))
			}
		}
		next = read.Next
		atEnd := next >= read.End
		if state := fold.Job(jobID); atEnd || satisfied(state, false) {
			visit(state)
			return nil
		}
	}
}
