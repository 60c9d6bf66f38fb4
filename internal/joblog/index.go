package joblog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// indexTimeout bounds a read of the index.
	indexTimeout = 700 * time.Millisecond
	// indexRetries is how often the index is read again for a job that it does not hold,
	// indexPause the time between.
	indexRetries = 3
	indexPause   = 60 * time.Millisecond
)

// IndexEntry says where a job begins in its partition, so that a reader of the job need
// not read what stands before it, or from where on all open jobs begin. Only a reader of all
// open jobs of the partition may write one: a job may stand twice in it, and the second copy
// counts for nothing.
type IndexEntry struct {
	// JobID is empty in an entry that tells OpenFrom.
	JobID string `json:",omitempty"`
	// Start is the offset of the job's first record.
	Start int64 `json:",omitempty"`
	// OpenFrom is an offset before which only jobs begin that have ended, all of which have
	// entries before this one. A successor of the coordinator reads the partition from there.
	OpenFrom int64 `json:",omitempty"`
}

// EncodeIndexEntry returns the record of an entry.
func EncodeIndexEntry(entry IndexEntry) ([]byte, error) {
	record, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode the index entry of job %q: %w", entry.JobID, err)
	}
	return record, nil
}

// index is what is known of the entries of one partition. It is read when a job is
// asked for that it does not hold.
type index struct {
	log    store.Log
	at     store.Partition
	logger *zap.Logger

	// reading is held while the store is read.
	reading sync.Mutex
	// mutex guards the fields below.
	mutex  sync.Mutex
	starts map[string]int64
	// openFrom is the highest of the entries.
	openFrom int64
	next     int64
}

func newIndex(options Options, number int) *index {
	return &index{
		log: options.Log, at: store.Partition{Topic: store.TopicJobIndex, Number: number}, logger: options.Logger,
		starts: make(map[string]int64),
	}
}

// find returns where a job begins, if an entry tells. The entry of a job that was accepted
// just now may be on its way.
func (x *index) find(ctx context.Context, jobID string) (start int64, known bool, err error) {
	for tries := 0; ; tries++ {
		start, known := x.lookUp(jobID)
		if known || tries > indexRetries {
			return start, known, nil
		}
		if tries > 0 && !pause.For(ctx, indexPause) {
			return 0, false, ctx.Err()
		}
		if err := x.read(ctx); err != nil {
			return 0, false, err
		}
	}
}

func (x *index) lookUp(jobID string) (start int64, known bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	start, known = x.starts[jobID]
	return start, known
}

// holds says whether the index holds a job now.
func (x *index) holds(ctx context.Context, jobID string) (bool, error) {
	if err := x.read(ctx); err != nil {
		return false, err
	}
	_, known := x.lookUp(jobID)
	return known, nil
}

// findOpen returns the offset from which on all open jobs begin, as far as the index tells.
func (x *index) findOpen(ctx context.Context) (int64, error) {
	if err := x.read(ctx); err != nil {
		return 0, err
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.openFrom, nil
}

// read reads the entries that are new.
func (x *index) read(ctx context.Context) error {
	x.reading.Lock()
	defer x.reading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	ended, err := store.ReadOn(ctx, x.log, x.at, x.next, func(read store.Batch) bool {
		x.add(read)
		return true
	})
	if err == nil && !ended {
		// What is not in a part of the index may be in the rest.
		return errCutOff
	}
	return err
}

func (x *index) add(batch store.Batch) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, record := range batch.Records {
		var entry IndexEntry
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			x.logger.Error("record void", zap.Stringer("partition", x.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		if entry.JobID != "" {
			x.starts[entry.JobID] = entry.Start
		}
		x.openFrom = max(x.openFrom, entry.OpenFrom)
	}
	x.next = batch.Next
}
