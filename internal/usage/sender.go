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
	// sendInterval is the shortest time between two batches of a node. What is counted after
	// a rest is appended at once, so that a node that is killed takes little with it; a fleet
	// of hundreds of busy nodes makes as many appends a second as it has nodes.
	sendInterval = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 700 * time.Millisecond
	// firstRetry is the time after a failed append; it doubles up to longestRetry.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// keepCounts is how long after the end of their window counts are still appended.
	keepCounts = time.Minute
)

// SenderOptions configure a Sender.
type SenderOptions struct {
	Log store.Log
	// Process names this process unlike any other.
	Process string
	// Length is that of a window.
	Length time.Duration
	// Forward has another node append a record that this one could not; it may be nil.
	Forward func(ctx context.Context, record []byte) error
	// Lost is told of requests that no window will hold.
	Lost   func(requests int)
	Logger *zap.Logger
}

// Sender appends what a node counts to the store. Count may be called by several goroutines.
type Sender struct {
	options SenderOptions
	clock   Clock

	// flushing holds a token while a batch is appended, so that only one is under way. It is
	// no mutex, since a flush waits no longer for another than its context lasts.
	flushing chan struct{}

	mutex   sync.Mutex
	counter *Counter
	// counted wakes the goroutine that appends.
	counted chan struct{}
}

// NewSender returns a sender that has counted nothing.
func NewSender(options SenderOptions) *Sender {
	return &Sender{
		options: options, clock: NewClock(), counted: make(chan struct{}, 1), flushing: make(chan struct{}, 1),
		counter: NewCounter(options.Process, options.Length, keepCounts),
	}
}

// Count notes that a request of a tenant began at a time, read from the machine's clock.
func (s *Sender) Count(tenantName string, at time.Time) {
	s.mutex.Lock()
	s.counter.Add(tenantName, s.clock.At(at))
	s.mutex.Unlock()
	select {
	case s.counted <- struct{}{}:
	default:
	}
}

// Run appends until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.counted:
		}
		for retry := firstRetry; !s.Flush(ctx); retry = min(2*retry, longestRetry) {
			if !pause.For(ctx, retry) {
				return
			}
		}
		if !pause.For(ctx, sendInterval) {
			return
		}
	}
}

// Flush appends what was counted so far. It says whether nothing is left.
func (s *Sender) Flush(ctx context.Context) bool {
	select {
	case s.flushing <- struct{}{}:
		defer func() { <-s.flushing }()
	case <-ctx.Done():
		s.options.Logger.Warn("usage not appended in time, another append is under way", zap.Error(ctx.Err()))
		return false
	}
	for {
		batch := s.next()
		if batch == nil {
			return true
		}
		if err := s.deliver(ctx, batch); err != nil {
			s.options.Logger.Warn("usage not appended", zap.Int64("sequence", batch.Sequence), zap.Error(err))
			return false
		}
		s.mutex.Lock()
		s.counter.HandleAppended()
		s.mutex.Unlock()
	}
}

func (s *Sender) next() *Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch, dropped := s.counter.Next(s.clock.Now())
	if dropped > 0 {
		s.options.Logger.Error("usage lost", zap.Int("requests", dropped))
		s.options.Lost(dropped)
	}
	return batch
}

// deliver appends a batch, or has another node do so. A batch that is appended by both counts
// once.
func (s *Sender) deliver(ctx context.Context, batch *Batch) error {
	encoded, err := EncodeBatch(batch)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	_, err = s.options.Log.Append(call, Partition, [][]byte{encoded})
	cancel()
	if err == nil || s.options.Forward == nil {
		return err
	}
	call, cancel = context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if forwarded := s.options.Forward(call, encoded); forwarded != nil {
		return errors.Join(err, forwarded)
	}
	return nil
}
