package usage

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/pause"
	"dalehook/internal/store"
)

const (
	// sendInterval is the minimum time between two batches of a node. A count after an idle
	// period is appended at once, so that a killed node loses little. A fleet of hundreds of
	// busy nodes makes one append per node and second.
	sendInterval = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 700 * time.Millisecond
	// initialRetryDelay is the delay after the first failed append; it doubles with each further
	// failure, up to maxRetryDelay.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// countRetention is how long after the end of their window counts are still appended.
	countRetention = time.Minute
)

// SenderOptions configure a Sender.
type SenderOptions struct {
	Log store.Log
	// Process uniquely identifies this process.
	Process string
	// WindowLength is the duration of a window.
	WindowLength time.Duration
	// AppendVia asks another node to append a record on behalf of this one, whose own append
	// failed; it may be nil.
	AppendVia func(ctx context.Context, record []byte) error
	// OnLost is called with the number of requests that no window will include.
	OnLost func(requests int)
	Logger *zap.Logger
}

// Sender counts the requests of a node and appends the counts to the store. Count may be called
// by several goroutines.
type Sender struct {
	options SenderOptions
	clock   Clock

	// flushSlot is a semaphore that allows one flush at a time. It is not a mutex, so that a flush
	// stops waiting for another when its context ends.
	flushSlot chan struct{}

	mutex   sync.Mutex
	counter *Counter
	// wake wakes the goroutine that appends.
	wake chan struct{}
}

// NewSender returns a sender without counts.
func NewSender(options SenderOptions) *Sender {
	return &Sender{
		options: options, clock: NewClock(), wake: make(chan struct{}, 1), flushSlot: make(chan struct{}, 1),
		counter: NewCounter(options.Process, options.WindowLength, countRetention),
	}
}

// Count counts one request of a tenant that started at the given reading of the machine's clock.
func (s *Sender) Count(tenantName string, at time.Time) {
	s.mutex.Lock()
	s.counter.Add(tenantName, s.clock.At(at))
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run appends counts until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for retryDelay := initialRetryDelay; !s.Flush(ctx); retryDelay = min(2*retryDelay, maxRetryDelay) {
			if !pause.For(ctx, retryDelay) {
				return
			}
		}
		if !pause.For(ctx, sendInterval) {
			return
		}
	}
}

// Flush appends the counts so far. It reports whether all of them were appended or discarded.
func (s *Sender) Flush(ctx context.Context) bool {
	select {
	case s.flushSlot <- struct{}{}:
		defer func() { <-s.flushSlot }()
	case <-ctx.Done():
		s.options.Logger.Warn("usage not appended in time: another append is in progress", zap.Error(ctx.Err()))
		return false
	}
	for {
		batch := s.nextBatch()
		if batch == nil {
			return true
		}
		if err := s.appendBatch(ctx, batch); err != nil {
			s.options.Logger.Warn("usage not appended", zap.Int64("sequence", batch.Sequence), zap.Error(err))
			return false
		}
		s.mutex.Lock()
		s.counter.HandleAppended()
		s.mutex.Unlock()
	}
}

func (s *Sender) nextBatch() *Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch, lost := s.counter.NextBatch(s.clock.Now())
	if lost > 0 {
		s.options.Logger.Error("usage lost", zap.Int("requests", lost))
		s.options.OnLost(lost)
	}
	return batch
}

// appendBatch appends a batch, or asks another node to do so if that fails. A batch that both
// append counts once.
func (s *Sender) appendBatch(ctx context.Context, batch *Batch) error {
	encoded, err := EncodeBatch(batch)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	_, err = s.options.Log.Append(callCtx, Partition, [][]byte{encoded})
	cancel()
	if err == nil || s.options.AppendVia == nil {
		return err
	}
	callCtx, cancel = context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if forwardErr := s.options.AppendVia(callCtx, encoded); forwardErr != nil {
		return errors.Join(err, forwardErr)
	}
	return nil
}
