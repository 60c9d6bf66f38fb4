package crashwatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/follow"
	"dalehook/internal/pause"
	"dalehook/internal/quarantine"
	"dalehook/internal/store"
)

// StoreProxy reads and writes the topic through other nodes.
type StoreProxy struct {
	// Read reads from an offset; below 0 it reads the newest records. It may be nil.
	Read func(ctx context.Context, from int64) (follow.RelayedRecords, error)
	// Put adds records. It may be nil.
	Put func(ctx context.Context, records []store.Record) error
}

// Timing and limits of sharing findings.
const (
	// minReadInterval is the shortest time between two reads of other nodes' findings. A crash has
	// to be known to all nodes within two seconds.
	minReadInterval = 20 * time.Millisecond
	// longPollWait is how long the store may hold a read that finds nothing. A dead connection is
	// noticed that much later.
	longPollWait = time.Second
	// batchDelay is how long records are collected for one write.
	batchDelay = 10 * time.Millisecond
	// putTimeout bounds a direct write, relayedPutTimeout one through another node.
	putTimeout        = 500 * time.Millisecond
	relayedPutTimeout = 800 * time.Millisecond
	putRetryDelay     = 150 * time.Millisecond
	// maxUnsent bounds the records that wait for the store; the oldest are dropped.
	maxUnsent = 4096
	// maxRecordsPerPut bounds the records of one write, at about 150 bytes each.
	maxRecordsPerPut = 256
)

// follow reads the findings of other nodes until the context ends.
func (t *Tracker) follow(ctx context.Context) {
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: t.options.Log, Topic: store.TopicQuarantine, MinInterval: minReadInterval, Wait: longPollWait, LargeTopic: true, Logger: t.options.Logger,
		Replace: t.replaceAll, Change: t.applyChanges, OnRead: func(int64, bool, time.Time) {}, ReadRelayed: t.options.StoreProxy.Read,
	})
}

// Loaded reports whether the findings of other nodes have been read once.
func (t *Tracker) Loaded() bool { return t.loaded.Load() }

// replaceAll rebuilds the ledger from all records. Findings of this node that are not written yet
// are kept.
func (t *Tracker) replaceAll(records []store.Record) {
	removesExpired := t.options.RemovesExpired()
	now := clock.Now()
	t.mutex.Lock()
	before := t.ledger
	t.ledger = quarantine.NewLedger(t.options.Node)
	t.applyRecordsLocked(now, records)
	for _, unsent := range t.unsent {
		t.applyFindingLocked(unsent)
	}
	t.ledger.MergeTimes(before)
	t.expireLocked(now, removesExpired)
	t.updateLocked()
	t.mutex.Unlock()
	t.loaded.Store(true)
	t.signal()
}

func (t *Tracker) applyChanges(records []store.Record) {
	now := clock.Now()
	t.mutex.Lock()
	t.applyRecordsLocked(now, records)
	t.updateLocked()
	t.mutex.Unlock()
	t.signal()
}

// applyRecordsLocked applies records that were read at now.
func (t *Tracker) applyRecordsLocked(now time.Time, records []store.Record) {
	for _, record := range records {
		read, err := decodeFinding(now, record)
		if err != nil {
			t.options.Logger.Error("invalid record", zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		t.applyFindingLocked(read)
	}
}

func (t *Tracker) applyFindingLocked(found finding) {
	end := found.end
	switch {
	case isConfirmation(end) && found.retracted:
		t.ledger.Unconfirm(end.Fingerprint)
	case isConfirmation(end):
		t.ledger.Confirm(end.Fingerprint)
	case found.retracted:
		t.ledger.Remove(end.Fingerprint, end.Server)
	default:
		t.ledger.Add(end)
		// The node whose finding caused the eviction removes the evicted ends from the store.
		t.ledger.TakeEvicted()
	}
}

// publish writes this node's findings to the store until the context ends.
func (t *Tracker) publish(ctx context.Context) {
	outage := follow.Outage{Logger: t.options.Logger}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.unsentWake:
		}
		if !pause.For(ctx, batchDelay) {
			return
		}
		t.publishUnsent(ctx, &outage)
	}
}

// publishUnsent writes until nothing is left to write.
func (t *Tracker) publishUnsent(ctx context.Context, outage *follow.Outage) {
	for findings := t.nextUnsent(); len(findings) > 0; findings = t.nextUnsent() {
		err := t.put(ctx, t.encode(findings))
		outage.Note(err, zap.Stringer("topic", store.TopicQuarantine), zap.Int("records", len(findings)))
		if err == nil {
			t.removeSent(len(findings))
			continue
		}
		if !pause.For(ctx, putRetryDelay) {
			return
		}
	}
}

// encode returns the records of findings, with their current ages.
func (t *Tracker) encode(findings []finding) []store.Record {
	now, timeOfDay := clock.Now(), t.options.TimeOfDay()
	records := make([]store.Record, 0, len(findings))
	for _, found := range findings {
		record, err := encodeFinding(found, sender{node: t.options.Node, now: now, timeOfDay: timeOfDay})
		if err != nil {
			t.options.Logger.Error("server end not shared", zap.String("server", found.end.Server.ID), zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	return records
}

// nextUnsent returns the findings for the next write, oldest first.
func (t *Tracker) nextUnsent() []finding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if over := len(t.unsent) - maxUnsent; over > 0 {
		t.options.Logger.Error("server ends dropped before they were shared", zap.Int("records", over))
		t.unsent = slices.Clone(t.unsent[over:])
	}
	return slices.Clone(t.unsent[:min(len(t.unsent), maxRecordsPerPut)])
}

func (t *Tracker) removeSent(count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unsent = slices.Clone(t.unsent[count:])
}

// put writes records; repeating a write is harmless. If the store refuses this node, the write goes
// through another node.
func (t *Tracker) put(ctx context.Context, records []store.Record) error {
	call, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err := t.options.Log.PutKeyed(call, store.TopicQuarantine, records)
	if err == nil || t.options.StoreProxy.Put == nil {
		return err
	}
	relayed, cancelRelayed := context.WithTimeout(ctx, relayedPutTimeout)
	defer cancelRelayed()
	if relayErr := t.options.StoreProxy.Put(relayed, records); relayErr != nil {
		return errors.Join(err, relayErr)
	}
	return nil
}

// addEndsLocked adds the end of a server to each request, and queues it for the store.
func (t *Tracker) addEndsLocked(server directory.Incarnation, requests map[quarantine.Fingerprint]InFlightRequest) (added []quarantine.Fingerprint) {
	for fingerprint, request := range requests {
		end := quarantine.End{Fingerprint: fingerprint, Server: server, At: clock.Now(), Progressed: request.Progressed}
		if !t.ledger.Add(end) {
			continue
		}
		t.retractLocked(t.ledger.TakeEvicted())
		added = append(added, fingerprint)
		t.enqueueLocked(end)
	}
	return added
}

// retractLocked removes ends from the store.
func (t *Tracker) retractLocked(ends []quarantine.End) {
	for _, end := range ends {
		t.enqueueRetractionLocked(end)
	}
}

// enqueueLocked queues ends for the store.
func (t *Tracker) enqueueLocked(ends ...quarantine.End) {
	for _, end := range ends {
		t.unsent = append(t.unsent, finding{end: end})
	}
}

// enqueueRetractionLocked queues the retraction of an end.
func (t *Tracker) enqueueRetractionLocked(end quarantine.End) {
	t.unsent = append(t.unsent, finding{end: end, retracted: true})
}
