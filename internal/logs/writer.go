// Package logs writes log lines without ever holding up the process: lines wait
// in a bounded queue, and when their reader stands still, lines are lost and
// counted instead of requests being late.
package logs

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Writer is a queue of lines before a slow writer. It implements zapcore.WriteSyncer.
type Writer struct {
	target io.Writer
	limit  int
	done   chan struct{}

	mutex sync.Mutex
	// ready wakes the goroutine that writes.
	ready   *sync.Cond
	pending []byte
	ending  bool

	dropped atomic.Int64
}

// NewWriter returns a writer that holds up to limit bytes of lines.
func NewWriter(target io.Writer, limit int) *Writer {
	w := &Writer{target: target, limit: limit, done: make(chan struct{})}
	w.ready = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

// Write takes one line. It never waits for the target, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.pending)+len(line) > w.limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.ready.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; it does not wait.
func (*Writer) Sync() error { return nil }

// Dropped returns the number of lines that were lost so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is pending, within a time.
func (w *Writer) Close(limit time.Duration) {
	w.mutex.Lock()
	w.ending = true
	w.ready.Signal()
	w.mutex.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// run writes what is pending, many lines in one call when they come fast.
func (w *Writer) run() {
	defer close(w.done)
	var lines []byte
	told := int64(0)
	for {
		var more bool
		lines, more = w.take(lines[:0])
		if !more {
			return
		}
		if dropped := w.dropped.Load(); dropped > told {
			lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"logger\":\"logs\",\"msg\":\"lines dropped\",\"lines\":%d}\n", dropped-told)
			told = dropped
		}
		// A target that fails for good has nobody to be told.
		_, _ = w.target.Write(lines)
	}
}

func (w *Writer) take(buffer []byte) (lines []byte, more bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.pending) == 0 && !w.ending {
		w.ready.Wait()
	}
	if len(w.pending) == 0 {
		return nil, false
	}
	lines = append(buffer, w.pending...)
	w.pending = slices.Delete(w.pending, 0, len(w.pending))
	return lines, true
}
