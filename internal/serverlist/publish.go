package serverlist

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// publishPace is the time between two looks at what is to be relayed.
	publishPace = 100 * time.Millisecond
	// publishTimeout bounds an append or a trim.
	publishTimeout = 700 * time.Millisecond
	// readAgeLimit is the age of the directory beyond which it is not relayed.
	readAgeLimit = 700 * time.Millisecond
)

// relayWriter appends the relay's records under one lease.
type relayWriter struct {
	list      *List
	publisher publisher
	// end is the relay's end; -1 while it is not known.
	end int64
	// previousFull and lastFull are the offsets of the last two full records.
	previousFull, lastFull int64
}

// runPublisher relays the list while this node coordinates a large fleet.
func (l *List) runPublisher(ctx context.Context) {
	var writer *relayWriter
	for pause.For(ctx, publishPace) {
		epoch, leading := l.options.Leading()
		if !leading || !l.hasVersions() || !l.large() {
			writer = nil
			continue
		}
		if writer == nil || writer.publisher.epoch != epoch {
			writer = &relayWriter{list: l, publisher: publisher{epoch: epoch}, end: -1, previousFull: -1, lastFull: -1}
		}
		if err := writer.step(ctx); err != nil {
			l.options.Logger.Warn("list not relayed", zap.Int64("epoch", epoch), zap.Error(err))
		}
	}
}

// step appends what is to be told now. Records stand in the log on the condition of
// its end, so that a coordinator that was succeeded adds none.
func (w *relayWriter) step(ctx context.Context) error {
	l := w.list
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if w.end < 0 {
		if err := w.findEnd(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	if l.options.Directory.Age(now) > readAgeLimit {
		return nil
	}
	l.mutex.Lock()
	read := l.next
	l.mutex.Unlock()
	record := w.publisher.next(now, l.options.Directory.Snapshot(), read)
	if record == nil {
		return nil
	}
	payload, err := encodeRelay(record)
	if err != nil {
		return err
	}
	offset, err := l.options.Log.AppendAt(ctx, relayPartition, w.end, [][]byte{payload})
	if err != nil {
		// Whether the record stands is not known: begin anew after the true end.
		w.publisher.forget()
		w.end = -1
		return err
	}
	w.end = offset + 1
	if record.Full {
		return w.trim(ctx, offset)
	}
	return nil
}

func (w *relayWriter) findEnd(ctx context.Context) error {
	read, err := w.list.options.Log.Read(ctx, relayPartition, 0, 0)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = w.list.options.Log.Read(ctx, relayPartition, trimmed.First, 0)
	}
	if err != nil {
		return err
	}
	w.end = read.End
	return nil
}

// trim drops what stands before the full record before the last: a reader that begins
// at the first record kept finds a full one.
func (w *relayWriter) trim(ctx context.Context, full int64) error {
	w.previousFull, w.lastFull = w.lastFull, full
	if w.previousFull < 0 {
		return nil
	}
	return w.list.options.Log.Trim(ctx, relayPartition, w.previousFull)
}
