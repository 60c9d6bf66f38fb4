package serverlist

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// publishTimeout bounds an append or a trim.
	publishTimeout = 700 * time.Millisecond
	// readAgeLimit is the age of the directory beyond which it is not relayed.
	readAgeLimit = 700 * time.Millisecond
)

// runPublisher relays the list of a large fleet while this node reads the heartbeats.
func (l *List) runPublisher(ctx context.Context) {
	for pause.For(ctx, l.checkPause()) {
		if err := l.publish(ctx); err != nil {
			l.options.Logger.Warn("list not relayed", zap.Error(err))
		}
	}
}

// publish appends what is to be told now on the condition of the relay's end: of
// several nodes that relay one is heard, and one that was held up adds nothing.
func (l *List) publish(ctx context.Context) error {
	record, at := l.nextRecord(clock.Now())
	if record == nil {
		return nil
	}
	payload, err := encodeRelay(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	offset, err := l.options.Log.AppendAt(ctx, relayPartition, at, [][]byte{payload})
	var condition *store.ConditionError
	if errors.As(err, &condition) {
		return nil // the record of another node is read next
	}
	if err != nil {
		return err
	}
	l.mutex.Lock()
	l.relay.handle(clock.Now(), offset, record, false)
	l.mutex.Unlock()
	if record.Full {
		// Readers begin at the first record kept, which is a full one.
		return l.options.Log.Trim(ctx, relayPartition, offset)
	}
	return nil
}

// nextRecord returns the record to append now and the end to append it at.
func (l *List) nextRecord(now time.Time) (*relayRecord, int64) {
	if !l.large() || l.options.Directory.Age(now) > readAgeLimit {
		return nil, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.direct || !l.complete || !l.relayRead {
		return nil, 0
	}
	return l.relay.tell(now, l.options.Directory.Snapshot(), l.next), l.relay.end
}
