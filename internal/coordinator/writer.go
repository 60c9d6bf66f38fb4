package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/liveness"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// appendPause is the delay before a failed append is retried.
	appendPause = 150 * time.Millisecond
	// maxAppendBytes is the maximum total size of the groups of an append, half of the store's
	// limit. A larger group is appended alone.
	maxAppendBytes = 1 << 20
	// maxQueuedProgressBytes is the queue size above which further progress is dropped. Results
	// must not be lost; progress only saves repeated work.
	maxQueuedProgressBytes = 2 << 20
)

// recordWriter appends records in order, with one append at a time per partition. Records
// whose append got no answer are appended again; the folds ignore the second copy.
type recordWriter struct {
	log     store.Log
	logger  *zap.Logger
	termCtx context.Context
	// onAppend is called after each append if it is set.
	onAppend func(at store.Partition, offset int64)

	mutex  sync.Mutex
	queues map[store.Partition]*recordQueue
}

// recordQueue is the queue of one partition.
type recordQueue struct {
	// groups are the queued groups; a group is never split across appends.
	groups [][][]byte
	size   int
	active bool
	// inFlight holds the groups of the current append.
	inFlight [][][]byte
}

func newRecordWriter(termCtx context.Context, log store.Log, logger *zap.Logger) *recordWriter {
	return &recordWriter{log: log, logger: logger, termCtx: termCtx, queues: make(map[store.Partition]*recordQueue)}
}

// add queues a group of records, which is appended while the term lasts.
func (w *recordWriter) add(at store.Partition, group [][]byte) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	queue := w.queues[at]
	if queue == nil {
		queue = &recordQueue{}
		w.queues[at] = queue
	}
	if at.Topic == store.TopicProgress && queue.size > maxQueuedProgressBytes {
		return
	}
	queue.groups = append(queue.groups, group)
	queue.size += sizeInBytes(group)
	if !queue.active {
		queue.active = true
		go w.write(at, queue)
	}
}

func sizeInBytes(group [][]byte) int {
	size := 0
	for _, record := range group {
		size += len(record)
	}
	return size
}

// write appends queued groups until the queue is empty or the term ends.
func (w *recordWriter) write(at store.Partition, queue *recordQueue) {
	for {
		groups := w.nextGroups(queue)
		if len(groups) == 0 || !w.appendInTerm(at, groups) {
			return
		}
	}
}

// appendInTerm appends groups, retrying until the term ends. It reports whether all of them were
// processed, which fails only if the term has ended.
func (w *recordWriter) appendInTerm(at store.Partition, groups [][][]byte) bool {
	for {
		err := w.append(at, slices.Concat(groups...))
		switch {
		case err == nil:
			return true
		case errors.Is(err, store.ErrInvalid):
			return w.appendSeparately(at, groups)
		}
		if !pause.For(w.termCtx, appendPause) {
			return false
		}
	}
}

// appendSeparately appends groups one by one after the store permanently rejected them together. A
// single group that is rejected is dropped, so that the groups behind it are appended.
func (w *recordWriter) appendSeparately(at store.Partition, groups [][][]byte) bool {
	if len(groups) == 1 {
		w.handleRejected(at, groups[0])
		return true
	}
	for _, group := range groups {
		if !w.appendInTerm(at, [][][]byte{group}) {
			return false
		}
	}
	return true
}

// handleRejected drops a group that the store permanently rejects. If the group is an item's result, the item
// is listed as dead, so that no reader waits for its text.
func (w *recordWriter) handleRejected(at store.Partition, group [][]byte) {
	w.logger.Error("records lost", zap.Stringer("partition", at), zap.Int("records", len(group)), zap.Int("bytes", sizeInBytes(group)))
	if at.Topic != store.TopicJobs {
		return
	}
	result, err := batch.DecodeResult(group)
	if err != nil || result.Outcome == batch.OutcomeDead {
		w.logger.Error("lost records have no item to list as dead", zap.Stringer("partition", at), zap.Error(err))
		return
	}
	dead, err := batch.EncodeResult(&batch.Result{JobID: result.JobID, ItemID: result.ItemID, Outcome: batch.OutcomeDead})
	if err != nil {
		w.logger.Error("result not encoded", zap.String("item", result.ItemID), zap.Error(err))
		return
	}
	w.logger.Info("item listed as dead because its result was rejected", zap.String("job", result.JobID), zap.String("item", result.ItemID))
	w.add(at, dead)
}

// nextGroups removes the groups of the next append from a queue.
func (w *recordWriter) nextGroups(queue *recordQueue) [][][]byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count, size := fitAppend(queue.groups)
	groups := queue.groups[:count]
	queue.groups = queue.groups[count:]
	queue.size -= size
	queue.active = count > 0
	queue.inFlight = groups
	return groups
}

// fitAppend returns the number of groups that fit into one append, at least one, and their size in bytes.
func fitAppend(groups [][][]byte) (count, size int) {
	for _, group := range groups {
		if groupBytes := sizeInBytes(group); count == 0 || size+groupBytes <= maxAppendBytes {
			count, size = count+1, size+groupBytes
			continue
		}
		break
	}
	return count, size
}

// dropProgress discards queued progress, which full checkpoints will replace.
func (w *recordWriter) dropProgress() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for at, queue := range w.queues {
		if at.Topic == store.TopicProgress {
			queue.groups, queue.inFlight, queue.size = nil, nil, 0
		}
	}
}

// pending returns the records that are not confirmed as appended, in parts of one append each.
func (w *recordWriter) pending() []liveness.Pending {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var pending []liveness.Pending
	for at, queue := range w.queues {
		pending = append(pending, splitAppends(at, slices.Concat(queue.inFlight, queue.groups))...)
	}
	return pending
}

// splitAppends splits the groups for a partition into parts of one append each, in order.
func splitAppends(at store.Partition, groups [][][]byte) []liveness.Pending {
	var parts []liveness.Pending
	for len(groups) > 0 {
		count, _ := fitAppend(groups)
		parts = append(parts, liveness.Pending{Partition: at, Records: slices.Concat(groups[:count]...)})
		groups = groups[count:]
	}
	return parts
}

func (w *recordWriter) append(at store.Partition, records [][]byte) error {
	ctx, cancel := context.WithTimeout(w.termCtx, appendTimeout)
	defer cancel()
	offset, err := w.log.Append(ctx, at, records)
	if err != nil {
		w.logger.Warn("records not appended", zap.Stringer("partition", at), zap.Int("records", len(records)), zap.Error(err))
		return err
	}
	if w.onAppend != nil {
		w.onAppend(at, offset)
	}
	return nil
}
