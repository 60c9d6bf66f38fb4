package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dalehook/internal/machine"
)

// stepTime bounds each step of a test.
const stepTime = 20 * time.Second

// holdingListener gives connections whose reads are held, once holding is set, after they have
// read something.
type holdingListener struct {
	net.Listener
	holding  atomic.Bool
	released chan struct{}
}

type holdingConn struct {
	*net.TCPConn
	listener *holdingListener
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &holdingConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

func (c *holdingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	// While a handler runs, net/http watches its connection by a read of one byte.
	if len(p) > 1 && n > 0 && c.listener.holding.Load() {
		<-c.listener.released
	}
	return n, err
}

// A request that was read just before a node that has left closes its connections got no
// answer: net/http's Shutdown takes a connection for idle until a request's head was parsed.
// What proves it: the connection's goroutine is held between the two until the listener is
// closed.
func TestAPlannedStopAnswersARequestThatWasRead(t *testing.T) {
	f := newFixture(t, on(machine.Left{}))
	held := &holdingListener{Listener: f.options.Listeners.Client, released: make(chan struct{})}
	f.options.Listeners.Client = held
	f.run(t)
	<-f.registered
	conn, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(stepTime)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	ask := func() {
		if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(what string) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s got no answer: %v", what, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	ask()
	expect("the first request")
	held.holding.Store(true)
	ask()
	f.Leave()
	for refused := false; !refused; time.Sleep(5 * time.Millisecond) {
		other, err := net.Dial("tcp", held.Addr().String())
		refused = err != nil
		if !refused {
			other.Close()
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(held.released)
	expect("a request that was read")
	if err := f.end(); err != nil {
		t.Errorf("a planned stop ended with %v", err)
	}
}
