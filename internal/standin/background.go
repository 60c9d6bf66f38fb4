package standin

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// background manages a stand-in's goroutines. close cancels their context.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	tasks  conc.WaitGroup
}

func newBackground() *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{ctx: ctx, cancel: cancel}
}

// run starts a goroutine unless the stand-in is closed.
func (b *background) run(task func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.tasks.Go(task)
	}
}

// close cancels the context and waits for all goroutines.
func (b *background) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.tasks.Wait()
}
