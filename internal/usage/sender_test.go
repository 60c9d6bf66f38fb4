package usage

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/store"
)

// silentLog is a store that takes appends and answers none.
type silentLog struct {
	store.Log
	asked chan struct{}
}

func (l *silentLog) Append(ctx context.Context, _ store.Partition, _ [][]byte) (int64, error) {
	l.asked <- struct{}{}
	<-ctx.Done()
	return 0, ctx.Err()
}

// A node that leaves appends once more what it has counted, within a bound. Where the store
// answered nothing, that append waited for the one under way, which is bounded by itself only:
// with another node asked in the store's place, up to 1.4 s, more than a leaving node keeps for
// its end. What proves it: the last flush is over while the other append is still under way.
func TestALastFlushDoesNotOutlastItsTimeForAnother(t *testing.T) {
	log := &silentLog{asked: make(chan struct{}, 10)}
	sender := NewSender(SenderOptions{Log: log, Process: "p", Length: testLength, Lost: func(int) {}, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sender.Count("a", time.Now())
	underWay := make(chan struct{})
	go func() {
		defer close(underWay)
		sender.Flush(ctx)
	}()
	<-log.asked
	last, cancelLast := context.WithTimeout(ctx, appendTimeout/10)
	defer cancelLast()
	if sender.Flush(last) {
		t.Error("a flush without the store has left nothing")
	}
	select {
	case <-underWay:
		t.Error("the last flush has waited for the one under way")
	default:
	}
	cancel()
	<-underWay
}
