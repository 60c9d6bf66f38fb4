package storetest

import (
	"context"
	"sync"
	"time"

	"dalehook/internal/store"
)

const (
	// linkWay is how long an answer is under way beside its size.
	linkWay = 5 * time.Millisecond
	// readBytes is what the store hands out by one read, but for a larger first record.
	readBytes = 1 << 20
)

// Link is a store as a node sees it behind a thin link: answers go over it one after another, also
// those that nobody waits for any more.
type Link struct {
	store.Log
	bytesPerSecond int

	mutex  sync.Mutex
	freeAt time.Time
	reads  int
	bytes  int
}

// NewLink returns a store behind a link.
func NewLink(log store.Log, bytesPerSecond int) *Link {
	return &Link{Log: log, bytesPerSecond: bytesPerSecond}
}

var _ store.PageReader = (*Link)(nil)

// Read implements store.Log.
func (l *Link) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return l.carry(ctx, at, from, wait, readBytes)
}

// ReadPage implements store.PageReader.
func (l *Link) ReadPage(ctx context.Context, at store.Partition, from int64, wait time.Duration, mostBytes int) (store.Batch, error) {
	return l.carry(ctx, at, from, wait, mostBytes)
}

func (l *Link) carry(ctx context.Context, at store.Partition, from int64, wait time.Duration, mostBytes int) (store.Batch, error) {
	read, err := l.Log.Read(ctx, at, from, wait)
	if err != nil {
		return read, err
	}
	read, size := cutRead(read, mostBytes)
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(l.send(size)):
		return read, nil
	}
}

// cutRead returns the part of an answer that one read hands out, and its size.
func cutRead(read store.Batch, mostBytes int) (cut store.Batch, size int) {
	for i, record := range read.Records {
		if i > 0 && size+len(record.Value) > mostBytes {
			read.Records, read.Next = read.Records[:i], record.Offset
			break
		}
		size += len(record.Value)
	}
	return read, size
}

// send returns how long an answer of a size is under way.
func (l *Link) send(size int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	l.bytes += size
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt.Sub(now) + linkWay
}

// Sent returns how many answers went over the link, and their bytes.
func (l *Link) Sent() (reads, bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads, l.bytes
}
