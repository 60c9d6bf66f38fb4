// Package follow reads partitions of the store as records are appended.
package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// Timing of reads.
const (
	// answerTimeout bounds a read beyond its wait. If the store does not answer in time, the
	// read is retried on another connection.
	answerTimeout = 700 * time.Millisecond
	// pageTimeout bounds the read of a page of the newest records, which is at most 1 MB.
	pageTimeout = 5 * time.Second
	// maxReadPause is the maximum pause between two reads, which bounds the staleness
	// while the store throttles reads.
	maxReadPause = 1200 * time.Millisecond
	// minRelayInterval is the minimum time between two reads through another node, since hundreds
	// of nodes may use the same one.
	minRelayInterval = 900 * time.Millisecond
	// retryPause is the delay before a failed call is retried.
	retryPause = 100 * time.Millisecond
)

// KeyedOptions configures how a keyed topic is followed.
type KeyedOptions struct {
	Log   store.Log
	Topic store.Topic
	// MinInterval is the minimum time between two reads.
	MinInterval time.Duration
	// Wait is how long the store may hold a read that finds no records.
	Wait time.Duration
	// MaxBytes bounds the size of one read; 0 leaves the limit to the store.
	MaxBytes int
	// LargeTopic is true if many nodes may read large records at the same time. A read without a wait then
	// has the same timeout as one with the full wait.
	LargeTopic bool
	Logger     *zap.Logger
	// Replace receives the newest record of every key.
	Replace func([]store.Record)
	// Change receives later records, in order.
	Change func([]store.Record)
	// OnApplied is called for all applied records from any source, with the records, whether they replace the
	// previous state, and the offset that follows. It may be nil.
	OnApplied func(records []store.Record, snapshot bool, next int64)
	// OnRead is called for each answered read, even if nothing had changed, with the offset
	// that follows the records, whether that was the end, and the time of the request. The
	// answer shows the state at that time, since it may have been held or delayed.
	OnRead func(next int64, end bool, requestedAt time.Time)
	// ReadRelayed reads the topic from an offset through another node, for use when this node can not
	// read the store; an offset below 0 requests the newest records. It may be nil.
	ReadRelayed func(ctx context.Context, from int64) (RelayedRecords, error)
	// Selector selects where to read next; nil always selects the store.
	Selector SourceSelector
	// Fetch gets a change from other nodes that already have it. It is required if Selector is set.
	Fetch func(ctx context.Context, from int64) (RelayedRecords, error)
	// From is the first offset to read if FromKnown is set, all earlier records being known.
	// Without FromKnown the newest records are read first.
	From      int64
	FromKnown bool
}

// RelayedRecords holds the records of a keyed topic that another node has read.
type RelayedRecords struct {
	Records []store.Record
	// Snapshot is true if the records are the newest of every key, not those after an offset.
	Snapshot bool
	// Next is the offset after the records.
	Next int64
}

// Keyed follows a keyed topic until the context ends. It starts from the newest
// records, and reloads them whenever the store has trimmed records that it had not read.
func Keyed(ctx context.Context, options KeyedOptions) {
	if options.Selector == nil {
		options.Selector = storeOnly{}
	}
	if options.OnApplied == nil {
		options.OnApplied = func([]store.Record, bool, int64) {}
	}
	reader := keyedReader{KeyedOptions: options, next: -1, outage: Outage{Logger: options.Logger}}
	if options.FromKnown {
		reader.next, reader.maxEnd = options.From, options.From
	}
	pacer := Pacer{Base: options.MinInterval, Max: maxReadPause, Retry: retryPause}
	for ctx.Err() == nil {
		source := options.Selector.Await(ctx, reader.next)
		if source == SourcePeers {
			options.Selector.Note(source, reader.fetch(ctx))
			continue
		}
		err := errStoreSkipped
		if source != SourceRelay {
			err = reader.advance(ctx, source)
			options.Selector.Note(source, err)
		}
		reader.failing = err != nil
		if err != nil && options.ReadRelayed != nil {
			reader.advanceRelayed(ctx)
		}
		reader.outage.Note(err, zap.Stringer("topic", options.Topic), zap.Int64("offset", reader.next))
		delay := pacer.Next(err)
		if err == nil && reader.behind {
			delay = 0 // read the backlog of an outage without pauses
		}
		pause.For(ctx, delay)
	}
}

type keyedReader struct {
	KeyedOptions
	// next is the next offset to read; -1 if the newest records are to be loaded.
	next int64
	// maxEnd is the highest end of the topic reported so far.
	maxEnd int64
	outage Outage
	// behind is true if the last read did not reach the end.
	behind bool
	// failing is true if the last read failed.
	failing bool
	// lastRelayAt is the time of the last read through another node.
	lastRelayAt time.Time
	// snapshot holds the pages of the newest records loaded so far.
	snapshot snapshotLoad
}

// snapshotLoad is a page-by-page load of the newest records. After a failure it resumes at the failed
// page: if many nodes restarted at once, they would overload a store that was already slow.
type snapshotLoad struct {
	records []store.Record
	// end is the topic's end according to the first page, requestedAt the request time of that page.
	end         int64
	requestedAt time.Time
	pages       int
}

// lastKey returns the key after which the next page begins.
func (l *snapshotLoad) lastKey() string {
	if len(l.records) == 0 {
		return ""
	}
	return l.records[len(l.records)-1].Key
}

func (r *keyedReader) advance(ctx context.Context, source Source) error {
	if r.next < 0 {
		return r.loadSnapshot(ctx)
	}
	wait := source.wait(r.Wait)
	if r.failing {
		// Detect without delay whether the store answers again.
		wait = 0
	}
	timeout := r.Wait + answerTimeout
	if !r.LargeTopic || source == SourceStoreProbe {
		timeout = wait + answerTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := clock.Now()
	batch, err := r.read(call, wait)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		r.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	if len(batch.Records) > 0 {
		r.Change(batch.Records)
	}
	r.next = batch.Next
	r.OnApplied(batch.Records, false, r.next)
	r.maxEnd = max(r.maxEnd, batch.Next)
	r.behind = r.next < batch.End && len(batch.Records) > 0
	r.OnRead(r.next, r.next >= batch.End, requestedAt)
	return nil
}

func (r *keyedReader) read(ctx context.Context, wait time.Duration) (store.Batch, error) {
	at := store.Partition{Topic: r.Topic}
	if r.MaxBytes > 0 {
		return store.ReadPage(ctx, r.Log, at, r.next, wait, r.MaxBytes)
	}
	return r.Log.Read(ctx, at, r.next, wait)
}

// advanceRelayed applies records that another node reads. It does not count as a read of the store.
func (r *keyedReader) advanceRelayed(ctx context.Context) {
	if clock.Since(r.lastRelayAt) < minRelayInterval {
		return
	}
	r.lastRelayAt = clock.Now()
	relay, err := r.ReadRelayed(ctx, r.next)
	if err != nil {
		r.Logger.Debug("relayed read failed", zap.Stringer("topic", r.Topic), zap.Error(err))
		return
	}
	r.apply(relay)
}

// apply applies the records of another node unless this node has already read further.
func (r *keyedReader) apply(relay RelayedRecords) {
	if relay.Next < r.maxEnd {
		return
	}
	switch {
	case relay.Snapshot:
		r.Replace(relay.Records)
	case len(relay.Records) > 0:
		r.Change(relay.Records)
	}
	r.next, r.maxEnd = relay.Next, relay.Next
	r.OnApplied(relay.Records, relay.Snapshot, r.next)
}

// fetch gets a change from another node that already has it.
func (r *keyedReader) fetch(ctx context.Context) error {
	relay, err := r.Fetch(ctx, r.next)
	if err != nil {
		r.Logger.Info("change not fetched", zap.Stringer("topic", r.Topic), zap.Int64("offset", r.next), zap.Error(err))
		return err
	}
	r.apply(relay)
	return nil
}

var errStaleSnapshot = errors.New("snapshot is older than the records already read")

func (r *keyedReader) loadSnapshot(ctx context.Context) error {
	for {
		more, err := r.loadPage(ctx)
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	snapshot := r.snapshot
	r.snapshot = snapshotLoad{}
	if snapshot.end < r.maxEnd {
		return errStaleSnapshot
	}
	r.Replace(snapshot.records)
	r.next = snapshot.end
	r.maxEnd = snapshot.end
	r.OnApplied(snapshot.records, true, r.next)
	r.OnRead(r.next, true, snapshot.requestedAt)
	return nil
}

// loadPage reads the next page of the newest records.
func (r *keyedReader) loadPage(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	requestedAt := clock.Now()
	page, err := store.ReadNewestPage(ctx, r.Log, r.Topic, r.snapshot.lastKey())
	if err != nil {
		return false, err
	}
	if r.snapshot.pages == 0 {
		// Later pages may be newer; changes since the first page are read again.
		r.snapshot.end, r.snapshot.requestedAt = page.End, requestedAt
	}
	r.snapshot.pages++
	r.snapshot.records = append(r.snapshot.records, page.Records...)
	return page.More && len(page.Records) > 0, nil
}
