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

// snapshotReader keeps what was read of the partition of snapshots.
type snapshotReader struct {
	// end is the offset to read next.
	end int64
	// records are the last ones, of which some may belong to a snapshot that is not whole yet.
	records []*relayRecord
}

// runRelay follows the relay of a large fleet. It is read once in a small one too,
// since a node that starts does not know the fleet's size.
func (l *List) runRelay(ctx context.Context) {
	pace := follow.Pacer{Max: relaySlowest, Retry: relayRetry}
	outage := follow.Outage{Logger: l.options.Logger}
	for ctx.Err() == nil {
		if l.knowsRelay() && !l.Large() {
			pause.For(ctx, smallInterval)
			continue
		}
		err := l.advanceRelay(ctx)
		l.noteContact(clock.Now(), err)
		outage.Note(err, zap.Stringer("partition", changesPartition))
		pause.For(ctx, pace.Next(err))
	}
}

func (l *List) knowsRelay() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.relayRead
}

// advanceRelay reads on: the changes to the list that is known, or a snapshot. The first reads wait
// for nothing: what they bring may be old.
func (l *List) advanceRelay(ctx context.Context) error {
	wait := l.relayWait(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, wait+relayAnswer)
	defer cancel()
	l.mutex.Lock()
	known := l.relay.servers != nil
	l.mutex.Unlock()
	if known {
		return l.readChanges(ctx, wait)
	}
	return l.readSnapshots(ctx, wait)
}

// relayWait is how long the store may hold the next read.
func (l *List) relayWait(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	dueIn := l.relay.interval + overdueWait - now.Sub(l.relay.toldByOthersAt)
	switch {
	case !l.relayRead || l.contactSince.IsZero():
		return 0
	case l.direct || l.relay.servers == nil:
		return l.relay.interval
	}
	return max(dueIn, overdueWait)
}

// noteContact takes whether a read of the relay was answered.
func (l *List) noteContact(now time.Time, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.contactSince = time.Time{}
		return
	}
	l.contactAt = now
	if l.contactSince.IsZero() {
		l.contactSince = now
	}
}

// readSnapshots reads snapshots until one is whole.
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
	if newest := newestSnapshot(l.snapshots.records); newest != nil {
		l.snapshots.records = nil
		// This node may have begun to relay while the read was held.
		if l.relay.servers == nil && l.relay.base(now, newest, !l.relayRead) && l.complete && !l.direct {
			rebased = true
			l.options.Directory.Replace(l.relay.list())
		}
	}
	without := l.relay.servers == nil && !l.relayRead && read.Next >= read.End
	l.mutex.Unlock()
	if rebased {
		l.options.Changed()
	}
	if without {
		return l.findEnd(ctx)
	}
	return nil
}

// findEnd learns where the changes end, where no snapshot is there: this node may be the one that
// relays.
func (l *List) findEnd(ctx context.Context) error {
	read, err := store.ReadPage(ctx, l.options.Log, changesPartition, 0, 0, 1)
	end := read.End
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		end, err = trimmed.First, nil // an append at that end is told the right one
	}
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.relay.begin(end)
	l.relayRead, l.relayReadAt = true, clock.Now()
	return nil
}

func (l *List) readChanges(ctx context.Context, wait time.Duration) error {
	l.mutex.Lock()
	from := l.relay.end
	l.mutex.Unlock()
	read, err := l.options.Log.Read(ctx, changesPartition, from, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		// The next snapshot is younger than what was dropped.
		l.options.Logger.Info("changes of the list missed", zap.Int64("offset", from), zap.Int64("first", trimmed.First))
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.relay.restart()
		return nil
	}
	if err != nil {
		return err
	}
	l.handleChanges(read)
	return nil
}

// readRecord is a record of the relay with its offset.
type readRecord struct {
	offset int64
	record *relayRecord
}

func (l *List) decodeRecords(stored []store.Record) []readRecord {
	records := make([]readRecord, 0, len(stored))
	for _, one := range stored {
		record, err := decodeRelay(one.Value)
		if err != nil {
			l.options.Logger.Error("relay void", zap.Int64("offset", one.Offset), zap.Error(err))
			continue
		}
		records = append(records, readRecord{offset: one.Offset, record: record})
	}
	return records
}

func (l *List) handleChanges(read store.Batch) {
	records := l.decodeRecords(read.Records)
	now := clock.Now()
	l.mutex.Lock()
	var changes []directory.Change
	for _, read := range records {
		changes = append(changes, l.relay.handle(now, read.offset, read.record, !l.relayRead)...)
	}
	l.relay.end = max(l.relay.end, read.Next)
	if !l.relayRead && read.Next >= read.End {
		l.relayRead, l.relayReadAt = true, now
	}
	var effective []directory.Change
	if l.complete && !l.direct && len(read.Records) > 0 {
		l.next = l.relay.next
		l.options.Directory.NoteRead(now)
		effective = l.options.Directory.Apply(changes)
	}
	l.mutex.Unlock()
	if len(effective) > 0 {
		l.log(zap.DebugLevel, effective)
		l.options.Changed()
	}
}
