package storetest

import (
	"context"
	"sync"
	"time"

	"dalehook/internal/store"
)

const (
	// linkLatency is the latency of an answer, in addition to its transmission time.
	linkLatency = 5 * time.Millisecond
	// maxReadBytes is the size limit of one read; a larger first record is returned alone.
	maxReadBytes = 1 << 20
)

// Link is a store behind a link with limited bandwidth. Answers are transmitted one after another,
// including answers whose caller has given up.
type Link struct {
	store.Log
	bytesPerSecond int

	mutex     sync.Mutex
	busyUntil time.Time
	reads     int
	bytes     int
}

// NewLink returns a Link to a store.
func NewLink(log store.Log, bytesPerSecond int) *Link {
	return &Link{Log: log, bytesPerSecond: bytesPerSecond}
}

var _ store.PageReader = (*Link)(nil)

// Read implements store.Log.
func (l *Link) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return l.read(ctx, partition, from, wait, maxReadBytes)
}

// ReadPage implements store.PageReader.
func (l *Link) ReadPage(ctx context.Context, partition store.Partition, from int64, wait time.Duration, maxBytes int) (store.Batch, error) {
	return l.read(ctx, partition, from, wait, maxBytes)
}

func (l *Link) read(ctx context.Context, partition store.Partition, from int64, wait time.Duration, maxBytes int) (store.Batch, error) {
	batch, err := l.Log.Read(ctx, partition, from, wait)
	if err != nil {
		return batch, err
	}
	batch, size := truncateBatch(batch, maxBytes)
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(l.transmit(size)):
		return batch, nil
	}
}

// truncateBatch returns the part of a batch that one read returns, and its size.
func truncateBatch(batch store.Batch, maxBytes int) (truncated store.Batch, size int) {
	for i, record := range batch.Records {
		if i > 0 && size+len(record.Value) > maxBytes {
			batch.Records, batch.Next = batch.Records[:i], record.Offset
			break
		}
		size += len(record.Value)
	}
	return batch, size
}

// transmit queues an answer of a size and returns the time until it arrives.
func (l *Link) transmit(size int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	l.bytes += size
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.busyUntil.Sub(now) + linkLatency
}

// Traffic returns the number of reads answered so far, and the total size of the answers in bytes.
func (l *Link) Traffic() (reads, bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads, l.bytes
}
