package fanout

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/store"
)

// A node of an earlier build without the fan-out service must not look like a node without the change: the
// asker gets an error and reads the store.
func TestEarlierBuildWithoutService(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	question := Question{From: -1, Next: 2, Asker: "x"}
	if answer, err := Fetch(ctx, CallNode, nodecalltest.Serve(t), question); err == nil {
		t.Errorf("%+v", answer)
	}
	cache := NewCache()
	cache.Update([]store.Record{record(1, "a", "1")}, true, 2)
	cache.MarkUpToDate(clock.Now())
	address := nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, cache) })
	if answer, err := Fetch(ctx, CallNode, address, question); err != nil || !answer.Whole || answer.Next != 2 || len(answer.Records) != 1 {
		t.Errorf("%+v, %v", answer, err)
	}
}
