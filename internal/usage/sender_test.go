package usage

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/store"
)

// unansweredLog is a log that answers no append.
type unansweredLog struct {
	store.Log
	appended chan struct{}
}

func (l *unansweredLog) Append(ctx context.Context, _ store.Partition, _ [][]byte) (int64, error) {
	l.appended <- struct{}{}
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against a final flush that outlasts its context. A leaving node flushes its counts once
// more within a time limit. When the store did not answer, that flush waited for the one in
// progress, which is bounded only by its own timeouts: with the forward to another node up to
// 1.4 s, more than a leaving node reserves for its shutdown. The final flush must therefore return
// while the other one is still in progress.
func TestFinalFlushTimesOutBehindRunningFlush(t *testing.T) {
	log := &unansweredLog{appended: make(chan struct{}, 10)}
	sender := NewSender(SenderOptions{Log: log, Process: "p", WindowLength: testWindowLength, OnLost: func(int) {}, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sender.Count("a", time.Now())
	firstDone := make(chan struct{})
	go func() {
		defer close(firstDone)
		sender.Flush(ctx)
	}()
	<-log.appended
	finalCtx, cancelFinal := context.WithTimeout(ctx, appendTimeout/10)
	defer cancelFinal()
	if sender.Flush(finalCtx) {
		t.Error("a flush succeeded although the store did not answer")
	}
	select {
	case <-firstDone:
		t.Error("the final flush waited for the one in progress")
	default:
	}
	cancel()
	<-firstDone
}
