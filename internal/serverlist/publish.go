package serverlist

import (
	"context"
	"errors"
	"slices"
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
	// snapshotsOfHistory is the number of snapshots for which changes are kept: a node that could not
	// read for that long begins with a snapshot.
	snapshotsOfHistory = 5
)

// runPublisher relays the list of a large fleet while this node reads the heartbeats.
func (l *List) runPublisher(ctx context.Context) {
	for pause.For(ctx, l.checkPause()) {
		if err := errors.Join(l.publishChanges(ctx), l.publishSnapshot(ctx)); err != nil {
			l.options.Logger.Warn("list not relayed", zap.Error(err))
		}
	}
}

// publishChanges appends what is to be told now on the condition of the relay's end: of
// several nodes that relay one is heard, and one that was held up adds nothing.
func (l *List) publishChanges(ctx context.Context) error {
	records, at := l.nextChanges(clock.Now())
	if len(records) == 0 {
		return nil
	}
	payloads, err := encodeRelays(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	offset, err := l.options.Log.AppendAt(ctx, changesPartition, at, payloads)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var condition *store.ConditionError
	if errors.As(err, &condition) {
		// What another node told is read next, or with the snapshot that follows it.
		if l.relay.servers == nil {
			l.relay.begin(condition.End)
		}
		return nil
	}
	if err != nil {
		return err
	}
	for i, record := range records {
		l.relay.handle(clock.Now(), offset+int64(i), record, false)
	}
	return nil
}

// relaysLocked says whether this node is to relay the list now.
func (l *List) relaysLocked() bool { return l.direct && l.complete && l.relayRead }

// nextChanges returns the records to append now and the end to append them at.
func (l *List) nextChanges(now time.Time) ([]*relayRecord, int64) {
	shared := l.options.Shared()
	if shared == nil || !l.Large() || l.options.Directory.Age(now) > readAgeLimit {
		return nil, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.relaysLocked() {
		return nil, 0
	}
	from := source{snapshot: l.options.Directory.Snapshot(), shared: shared, read: l.next, whole: l.versions, leading: l.options.Leading()}
	return l.relay.tell(now, from), l.relay.end
}

// publishSnapshot appends what was told so far, for nodes that start.
func (l *List) publishSnapshot(ctx context.Context) error {
	records := l.nextSnapshot(clock.Now())
	if len(records) == 0 {
		return nil
	}
	payloads, err := encodeRelays(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	first := int64(-1)
	for call := range slices.Chunk(payloads, recordsOfCall) {
		offset, err := l.options.Log.Append(ctx, snapshotPartition, call)
		if err != nil {
			return err
		}
		if first < 0 {
			first = offset
		}
	}
	// Nodes that start begin at the first record that is kept.
	return errors.Join(l.options.Log.Trim(ctx, snapshotPartition, first), l.trimChanges(ctx, records[0].Since))
}

func (l *List) nextSnapshot(now time.Time) []*relayRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.relaysLocked() {
		return nil
	}
	return l.relay.snapshot(now)
}

// trimChanges drops changes that were told long before the newest snapshot, whose changes begin at
// since. One goroutine calls it.
func (l *List) trimChanges(ctx context.Context, since int64) error {
	l.snapshotsSince = append(l.snapshotsSince, since)
	if len(l.snapshotsSince) <= snapshotsOfHistory {
		return nil
	}
	before := l.snapshotsSince[0]
	l.snapshotsSince = l.snapshotsSince[1:]
	return l.options.Log.Trim(ctx, changesPartition, before)
}
