package joblog

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
)

// Bounds of the cache of jobs that a node has read for callers.
const (
	// jobRetention is how long a job is cached after its last request: callers that timed out
	// retry within a few seconds.
	jobRetention = 15 * time.Second
	// maxCachedJobBytes bounds the size of all cached records, enough for about ten jobs.
	maxCachedJobBytes = 16 << 20
	// pageBytes is the size of a page. Smaller pages give an earlier first answer and read less
	// beyond the job's end; larger pages need fewer calls.
	pageBytes = 512 << 10
	// maxConcurrentReads bounds the concurrent page reads; a page takes 0.07 s at 60 Mbit/s.
	maxConcurrentReads = 3
)

// singleJobReaders holds the jobs that are being read or cached for callers of this node.
type singleJobReaders struct {
	// slots bounds the concurrent reads: if many shared a low-bandwidth link evenly, all would
	// finish too late.
	slots chan struct{}
	// ctx ends when reading stops.
	ctx    context.Context
	cancel context.CancelFunc

	mutex sync.Mutex
	byJob map[string]*singleJobReader

	// startMutex guards closed; no goroutine is added to background once that is set. It may be
	// locked while the mutex of a reader is held.
	startMutex sync.Mutex
	background conc.WaitGroup
	closed     bool
}

func newSingleJobReaders() *singleJobReaders {
	ctx, cancel := context.WithCancel(context.Background())
	return &singleJobReaders{slots: make(chan struct{}, maxConcurrentReads), ctx: ctx, cancel: cancel, byJob: make(map[string]*singleJobReader)}
}

// start runs a function in the background unless the readers are closed, and reports whether it did.
func (j *singleJobReaders) start(run func(context.Context)) bool {
	j.startMutex.Lock()
	defer j.startMutex.Unlock()
	if j.closed {
		return false
	}
	j.background.Go(func() { run(j.ctx) })
	return true
}

// close stops all reads and waits for them to end.
func (j *singleJobReaders) close() {
	j.startMutex.Lock()
	j.closed = true
	j.startMutex.Unlock()
	j.cancel()
	j.background.Wait()
}

// readerFor returns the reader of a job that begins at an offset of a partition, creating it if needed.
func (j *singleJobReaders) readerFor(p *partition, jobID string, from int64) *singleJobReader {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if existing := j.byJob[jobID]; existing != nil && existing.from == from {
		return existing
	}
	if len(j.byJob) == 0 {
		time.AfterFunc(jobRetention, j.evictPeriodically)
	}
	now := clock.Now()
	reader := &singleJobReader{
		log: p.log, at: p.at, jobID: jobID, from: from, next: from, logger: p.logger, readers: j,
		changed: make(chan struct{}), fold: batch.NewJobFold(jobID), lastRequestedAt: now, lastUsedAt: now,
	}
	// Evict before adding: the new reader is not active yet and would be evicted first.
	j.evictLocked()
	j.byJob[jobID] = reader
	return reader
}

// lookUp returns the reader of a job, or nil.
func (j *singleJobReaders) lookUp(jobID string) *singleJobReader {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.byJob[jobID]
}

// evictPeriodically evicts idle readers and reschedules itself while any reader remains.
func (j *singleJobReaders) evictPeriodically() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.evictLocked()
	if len(j.byJob) > 0 {
		time.AfterFunc(jobRetention, j.evictPeriodically)
	}
}

// evictLocked evicts the readers that have been idle for longer than jobRetention, and then the
// least recently requested ones until the cache is within its limit. Active readers are kept.
func (j *singleJobReaders) evictLocked() {
	total := 0
	for jobID, reader := range j.byJob {
		idle, bytes := reader.idle()
		if idle > jobRetention {
			delete(j.byJob, jobID)
			continue
		}
		total += bytes
	}
	for total > maxCachedJobBytes {
		jobID, bytes := j.longestIdle()
		if jobID == "" {
			return
		}
		delete(j.byJob, jobID)
		total -= bytes
	}
}

// longestIdle returns the least recently requested job that is not being read, and its size; empty
// if there is none.
func (j *singleJobReaders) longestIdle() (jobID string, bytes int) {
	var longest time.Duration
	for id, reader := range j.byJob {
		if idle, size := reader.idle(); idle > longest {
			jobID, bytes, longest = id, size, idle
		}
	}
	return jobID, bytes
}
