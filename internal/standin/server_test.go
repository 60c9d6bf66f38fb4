package standin

import (
	"net"
	"net/http"
	"testing"
)

func TestServerRestarts(t *testing.T) {
	server, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.Serve(http.NotFoundHandler())
	for _, change := range []struct {
		do      func()
		reached bool
	}{
		{do: func() {}, reached: true},
		{do: server.down},
		{do: server.down},
		{do: server.up, reached: true},
		{do: server.up, reached: true},
		{do: server.Close},
		{do: server.up},
	} {
		change.do()
		conn, err := net.Dial("tcp", server.Address())
		if (err == nil) != change.reached {
			t.Fatalf("dial: %v, want server reachable: %t", err, change.reached)
		}
		if err == nil {
			conn.Close()
		}
	}
}
