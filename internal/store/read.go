package store

import (
	"context"
	"errors"
	"time"
)

// PageReader is a Log that can limit the size of a read.
type PageReader interface {
	// ReadPage is Read limited to maxBytes; it returns at least one record even if that is larger.
	ReadPage(ctx context.Context, partition Partition, from int64, wait time.Duration, maxBytes int) (Batch, error)
}

// ReadPage reads a page of at most maxBytes, or with the default size of the log if it is not a
// PageReader.
func ReadPage(ctx context.Context, log Log, partition Partition, from int64, wait time.Duration, maxBytes int) (Batch, error) {
	if pageReader, ok := log.(PageReader); ok {
		return pageReader.ReadPage(ctx, partition, from, wait, maxBytes)
	}
	return log.Read(ctx, partition, from, wait)
}

// Scan reads a partition from an offset, or from the first offset after it that was not trimmed,
// until its end or until visit returns false. It also stops at an empty read, even if the store
// reports a later end. It reports whether the end was reached.
func Scan(ctx context.Context, log Log, partition Partition, from int64, visit func(Batch) (more bool)) (reachedEnd bool, err error) {
	for {
		batch, err := log.Read(ctx, partition, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return false, err
		}
		from = batch.Next
		reachedEnd = from >= batch.End
		if !visit(batch) || reachedEnd || len(batch.Records) == 0 {
			return reachedEnd, nil
		}
	}
}

// NewestPage is a page of the newest records of a keyed topic, ordered by key.
type NewestPage struct {
	Records []Record
	// End is the partition's end when the page was read. Pages do not form a snapshot: changes since
	// the first page are read from the first page's End on.
	End int64
	// More is set if further keys follow.
	More bool
}

// NewestPager is a Log that returns the newest records of a keyed topic page by page.
type NewestPager interface {
	// NewestPage returns the page of the keys after the given one, or the first page for "".
	NewestPage(ctx context.Context, topic Topic, after string) (NewestPage, error)
}

// ReadNewestPage reads a page, or all records at once if the log is not a NewestPager.
func ReadNewestPage(ctx context.Context, log Log, topic Topic, after string) (NewestPage, error) {
	if pager, ok := log.(NewestPager); ok {
		return pager.NewestPage(ctx, topic, after)
	}
	records, end, err := log.Newest(ctx, topic)
	return NewestPage{Records: records, End: end}, err
}
