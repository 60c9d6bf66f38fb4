package store

import (
	"context"
	"errors"
	"time"
)

// PageReader is a Log that can be asked for fewer bytes than it hands out by itself.
type PageReader interface {
	// ReadPage is Read of records of at most so many bytes, or of one.
	ReadPage(ctx context.Context, partition Partition, from int64, wait time.Duration, mostBytes int) (Batch, error)
}

// ReadPage reads a page of at most so many bytes, or what the log hands out by itself if it can
// not be asked for less.
func ReadPage(ctx context.Context, log Log, partition Partition, from int64, wait time.Duration, mostBytes int) (Batch, error) {
	if pages, ok := log.(PageReader); ok {
		return pages.ReadPage(ctx, partition, from, wait, mostBytes)
	}
	return log.Read(ctx, partition, from, wait)
}

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

// NewestPage is a part of the newest records of a keyed topic, in the order of their keys.
type NewestPage struct {
	Records []Record
	// End is the partition's end when the page was made. Pages do not form a snapshot: what changed
	// since the first one is read from its end.
	End int64
	// More says that records of other keys follow.
	More bool
}

// NewestPager is a Log that hands out the newest records of a keyed topic page by page.
type NewestPager interface {
	// NewestPage returns the records of the keys after one, or the first ones for an empty key.
	NewestPage(ctx context.Context, topic Topic, after string) (NewestPage, error)
}

// ReadNewestPage reads a page, or all records at once from a log that has no pages.
func ReadNewestPage(ctx context.Context, log Log, topic Topic, after string) (NewestPage, error) {
	if pages, ok := log.(NewestPager); ok {
		return pages.NewestPage(ctx, topic, after)
	}
	records, end, err := log.Newest(ctx, topic)
	return NewestPage{Records: records, End: end}, err
}
