package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a request that arrived while its server was frozen and was not run afterwards, although all slots were
// free (TestServiceFaults/freeze_100, about 1 run of 100): of a free slot and an ended context either was taken.
func TestFreeSlotIsTakenAlthoughTheClientHasLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/answers/7", nil)
	service := NewService(ServiceOptions{})
	defer service.Close()
	for range 100 { // the choice was random
		if !service.acquireSlot(request, nil) {
			t.Fatal("the request was dropped while a slot was free")
		}
		<-service.slots
	}
	for len(service.slots) < cap(service.slots) {
		service.slots <- struct{}{}
	}
	if service.acquireSlot(request, nil) {
		t.Error("a request whose client has left got a slot that is not free")
	}
}
