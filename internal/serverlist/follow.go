package serverlist

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/follow"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// snapshotReader holds what was read of the partition of snapshots.
type snapshotReader struct {
	// end is the offset to read next.
	end int64
	// records are the last ones read, some of which may belong to an incomplete snapshot.
	records []*relayRecord
}

// runRelayReader follows the relay of a large fleet. In a small fleet it is read, too, until the size
// is known. One read is not enough: the first snapshot may follow it.
func (l *List) runRelayReader(ctx context.Context) {
	pace := follow.Pacer{Max: maxRelayReadDelay, Retry: relayRetryDelay}
	outage := follow.Outage{Logger: l.options.Logger}
	for ctx.Err() == nil {
		if !l.LargeFleet() && !l.needsRelay() {
			pause.For(ctx, smallFleetCheckInterval)
			continue
		}
		err := l.readRelay(ctx)
		l.recordRelayRead(clock.Now(), err)
		outage.Note(err, zap.Stringer("partition", changesPartition))
		pause.For(ctx, pace.Next(err))
	}
}

// needsRelay reports whether the relay is to be read even though the fleet is not known to be large.
func (l *List) needsRelay() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.relayCaughtUp || !l.knowsSizeLocked()
}

// readRelay reads changes if the list is known, else a snapshot. The first reads do not wait for new
// records: what they return may be old.
func (l *List) readRelay(ctx context.Context) error {
	wait := l.relayReadWait(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, wait+relayReadMargin)
	defer cancel()
	l.mutex.Lock()
	known := l.relay.servers != nil
	l.mutex.Unlock()
	if known {
		return l.readChanges(ctx, wait)
	}
	return l.readSnapshots(ctx, wait)
}

// relayReadWait returns how long the store may hold the next read.
func (l *List) relayReadWait(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	dueIn := l.relay.interval + overdueReadWait - now.Sub(l.relay.lastForeignRecordAt)
	switch {
	case !l.relayCaughtUp || l.relayReadableSince.IsZero():
		return 0
	case l.readsHeartbeats || l.relay.servers == nil:
		return l.relay.interval
	}
	return max(dueIn, overdueReadWait)
}

// recordRelayRead records whether a read of the relay succeeded.
func (l *List) recordRelayRead(now time.Time, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.relayReadableSince = time.Time{}
		return
	}
	l.relayReadAt = now
	if l.relayReadableSince.IsZero() {
		l.relayReadableSince = now
	}
}

// readSnapshots reads snapshots until a complete one is found.
func (l *List) readSnapshots(ctx context.Context, wait time.Duration) error {
	l.mutex.Lock()
	from := l.snapshots.end
	l.mutex.Unlock()
	read, err := l.options.Log.Read(ctx, snapshotPartition, from, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = l.options.Log.Read(ctx, snapshotPartition, trimmed.First, 0)
	}
	if err != nil {
		return err
	}
	records := l.decodeRecords(read.Records)
	now := clock.Now()
	l.mutex.Lock()
	l.snapshots.end = read.Next
	for _, read := range records {
		l.snapshots.records = append(l.snapshots.records, read.record)
	}
	rebased := false
	if newest := newestCompleteSnapshot(l.snapshots.records); newest != nil {
		l.snapshots.records = nil
		// This node may have started to relay while the read was held.
		if l.relay.servers == nil && l.relay.loadSnapshot(now, newest, !l.relayCaughtUp) && l.complete && !l.readsHeartbeats {
			rebased = true
			l.options.Directory.Replace(l.relay.listServers())
		}
	}
	noSnapshot := l.relay.servers == nil && !l.relayCaughtUp && read.Next >= read.End
	l.mutex.Unlock()
	if rebased {
		l.options.OnChange()
	}
	if noSnapshot {
		return l.findChangesEnd(ctx)
	}
	return nil
}

// findChangesEnd finds the end of the changes if there is no snapshot: this node may be the one that
// relays.
func (l *List) findChangesEnd(ctx context.Context) error {
	read, err := store.ReadPage(ctx, l.options.Log, changesPartition, 0, 0, 1)
	end := read.End
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		end, err = trimmed.First, nil // an append there is rejected with the actual end
	}
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.relay.startAt(end)
	l.relayCaughtUp, l.relayCaughtUpAt = true, clock.Now()
	return nil
}

func (l *List) readChanges(ctx context.Context, wait time.Duration) error {
	l.mutex.Lock()
	from := l.relay.end
	l.mutex.Unlock()
	read, err := l.options.Log.Read(ctx, changesPartition, from, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		// The next snapshot is newer than what was dropped.
		l.options.Logger.Info("changes of the list missed", zap.Int64("offset", from), zap.Int64("first", trimmed.First))
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.relay.reset()
		return nil
	}
	if err != nil {
		return err
	}
	l.handleChanges(read)
	return nil
}

// offsetRecord is a record of the relay with its offset.
type offsetRecord struct {
	offset int64
	record *relayRecord
}

func (l *List) decodeRecords(stored []store.Record) []offsetRecord {
	records := make([]offsetRecord, 0, len(stored))
	for _, storeRecord := range stored {
		record, err := decodeRecord(storeRecord.Value)
		if err != nil {
			l.options.Logger.Error("invalid relay record", zap.Int64("offset", storeRecord.Offset), zap.Error(err))
			continue
		}
		record.dropInvalid(l.invalid.note)
		records = append(records, offsetRecord{offset: storeRecord.Offset, record: record})
	}
	return records
}

func (l *List) handleChanges(read store.Batch) {
	records := l.decodeRecords(read.Records)
	now := clock.Now()
	l.mutex.Lock()
	var changes []directory.Change
	for _, read := range records {
		changes = append(changes, l.relay.handleRecord(now, read.offset, read.record, !l.relayCaughtUp)...)
	}
	l.relay.end = max(l.relay.end, read.Next)
	if !l.relayCaughtUp && read.Next >= read.End {
		l.relayCaughtUp, l.relayCaughtUpAt = true, now
	}
	var effective []directory.Change
	if l.complete && !l.readsHeartbeats && len(read.Records) > 0 {
		l.nextOffset = l.relay.heartbeatOffset
		l.options.Directory.MarkRead(now)
		effective = l.options.Directory.Apply(changes)
	}
	l.mutex.Unlock()
	if len(effective) > 0 {
		l.logChanges(zap.DebugLevel, effective)
		l.options.OnChange()
	}
}
