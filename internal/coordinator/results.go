package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/joblog"
)

const (
	// appendTimeout bounds one append of results.
	appendTimeout = time.Second
	// appendPause is the time between a failed append and the next.
	appendPause = 150 * time.Millisecond
	// appendSize is the size in bytes beyond which an append takes no more results.
	appendSize = 1 << 20
)

// resultWriter appends results, those of one partition in one call at a time. A
// result whose append got no answer is appended again; the second copy is void.
type resultWriter struct {
	jobs   *joblog.Logs
	logger *zap.Logger

	mutex   sync.Mutex
	waiting map[int][]batch.Result
	active  map[int]bool
}

func newResultWriter(jobs *joblog.Logs, logger *zap.Logger) *resultWriter {
	return &resultWriter{
		jobs: jobs, logger: logger,
		waiting: make(map[int][]batch.Result), active: make(map[int]bool),
	}
}

// add appends a result while the term lasts.
func (w *resultWriter) add(term context.Context, result batch.Result) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	partition := w.jobs.PartitionOf(result.JobID)
	w.waiting[partition] = append(w.waiting[partition], result)
	if !w.active[partition] {
		w.active[partition] = true
		go w.write(term, partition)
	}
}

// write appends what waits for a partition until nothing does.
func (w *resultWriter) write(term context.Context, partition int) {
	for {
		results := w.next(term, partition)
		if len(results) == 0 {
			return
		}
		for !w.append(term, results) && sleep(term, appendPause) {
		}
	}
}

// next takes the results of the next append. At the end of the term it drops all.
func (w *resultWriter) next(term context.Context, partition int) []batch.Result {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if term.Err() != nil {
		w.waiting[partition] = nil
	}
	waiting := w.waiting[partition]
	size, count := 0, 0
	for count < len(waiting) && size < appendSize {
		size += len(waiting[count].Text)
		count++
	}
	w.waiting[partition] = waiting[count:]
	w.active[partition] = count > 0
	return waiting[:count]
}

func (w *resultWriter) append(term context.Context, results []batch.Result) bool {
	var records [][]byte
	for i := range results {
		encoded, err := batch.EncodeResult(&results[i])
		if err != nil {
			w.logger.Error("result lost", zap.String("item", results[i].ItemID), zap.Error(err))
			continue
		}
		records = append(records, encoded...)
	}
	ctx, cancel := context.WithTimeout(term, appendTimeout)
	defer cancel()
	err := w.jobs.Append(ctx, results[0].JobID, records)
	if err != nil {
		w.logger.Warn("results not appended", zap.String("job", results[0].JobID), zap.Int("results", len(results)), zap.Error(err))
	}
	return err == nil
}
