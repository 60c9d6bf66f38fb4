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

// Relay reads and writes the topic by way of other nodes.
type Relay struct {
	// Read reads from an offset on; below 0 it reads the newest records. It may be nil.
	Read func(ctx context.Context, from int64) (follow.Relay, error)
	// Put adds records. It may be nil.
	Put func(ctx context.Context, records []store.Record) error
}

// The sharing of what nodes find.
const (
	// readPace is the shortest time between two reads of what other nodes found. A crash is to
	// be known everywhere within two seconds.
	readPace = 20 * time.Millisecond
	// readWait is how long the store may hold a read that finds nothing. A connection that has
	// gone silent is noticed that much later.
	readWait = time.Second
	// gatherTime is how long records are gathered for one call.
	gatherTime = 10 * time.Millisecond
	// putTimeout bounds a call, relayedPutTimeout one by way of another node.
	putTimeout        = 500 * time.Millisecond
	relayedPutTimeout = 800 * time.Millisecond
	putRetry          = 150 * time.Millisecond
	// mostUnsent bounds the records that wait for the store; the oldest are dropped.
	mostUnsent = 4096
	// mostAtOnce bounds the records of one call, some 150 bytes each.
	mostAtOnce = 256
)

// follow learns what other nodes found.
func (t *Tracker) follow(ctx context.Context) {
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: t.options.Log, Topic: store.TopicQuarantine, MinInterval: readPace, Wait: readWait, LargeTopic: true, Logger: t.options.Logger,
		Replace: t.replace, Change: t.change, OnRead: func(int64, bool, time.Time) {}, ReadRelayed: t.options.Relay.Read,
	})
}

// Loaded says whether what other nodes found has been read.
func (t *Tracker) Loaded() bool { return t.loaded.Load() }

// replace takes all that is known. What this node found and could not write yet stays.
func (t *Tracker) replace(records []store.Record) {
	tidies := t.options.Tidies()
	now := clock.Now()
	t.mutex.Lock()
	before := t.ledger
	t.ledger = quarantine.NewLedger(t.options.Node)
	clear(t.unshared)
	t.readLocked(now, records)
	for _, unsent := range t.unsent {
		t.applyLocked(unsent)
	}
	t.ledger.TakeTimes(before)
	t.forgetLocked(now, tidies)
	t.updateLocked()
	t.mutex.Unlock()
	t.loaded.Store(true)
	t.signal()
}

func (t *Tracker) change(records []store.Record) {
	now := clock.Now()
	t.mutex.Lock()
	t.readLocked(now, records)
	t.updateLocked()
	t.mutex.Unlock()
	t.signal()
}

// readLocked takes records that were read at a time.
func (t *Tracker) readLocked(now time.Time, records []store.Record) {
	for _, record := range records {
		read, err := decodeFinding(now, record)
		if err != nil {
			t.options.Logger.Error("record void", zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		t.applyLocked(read)
	}
}

func (t *Tracker) applyLocked(found finding) {
	end := found.end
	switch {
	case isVerdict(end) && found.takenBack:
		t.ledger.Unconfirm(end.Fingerprint)
	case isVerdict(end):
		t.ledger.Confirm(end.Fingerprint)
	case found.takenBack:
		t.ledger.Remove(end.Fingerprint, end.Server)
	default:
		t.ledger.Add(end)
		// The node that found what takes the place removes it from the store.
		t.ledger.TakeEvicted()
	}
}

// publish writes what this node finds to the store until the context ends.
func (t *Tracker) publish(ctx context.Context) {
	outage := follow.Outage{Logger: t.options.Logger}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.unsentWake:
		}
		if !pause.For(ctx, gatherTime) {
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
			t.sent(len(findings))
			continue
		}
		if !pause.For(ctx, putRetry) {
			return
		}
	}
}

// encode returns the records of findings, with the ages that these have now.
func (t *Tracker) encode(findings []finding) []store.Record {
	now, timeOfDay := clock.Now(), t.options.TimeOfDay()
	records := make([]store.Record, 0, len(findings))
	for _, found := range findings {
		record, err := encodeFinding(found, sender{node: t.options.Node, now: now, timeOfDay: timeOfDay})
		if err != nil {
			t.options.Logger.Error("end of a server not shared", zap.String("server", found.end.Server.ID), zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	return records
}

// nextUnsent returns what the next call is to write, the oldest first.
func (t *Tracker) nextUnsent() []finding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if over := len(t.unsent) - mostUnsent; over > 0 {
		t.options.Logger.Error("ends of servers not shared", zap.Int("records", over))
		t.unsent = slices.Clone(t.unsent[over:])
	}
	return slices.Clone(t.unsent[:min(len(t.unsent), mostAtOnce)])
}

func (t *Tracker) sent(count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unsent = slices.Clone(t.unsent[count:])
}

// put writes records, which do no harm where they are written twice. A store that turns this
// node away may take them from another one.
func (t *Tracker) put(ctx context.Context, records []store.Record) error {
	call, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err := t.options.Log.PutKeyed(call, store.TopicQuarantine, records)
	if err == nil || t.options.Relay.Put == nil {
		return err
	}
	relayed, cancelRelayed := context.WithTimeout(ctx, relayedPutTimeout)
	defer cancelRelayed()
	if relayErr := t.options.Relay.Put(relayed, records); relayErr != nil {
		return errors.Join(err, relayErr)
	}
	return nil
}

// addLocked puts a server's end to the account of requests, and has it written to the store where
// other nodes are to know.
func (t *Tracker) addLocked(server directory.Incarnation, requests map[quarantine.Fingerprint]UnderWay) (added []quarantine.Fingerprint) {
	for fingerprint, underWay := range requests {
		end := quarantine.End{Fingerprint: fingerprint, Server: server, At: clock.Now(), Progressed: underWay.Progressed}
		first := !t.ledger.Knows(fingerprint)
		if !t.ledger.Add(end) {
			continue
		}
		t.unshareLocked(t.ledger.TakeEvicted())
		added = append(added, fingerprint)
		switch {
		case underWay.HereOnly && first:
			t.unshared[fingerprint] = true
		case t.unshared[fingerprint]:
			delete(t.unshared, fingerprint)
			t.shareLocked(t.ledger.Case(fingerprint).Ends...)
		default:
			t.shareLocked(end)
		}
	}
	return added
}

// unshareLocked has ends removed from the store, but for those that were never written there.
func (t *Tracker) unshareLocked(ends []quarantine.End) {
	for _, end := range ends {
		if !t.unshared[end.Fingerprint] {
			t.takeBackLocked(end)
		}
	}
	for _, end := range ends {
		delete(t.unshared, end.Fingerprint)
	}
}

// shareLocked has ends written to the store.
func (t *Tracker) shareLocked(ends ...quarantine.End) {
	for _, end := range ends {
		t.unsent = append(t.unsent, finding{end: end})
	}
}

// takeBackLocked has an end taken back in the store.
func (t *Tracker) takeBackLocked(end quarantine.End) {
	t.unsent = append(t.unsent, finding{end: end, takenBack: true})
}
