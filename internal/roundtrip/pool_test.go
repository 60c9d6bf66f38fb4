package roundtrip

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against requests that break at a server which has just started, since they use connections of the process
// that ended at the same address without closing them. They count as sent, so that unsafe ones are lost.
func TestPeersAtAnAddressShareNoConnections(t *testing.T) {
	server := newScriptedServer(t, func(id string, _ int) (response, late string) {
		return responseText(200, id, "body"), ""
	})
	transport := New(Options{
		IdleTimeout: time.Minute, IdlePerPeer: 4, IDHeader: testIDHeader, Dial: (&net.Dialer{}).DialContext,
	})
	defer transport.Close()
	for number, peer := range []string{"a", "b", "a", "", "b", ""} {
		request := Request{Method: "GET", Address: server.address, Peer: peer, Path: "/", Headers: map[string][]string{testIDHeader: {fmt.Sprint(peer, number)}}}
		response, failed := transport.RoundTrip(context.Background(), request)
		if failed != nil {
			t.Fatalf("request %d: %v", number, failed)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		time.Sleep(10 * time.Millisecond) // the connection becomes idle
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.received) != 3 {
		t.Fatalf("%d connections for two peers and requests without a peer: %v", len(server.received), server.received)
	}
	for _, ids := range server.received {
		if len(ids) != 2 || ids[0][:1] != ids[1][:1] && len(ids[0]) > 1 {
			t.Errorf("requests %v on one connection", ids)
		}
	}
}

func TestPoolAddress(t *testing.T) {
	for _, address := range []string{"10.1.64.5:8529", "[::1]:80", "localhost:80"} {
		first := Request{Address: address, Peer: "i-1 0"}.poolAddress()
		second := Request{Address: address, Peer: "i-2 0"}.poolAddress()
		unnamed := Request{Address: address}.poolAddress()
		if first == second || first == address || unnamed != address {
			t.Errorf("pools of %s: %s, %s, %s", address, first, second, unnamed)
		}
		for _, pool := range []string{first, second, unnamed} {
			if got := dialAddress(pool); got != address {
				t.Errorf("pool %s dials %s, want %s", pool, got, address)
			}
		}
	}
}
