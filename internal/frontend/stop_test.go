package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A planned stop ends connections that callers keep open. A connection whose next request had
// arrived was closed as idle all the same, since net/http counts it as idle until the whole head
// of the request was parsed: between the arrival of the bytes and the end of the parsing a
// process that shares its processor stands still for as long as the others run. The caller
// read no answer; where the handler ran already, a server had got the request.
//
// What proves it: the connection's goroutine is held before, or after, it reads the bytes,
// until the node has closed its listener, and is let go then. Without the mend the caller
// finds its connection closed; with it, each request is answered.

// stepTime bounds each step of these tests.
const stepTime = 20 * time.Second

// gate holds the reads of connections once it is shut.
type gate struct {
	shut   chan struct{}
	opened chan struct{}
	// before and after say where a read is held.
	before, after bool
}

func newGate() *gate { return &gate{shut: make(chan struct{}), opened: make(chan struct{})} }

// hold waits while the gate is shut.
func (g *gate) hold() {
	select {
	case <-g.shut:
		<-g.opened
	default:
	}
}

type gatedListener struct {
	*net.TCPListener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn, gate: l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	// While a handler runs, net/http watches its connection by a read of one byte.
	watching := len(p) == 1
	if c.gate.before && !watching {
		c.gate.hold()
	}
	n, err := c.TCPConn.Read(p)
	if c.gate.after && !watching && n > 0 {
		c.gate.hold()
	}
	return n, err
}

// handlers is an adapter that serves callers only.
type handlers struct {
	Adapter
	requests http.HandlerFunc
}

func (h handlers) Requests(*Node) http.Handler  { return h.requests }
func (h handlers) Readiness(*Node) http.Handler { return http.NotFoundHandler() }

// stopping is a node that has its listeners and nothing else.
type stopping struct {
	t                   *testing.T
	node                *Node
	servers             []boundServer
	requests, readiness string
	logged              *observer.ObservedLogs
}

func startStopping(t *testing.T, requests http.HandlerFunc, g *gate) *stopping {
	core, logged := observer.New(zapcore.WarnLevel)
	settings := &Settings{Node: "n", GraceSeconds: 8}
	settings.Listen.Requests, settings.Listen.Readiness = freeAddress(t), freeAddress(t)
	node := &Node{options: Options{Settings: settings, Adapter: handlers{requests: requests}, Logger: zap.NewNop()}, logger: zap.New(core)}
	node.metrics = newNodeMetrics(node, nil)
	servers, err := node.listen()
	if err != nil {
		t.Fatal(err)
	}
	for i := range servers {
		if servers[i].listener.Addr().String() == settings.Listen.Requests {
			servers[i].listener = &gatedListener{TCPListener: servers[i].listener.(*net.TCPListener), gate: g}
		}
		go func() {
			if err := servers[i].serve(); err != nil {
				t.Errorf("serve: %v", err)
			}
		}()
		t.Cleanup(func() { servers[i].server.Close() })
	}
	return &stopping{t: t, node: node, servers: servers, requests: settings.Listen.Requests, readiness: settings.Listen.Readiness, logged: logged}
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// finish begins the stop; the channel is closed at its end.
func (s *stopping) finish() chan struct{} {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		s.node.finish(s.servers)
	}()
	return finished
}

// awaitListenerClosed waits until the node takes no more callers.
func (s *stopping) awaitListenerClosed() {
	for end := time.Now().Add(stepTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", s.requests)
		if err != nil {
			return
		}
		conn.Close()
	}
	s.t.Fatal("the listener is not closed")
}

// keptConn is a caller's connection.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (s *stopping) dial(address string) *keptConn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(stepTime)); err != nil {
		s.t.Fatal(err)
	}
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *keptConn) send(path string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	return err
}

// receive reads an answer and says whether it is the connection's last.
func (c *keptConn) receive() (body string, last bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), response.Close, err
}

// closedSoon is how long after its listener a node may close connections that rest.
const closedSoon = 300 * time.Millisecond

func testAnsweredOverAStop(t *testing.T, g *gate) {
	t.Parallel()
	s := startStopping(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(g.shut)
		}
		io.WriteString(w, "answer to "+r.URL.Path)
	}, g)
	caller := s.dial(s.requests)
	if err := caller.send("/first"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := caller.receive(); err != nil {
		t.Fatal(err)
	}
	if err := caller.send("/second"); err != nil {
		t.Fatal(err)
	}
	finished := s.finish()
	s.awaitListenerClosed()
	time.Sleep(closedSoon)
	close(g.opened)
	body, last, err := caller.receive()
	if err != nil || body != "answer to /second" {
		t.Errorf("a request that had arrived gets %q, %v", body, err)
	}
	if err == nil && !last {
		t.Error("the last answer does not say so")
	}
	<-finished
}

func TestAPlannedStopAnswersWhatWasRead(t *testing.T) {
	g := newGate()
	g.after = true
	testAnsweredOverAStop(t, g)
}

func TestAPlannedStopAnswersWhatHasArrived(t *testing.T) {
	g := newGate()
	g.before = true
	testAnsweredOverAStop(t, g)
}

// The listeners were shut down one after the other, in the order of a map and under one
// deadline. A connection that was opened and not used counts as in use for 5 s: one for the
// question whether the node is ready held the others up until the deadline had passed, after
// which what callers had under way was cut.
func TestAPlannedStopDoesNotWaitForUnusedConnections(t *testing.T) {
	t.Parallel()
	s := startStopping(t, func(http.ResponseWriter, *http.Request) {}, newGate())
	finished := s.finish()
	time.Sleep(leaveNotice - 300*time.Millisecond)
	s.dial(s.readiness)
	s.dial(s.requests)
	<-finished
	for _, line := range s.logged.All() {
		t.Errorf("logged: %s %v", line.Message, line.ContextMap())
	}
}

// What was under way at the end of the grace period was cut: its caller read no answer, though
// the node knew that the time was up. What proves it: a handler that lasts until it is told to
// end gets its answer out.
func TestAPlannedStopAnswersWhatItEnds(t *testing.T) {
	t.Parallel()
	began := make(chan struct{})
	s := startStopping(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		w.WriteHeader(http.StatusBadGateway)
		io.WriteString(w, "no answer in time")
	}, newGate())
	s.node.options.Settings.GraceSeconds = (leaveNotice + leaveReserve + closedSoon).Seconds()
	caller := s.dial(s.requests)
	if err := caller.send("/long"); err != nil {
		t.Fatal(err)
	}
	<-began
	finished := s.finish()
	if body, _, err := caller.receive(); err != nil || body != "no answer in time" {
		t.Errorf("a request that a node has to end gets %q, %v", body, err)
	}
	<-finished
}
