package store

import (
	"context"
	"errors"
)

// ReadOn reads a partition from an offset, or from the first one that is kept, to its end, or
// until visit returns false. A store that has nothing though it tells a later end is not asked
// again. It tells whether the end was reached.
func ReadOn(ctx context.Context, log Log, at Partition, from int64, visit func(Batch) (more bool)) (ended bool, err error) {
	for {
		read, err := log.Read(ctx, at, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return false, err
		}
		from = read.Next
		ended = from >= read.End
		if !visit(read) || ended || len(read.Records) == 0 {
			return ended, nil
		}
	}
}
