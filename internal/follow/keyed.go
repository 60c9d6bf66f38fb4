// Package follow reads partitions of the store as they grow.
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

// The timing of reads.
const (
	// answerTime bounds a read beyond its wait. A store that stays silent longer is
	// asked again on another connection.
	answerTime = 700 * time.Millisecond
	// pageTime bounds the reading of a page of the newest records, of 1 MB at the most.
	pageTime = 5 * time.Second
	// slowestRead is the longest pause between two reads, which bounds the age of
	// what is known while the store throttles reads.
	slowestRead = 1200 * time.Millisecond
	// relayPause is the shortest time between two reads by way of another node: hundreds of
	// nodes may ask the same one.
	relayPause = 900 * time.Millisecond
	// retryPause is the time between a failed call and the next.
	retryPause = 100 * time.Millisecond
)

// KeyedOptions configure the following of a keyed topic.
type KeyedOptions struct {
	Log   store.Log
	Topic store.Topic
	// Pace is the shortest time between two reads.
	Pace time.Duration
	// Wait is how long the store may hold a read that finds nothing.
	Wait time.Duration
	// MostBytes bounds what is asked for by one read; 0 leaves that to the store.
	MostBytes int
	// Large says that many nodes may read at once what is large, so that a read which is not held has
	// as much time for its answer as one that is.
	Large  bool
	Logger *zap.Logger
	// Replace takes the newest record of every key.
	Replace func([]store.Record)
	// Change takes the records that came since, in order.
	Change func([]store.Record)
	// Took is told of all that was taken, by whatever way: the records, whether they replace what was known, and
	// the offset that follows. It may be nil.
	Took func(records []store.Record, whole bool, next int64)
	// Read is told of each answered read, also where nothing had changed: the offset
	// that follows what was read, whether that was the end, and when the read was asked. The
	// answer tells what stood there then; it may have been held, and be late.
	Read func(next int64, end bool, asked time.Time)
	// Relayed reads the topic from an offset by way of another node, for when the store turns
	// this one away; below 0 it reads the newest records. It may be nil.
	Relayed func(ctx context.Context, from int64) (Relay, error)
	// Guide says where to read next; nil stands for the store, always.
	Guide Guide
	// Fetch has a change from other nodes that were given it already. It is not nil where there is a guide.
	Fetch func(ctx context.Context, from int64) (Relay, error)
	// From is the offset to begin at, all before it being known; without FromKnown
	// the newest records are read first.
	From      int64
	FromKnown bool
}

// Relay is what another node read of a keyed topic.
type Relay struct {
	Records []store.Record
	// Whole says that the records are the newest of each key, not what came after the offset.
	Whole bool
	// Next is the offset after what was read.
	Next int64
}

// Keyed follows a keyed topic until the context ends. It starts from the newest
// records, and again whenever the store has dropped what it had not read.
func Keyed(ctx context.Context, options KeyedOptions) {
	if options.Guide == nil {
		options.Guide = storeAlone{}
	}
	if options.Took == nil {
		options.Took = func([]store.Record, bool, int64) {}
	}
	reader := keyedReader{KeyedOptions: options, next: -1, outage: Outage{Logger: options.Logger}}
	if options.FromKnown {
		reader.next, reader.seen = options.From, options.From
	}
	pace := Pace{Base: options.Pace, Most: slowestRead, Retry: retryPause}
	for ctx.Err() == nil {
		way := options.Guide.Await(ctx, reader.next)
		if way == WayFetch {
			options.Guide.Note(way, reader.fetch(ctx))
			continue
		}
		err := errStoreLeft
		if way != WayOthers {
			err = reader.advance(ctx, way)
			options.Guide.Note(way, err)
		}
		reader.failing = err != nil
		if err != nil && options.Relayed != nil {
			reader.advanceRelayed(ctx)
		}
		reader.outage.Note(err, zap.Stringer("topic", options.Topic), zap.Int64("offset", reader.next))
		wait := pace.Next(err)
		if err == nil && reader.behind {
			wait = 0 // what piled up during an outage is read at once
		}
		pause.For(ctx, wait)
	}
}

type keyedReader struct {
	KeyedOptions
	// next is the offset to read; -1 means that the newest records are needed.
	next int64
	// seen is the highest end that the store has told.
	seen   int64
	outage Outage
	// behind says that the last read did not come to the end.
	behind bool
	// failing says that the last read failed.
	failing bool
	// relayedAt is when another node was last asked to read.
	relayedAt time.Time
	// loading is what was read of the newest records before a page was not answered.
	loading loading
}

// loading is a reading of the newest records, page by page. One that is broken off goes on where it
// was: many nodes that begin anew together hold up the store that was slow to answer them.
type loading struct {
	records []store.Record
	// end is that of the first page, asked when that page was asked for.
	end   int64
	asked time.Time
	pages int
}

// after returns the key after which the next page begins.
func (l *loading) after() string {
	if len(l.records) == 0 {
		return ""
	}
	return l.records[len(l.records)-1].Key
}

func (r *keyedReader) advance(ctx context.Context, way Way) error {
	if r.next < 0 {
		return r.load(ctx)
	}
	wait := way.wait(r.Wait)
	if r.failing {
		// Whether the store answers again is to be known at once.
		wait = 0
	}
	bound := r.Wait + answerTime
	if !r.Large || way == WayStoreTry {
		bound = wait + answerTime
	}
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	asked := clock.Now()
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
	r.Took(batch.Records, false, r.next)
	r.seen = max(r.seen, batch.Next)
	r.behind = r.next < batch.End && len(batch.Records) > 0
	r.Read(r.next, r.next >= batch.End, asked)
	return nil
}

func (r *keyedReader) read(ctx context.Context, wait time.Duration) (store.Batch, error) {
	at := store.Partition{Topic: r.Topic}
	if r.MostBytes > 0 {
		return store.ReadPage(ctx, r.Log, at, r.next, wait, r.MostBytes)
	}
	return r.Log.Read(ctx, at, r.next, wait)
}

// advanceRelayed takes what another node reads. It does not count as a read of the store.
func (r *keyedReader) advanceRelayed(ctx context.Context) {
	if clock.Since(r.relayedAt) < relayPause {
		return
	}
	r.relayedAt = clock.Now()
	relay, err := r.Relayed(ctx, r.next)
	if err != nil {
		r.Logger.Debug("no other node reads the store", zap.Stringer("topic", r.Topic), zap.Error(err))
		return
	}
	r.take(relay)
}

// take takes what another node knows, unless that is less than what is known here.
func (r *keyedReader) take(relay Relay) {
	if relay.Next < r.seen {
		return
	}
	switch {
	case relay.Whole:
		r.Replace(relay.Records)
	case len(relay.Records) > 0:
		r.Change(relay.Records)
	}
	r.next, r.seen = relay.Next, relay.Next
	r.Took(relay.Records, relay.Whole, r.next)
}

// fetch has a change from another node that was given it.
func (r *keyedReader) fetch(ctx context.Context) error {
	relay, err := r.Fetch(ctx, r.next)
	if err != nil {
		r.Logger.Info("change not given", zap.Stringer("topic", r.Topic), zap.Int64("offset", r.next), zap.Error(err))
		return err
	}
	r.take(relay)
	return nil
}

var errStaleList = errors.New("list is older than what was read")

func (r *keyedReader) load(ctx context.Context) error {
	for {
		more, err := r.loadPage(ctx)
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	read := r.loading
	r.loading = loading{}
	if read.end < r.seen {
		return errStaleList
	}
	r.Replace(read.records)
	r.next = read.end
	r.seen = read.end
	r.Took(read.records, true, r.next)
	r.Read(r.next, true, read.asked)
	return nil
}

// loadPage reads the next page of the newest records.
func (r *keyedReader) loadPage(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTime)
	defer cancel()
	asked := clock.Now()
	page, err := store.ReadNewestPage(ctx, r.Log, r.Topic, r.loading.after())
	if err != nil {
		return false, err
	}
	if r.loading.pages == 0 {
		// Later pages may be newer; what changed since the first is read again.
		r.loading.end, r.loading.asked = page.End, asked
	}
	r.loading.pages++
	r.loading.records = append(r.loading.records, page.Records...)
	return page.More && len(page.Records) > 0, nil
}
