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
	// maxListAge is the age of the directory beyond which it is not relayed.
	maxListAge = 700 * time.Millisecond
	// retainedSnapshots is the number of snapshots for which changes are retained; a node that could not read
	// for longer starts with a snapshot.
	retainedSnapshots = 5
)

// runPublisher relays the list of a large fleet while this node reads the heartbeats.
func (l *List) runPublisher(ctx context.Context) {
	for pause.For(ctx, l.checkPause()) {
		if err := errors.Join(l.publishChanges(ctx), l.publishSnapshot(ctx)); err != nil {
			l.options.Logger.Warn("list not relayed", zap.Error(err))
		}
	}
}

// publishChanges appends the current changes on the condition that the relay ends where this node last read
// it: of several publishing nodes only one succeeds, and one that was paused appends nothing.
func (l *List) publishChanges(ctx context.Context) error {
	records, at := l.nextChanges(clock.Now())
	if len(records) == 0 {
		return nil
	}
	payloads, err := encodeRecords(records)
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
		// The other node's records are read next, or with the snapshot that follows them.
		if l.relay.servers == nil {
			l.relay.startAt(condition.End)
		}
		return nil
	}
	if err != nil {
		return err
	}
	for i, record := range records {
		l.relay.handleRecord(clock.Now(), offset+int64(i), record, false)
	}
	return nil
}

// isRelayingLocked reports whether this node is to relay the list now.
func (l *List) isRelayingLocked() bool { return l.readsHeartbeats && l.complete && l.relayCaughtUp }

// nextChanges returns the records to append now and the offset at which to append them.
func (l *List) nextChanges(now time.Time) ([]*relayRecord, int64) {
	shared := l.options.SharedServices()
	if shared == nil || !l.LargeFleet() || l.options.Directory.Age(now) > maxListAge {
		return nil, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isRelayingLocked() {
		return nil, 0
	}
	state := listState{snapshot: l.options.Directory.Snapshot(), shared: shared, heartbeatOffset: l.nextOffset, complete: l.hasVersions, leading: l.options.Leading()}
	return l.relay.nextRecords(now, state), l.relay.end
}

// publishSnapshot appends a snapshot of the relayed list, for nodes that start.
func (l *List) publishSnapshot(ctx context.Context) error {
	records := l.nextSnapshot(clock.Now())
	if len(records) == 0 {
		return nil
	}
	payloads, err := encodeRecords(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	first := int64(-1)
	for call := range slices.Chunk(payloads, maxRecordsPerAppend) {
		offset, err := l.options.Log.Append(ctx, snapshotPartition, call)
		if err != nil {
			return err
		}
		if first < 0 {
			first = offset
		}
	}
	// Nodes that start read from the first retained record.
	return errors.Join(l.options.Log.Trim(ctx, snapshotPartition, first), l.trimChanges(ctx, records[0].Since))
}

func (l *List) nextSnapshot(now time.Time) []*relayRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isRelayingLocked() {
		return nil
	}
	return l.relay.snapshotRecords(now)
}

// trimChanges removes changes older than the retained snapshots; since is where the changes after the
// newest snapshot begin. It must be called by one goroutine only.
func (l *List) trimChanges(ctx context.Context, since int64) error {
	l.snapshotStarts = append(l.snapshotStarts, since)
	if len(l.snapshotStarts) <= retainedSnapshots {
		return nil
	}
	before := l.snapshotStarts[0]
	l.snapshotStarts = l.snapshotStarts[1:]
	return l.options.Log.Trim(ctx, changesPartition, before)
}
