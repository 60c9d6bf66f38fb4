package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/liveness"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// appendPause is the time between a failed append and the next.
	appendPause = 150 * time.Millisecond
	// appendSize is the size in bytes beyond which an append takes no more records.
	appendSize = 1 << 20
	// progressLimit is the size in bytes of waiting progress beyond which more of
	// it is dropped: results matter, progress only helps.
	progressLimit = 2 << 20
)

// recordWriter appends records in order, those of one partition in one call at a
// time. Records whose append got no answer are appended again; the folds take the
// second copy for void.
type recordWriter struct {
	log    store.Log
	logger *zap.Logger
	term   context.Context
	// appended is told of each append, when it is set.
	appended func(at store.Partition, offset int64)

	mutex  sync.Mutex
	queues map[store.Partition]*recordQueue
}

// recordQueue is what waits for one partition.
type recordQueue struct {
	// groups are appended whole, each in one call.
	groups [][][]byte
	size   int
	active bool
	// underWay holds the records of the append that was begun last, until it has ended.
	underWay [][]byte
}

func newRecordWriter(term context.Context, log store.Log, logger *zap.Logger) *recordWriter {
	return &recordWriter{log: log, logger: logger, term: term, queues: make(map[store.Partition]*recordQueue)}
}

// add appends the records of a group, while the term lasts.
func (w *recordWriter) add(at store.Partition, group [][]byte) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	queue := w.queues[at]
	if queue == nil {
		queue = &recordQueue{}
		w.queues[at] = queue
	}
	if at.Topic == store.TopicProgress && queue.size > progressLimit {
		return
	}
	queue.groups = append(queue.groups, group)
	queue.size += sizeOf(group)
	if !queue.active {
		queue.active = true
		go w.write(at, queue)
	}
}

func sizeOf(group [][]byte) int {
	size := 0
	for _, record := range group {
		size += len(record)
	}
	return size
}

// write appends what waits in a queue until nothing does or the term ends.
func (w *recordWriter) write(at store.Partition, queue *recordQueue) {
	for {
		records := w.next(queue)
		if len(records) == 0 {
			return
		}
		for !w.append(at, records) {
			if !pause.For(w.term, appendPause) {
				return
			}
		}
	}
}

// next takes the records of the next append.
func (w *recordWriter) next(queue *recordQueue) [][]byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var records [][]byte
	size, count := 0, 0
	for count < len(queue.groups) && size < appendSize {
		records = append(records, queue.groups[count]...)
		size += sizeOf(queue.groups[count])
		count++
	}
	queue.groups = queue.groups[count:]
	queue.size -= size
	queue.active = count > 0
	queue.underWay = records
	return records
}

// dropProgress forgets the progress that waits, since checkpoints follow.
func (w *recordWriter) dropProgress() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for at, queue := range w.queues {
		if at.Topic == store.TopicProgress {
			queue.groups, queue.underWay, queue.size = nil, nil, 0
		}
	}
}

// pending returns the records that are not known to be appended, by partition.
func (w *recordWriter) pending() []liveness.Pending {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var pending []liveness.Pending
	for at, queue := range w.queues {
		records := slices.Clone(queue.underWay)
		for _, group := range queue.groups {
			records = append(records, group...)
		}
		if len(records) > 0 {
			pending = append(pending, liveness.Pending{Partition: at, Records: records})
		}
	}
	return pending
}

func (w *recordWriter) append(at store.Partition, records [][]byte) bool {
	ctx, cancel := context.WithTimeout(w.term, appendTimeout)
	defer cancel()
	offset, err := w.log.Append(ctx, at, records)
	if err != nil {
		w.logger.Warn("records not appended", zap.Stringer("partition", at), zap.Int("records", len(records)), zap.Error(err))
		return false
	}
	if w.appended != nil {
		w.appended(at, offset)
	}
	return true
}
