package joblog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// indexTimeout bounds a read of the index.
	indexTimeout = 700 * time.Millisecond
	// indexRetries is how often the index is read again for a job that it does not hold, and
	// indexRetryPause the time between those reads.
	indexRetries    = 3
	indexRetryPause = 60 * time.Millisecond
)

// IndexEntry holds the offset at which a job begins in its partition, so that a reader of the job
// can skip earlier records, or the offset from which all open jobs begin. Only a reader of all
// open jobs of the partition may append one: a job may be in the partition twice, and the second
// copy is ignored.
type IndexEntry struct {
	// JobID is empty in an entry that holds OpenFrom.
	JobID string `json:",omitempty"`
	// Start is the offset of the job's first record or, if its end came first, that of the end.
	Start int64 `json:",omitempty"`
	// OpenFrom is an offset before which all jobs have ended. All of those jobs, and the early ends
	// before it, have entries before this one. A successor of the coordinator reads the partition from there.
	OpenFrom int64 `json:",omitempty"`
	// EarlyEnd is a job that had not been read when its end, at Start, was. JobID is empty then.
	EarlyEnd *batch.JobKey `json:",omitempty"`
}

// EncodeIndexEntry returns the record of an entry.
func EncodeIndexEntry(entry IndexEntry) ([]byte, error) {
	record, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode index entry of job %q: %w", entry.JobID, err)
	}
	return record, nil
}

// index caches the index entries of one partition. It is read when a requested job is
// not in the cache.
type index struct {
	log    store.Log
	at     store.Partition
	logger *zap.Logger

	// readMutex is held while the store is read.
	readMutex sync.Mutex
	// mutex guards the fields below.
	mutex  sync.Mutex
	starts map[string]int64
	// earlyEnds holds the early ends of all entries, with the offsets at which they stand.
	earlyEnds *batch.EarlyEnds
	// openFrom is the highest OpenFrom of all entries.
	openFrom int64
	next     int64
}

func newIndex(options Options, number int) *index {
	return &index{
		log: options.Log, at: store.Partition{Topic: store.TopicJobIndex, Number: number}, logger: options.Logger,
		starts: make(map[string]int64), earlyEnds: batch.NewEarlyEnds(),
	}
}

// find returns the offset at which a job begins, if it is indexed. It retries because the entry of
// a job that was just accepted may not have been appended yet.
func (x *index) find(ctx context.Context, jobID string) (start int64, known bool, err error) {
	for tries := 0; ; tries++ {
		start, known := x.lookUp(jobID)
		if known || tries > indexRetries {
			return start, known, nil
		}
		if tries > 0 && !pause.For(ctx, indexRetryPause) {
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

// contains reads the index and reports whether it holds a job.
func (x *index) contains(ctx context.Context, jobID string) (bool, error) {
	if err := x.read(ctx); err != nil {
		return false, err
	}
	_, known := x.lookUp(jobID)
	return known, nil
}

// containsEarlyEnd reports whether the entries read so far hold the early end of a job.
func (x *index) containsEarlyEnd(key batch.JobKey) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.earlyEnds.Contains(key)
}

// newFold returns the fold of a reader that begins at an offset, with the early ends before it.
func (x *index) newFold(from int64) *batch.Fold {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	fold := batch.NewFold()
	x.earlyEnds.All(func(end *batch.EarlyEnd) {
		if end.Offset < from {
			fold.RememberEnd(*end)
		}
	})
	return fold
}

// dropEndsBefore forgets the early ends that stand before an offset of the partition of jobs.
func (x *index) dropEndsBefore(offset int64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.earlyEnds.DropBefore(offset)
}

// openOffset returns the offset from which all open jobs begin according to the index.
func (x *index) openOffset(ctx context.Context) (int64, error) {
	if err := x.read(ctx); err != nil {
		return 0, err
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.openFrom, nil
}

// read reads new entries from the store.
func (x *index) read(ctx context.Context) error {
	x.readMutex.Lock()
	defer x.readMutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	ended, err := store.Scan(ctx, x.log, x.at, x.next, func(read store.Batch) bool {
		x.add(read)
		return true
	})
	if err == nil && !ended {
		// A job that is missing from the entries read so far may be in the others.
		return errIncompleteRead
	}
	return err
}

func (x *index) add(read store.Batch) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, record := range read.Records {
		var entry IndexEntry
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			x.logger.Error("invalid record skipped", zap.Stringer("partition", x.at), zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		if entry.JobID != "" {
			x.starts[entry.JobID] = entry.Start
		}
		if entry.EarlyEnd != nil {
			x.earlyEnds.Add(&batch.EarlyEnd{Key: *entry.EarlyEnd, Offset: entry.Start})
		}
		x.openFrom = max(x.openFrom, entry.OpenFrom)
	}
	x.next = read.Next
}
