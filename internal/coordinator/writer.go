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
	// appendPause is the time between a failed append and the next.
	appendPause = 150 * time.Millisecond
	// appendSize is the size in bytes that the groups of an append have together at the most. It
	// is half of what the store takes; a larger group is appended alone.
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
	// underWay holds the groups of the append that was begun last, until it has ended.
	underWay [][][]byte
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
		groups := w.next(queue)
		if len(groups) == 0 || !w.appendInTerm(at, groups) {
			return
		}
	}
}

// appendInTerm appends groups. It says whether nothing of them is left to append; something is
// once the term has ended.
func (w *recordWriter) appendInTerm(at store.Partition, groups [][][]byte) bool {
	for {
		err := w.append(at, slices.Concat(groups...))
		switch {
		case err == nil:
			return true
		case errors.Is(err, store.ErrInvalid):
			return w.appendApart(at, groups)
		}
		if !pause.For(w.term, appendPause) {
			return false
		}
	}
}

// appendApart is appendInTerm for groups that the store refuses for good together. A single one
// is given up, so that those behind it are appended.
func (w *recordWriter) appendApart(at store.Partition, groups [][][]byte) bool {
	if len(groups) == 1 {
		w.giveUp(at, groups[0])
		return true
	}
	for _, group := range groups {
		if !w.appendInTerm(at, [][][]byte{group}) {
			return false
		}
	}
	return true
}

// giveUp takes a group that the store refuses for good. An item whose result it is gets listed as dead, so that
// nobody waits for its text.
func (w *recordWriter) giveUp(at store.Partition, group [][]byte) {
	w.logger.Error("records lost", zap.Stringer("partition", at), zap.Int("records", len(group)), zap.Int("bytes", sizeOf(group)))
	if at.Topic != store.TopicJobs {
		return
	}
	result, err := batch.DecodeResult(group)
	if err != nil || result.Outcome == batch.OutcomeDead {
		w.logger.Error("no result to list in their place", zap.Stringer("partition", at), zap.Error(err))
		return
	}
	dead, err := batch.EncodeResult(&batch.Result{JobID: result.JobID, ItemID: result.ItemID, Outcome: batch.OutcomeDead})
	if err != nil {
		w.logger.Error("result lost", zap.String("item", result.ItemID), zap.Error(err))
		return
	}
	w.logger.Info("item listed as dead, its result was refused", zap.String("job", result.JobID), zap.String("item", result.ItemID))
	w.add(at, dead)
}

// next takes the groups of the next append.
func (w *recordWriter) next(queue *recordQueue) [][][]byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count, size := firstCall(queue.groups)
	groups := queue.groups[:count]
	queue.groups = queue.groups[count:]
	queue.size -= size
	queue.active = count > 0
	queue.underWay = groups
	return groups
}

// firstCall returns the number of groups that the next append takes, and their size in bytes.
func firstCall(groups [][][]byte) (count, size int) {
	for _, group := range groups {
		if more := sizeOf(group); count == 0 || size+more <= appendSize {
			count, size = count+1, size+more
			continue
		}
		break
	}
	return count, size
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

// pending returns the records that are not known to be appended, in parts of one append each.
func (w *recordWriter) pending() []liveness.Pending {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var pending []liveness.Pending
	for at, queue := range w.queues {
		pending = append(pending, inCalls(at, slices.Concat(queue.underWay, queue.groups))...)
	}
	return pending
}

// inCalls returns the groups for a partition in parts of one append each, in order.
func inCalls(at store.Partition, groups [][][]byte) []liveness.Pending {
	var parts []liveness.Pending
	for len(groups) > 0 {
		count, _ := firstCall(groups)
		parts = append(parts, liveness.Pending{Partition: at, Records: slices.Concat(groups[:count]...)})
		groups = groups[count:]
	}
	return parts
}

func (w *recordWriter) append(at store.Partition, records [][]byte) error {
	ctx, cancel := context.WithTimeout(w.term, appendTimeout)
	defer cancel()
	offset, err := w.log.Append(ctx, at, records)
	if err != nil {
		w.logger.Warn("records not appended", zap.Stringer("partition", at), zap.Int("records", len(records)), zap.Error(err))
		return err
	}
	if w.appended != nil {
		w.appended(at, offset)
	}
	return nil
}
