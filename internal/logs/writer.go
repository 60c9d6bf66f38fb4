// Package logs writes log lines without blocking the process. Lines wait in a bounded queue; when
// the reader of the log stalls, lines are dropped and counted instead of delaying requests.
package logs

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Writer queues lines for a slow target. It implements zapcore.WriteSyncer.
type Writer struct {
	target     io.Writer
	maxPending int
	done       chan struct{}

	mutex sync.Mutex
	// ready signals the goroutine that writes to the target.
	ready   *sync.Cond
	pending []byte
	closing bool

	dropped atomic.Int64
}

// NewWriter returns a writer that queues up to maxPending bytes of lines.
func NewWriter(target io.Writer, maxPending int) *Writer {
	w := &Writer{target: target, maxPending: maxPending, done: make(chan struct{})}
	w.ready = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.pending)+len(line) > w.maxPending {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.ready.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It returns at once, without flushing.
func (*Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. It returns after the timeout even if the
// target blocks.
func (w *Writer) Close(timeout time.Duration) {
	w.mutex.Lock()
	w.closing = true
	w.ready.Signal()
	w.mutex.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines to the target, many in one call when they arrive fast.
func (w *Writer) run() {
	defer close(w.done)
	var lines []byte
	reported := int64(0)
	for {
		var more bool
		lines, more = w.take(lines[:0])
		if !more {
			return
		}
		if dropped := w.dropped.Load(); dropped > reported {
			lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"logger\":\"logs\",\"msg\":\"lines dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		// There is nowhere to report a failure of the log's target.
		_, _ = w.target.Write(lines)
	}
}

func (w *Writer) take(buffer []byte) (lines []byte, more bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.pending) == 0 && !w.closing {
		w.ready.Wait()
	}
	if len(w.pending) == 0 {
		return nil, false
	}
	lines = append(buffer, w.pending...)
	w.pending = slices.Delete(w.pending, 0, len(w.pending))
	return lines, true
}
