package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stepTimeout bounds each step of these tests.
const stepTimeout = 20 * time.Second

// testServer is a server whose handler for /held responds once it is released.
type testServer struct {
	*Server
	t        *testing.T
	address  string
	started  chan string
	released chan struct{}
	served   chan error
}

func startServer(t *testing.T) *testServer {
	return startServerOn(t, func(listener net.Listener) net.Listener { return listener })
}

func startServerOn(t *testing.T, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		t: t, address: listener.Addr().String(), started: make(chan string, 100), released: make(chan struct{}), served: make(chan error, 1),
	}
	s.Server = NewServer(Options{HTTP: &http.Server{Handler: s, ReadHeaderTimeout: stepTimeout, IdleTimeout: stepTimeout}})
	go func() { s.served <- s.Serve(wrap(listener)) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-s.served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// ServeHTTP responds with the path and the length of the body.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/held") {
		<-s.released
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
}

// drain starts a drain with a timeout; the channel receives the number of unfinished requests.
func (s *testServer) drain(timeout time.Duration) chan int {
	unfinished := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		unfinished <- s.Drain(ctx)
	}()
	return unfinished
}

func (s *testServer) awaitListenerClosed() {
	s.t.Helper()
	eventually(s.t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", s.address)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timeout: not true that %s", what)
}

func expectUnfinished(t *testing.T, unfinished chan int, want int) {
	t.Helper()
	if got := <-unfinished; got != want {
		t.Errorf("%d requests unfinished, want %d", got, want)
	}
}

// client is a connection to a server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
	// lastSendAt is when roundTrip began to send its last request; sendGap is the time from the start
	// of the previous send to the end of the last one.
	lastSendAt time.Time
	sendGap    time.Duration
}

func (s *testServer) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &client{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

func (c *client) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// expect reads a response and checks it.
func (c *client) expect(want string, last bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response %q: %v", want, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != want || response.Close != last {
		c.t.Errorf("response %q, %v, last %v; want %q, last %v", text, err, response.Close, want, last)
	}
}

// expectEnd checks that the connection is closed without another byte.
func (c *client) expectEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Errorf("the connection is not closed: %v", err)
	}
}

func TestDrainClosesIdleConnections(t *testing.T) {
	s := startServer(t)
	used, unused := s.dial(), s.dial()
	used.write(get("/a"))
	used.expect("/a 0", false)
	expectUnfinished(t, s.drain(stepTimeout), 0)
	used.expectEnd()
	unused.expectEnd()
}

func TestResponsesCloseConnectionsOnceKeepAlivesAreDisabled(t *testing.T) {
	s := startServer(t)
	kept := s.dial()
	kept.write(get("/a"))
	kept.expect("/a 0", false)
	s.DisableKeepAlives()
	kept.write(get("/b"))
	kept.expect("/b 0", true)
	kept.expectEnd()
	fresh := s.dial()
	fresh.write(get("/c"))
	fresh.expect("/c 0", true)
}

func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	s := startServer(t)
	held, half, body := s.dial(), s.dial(), s.dial()
	held.write(get("/held"))
	half.write("GET /half HTTP/1.1\r\nHo")
	body.write("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	<-s.started
	<-s.started
	eventually(t, "the partial header is read", func() bool { return s.activeConns() == 3 })
	unfinished := s.drain(stepTimeout)
	s.awaitListenerClosed()
	time.Sleep(2 * IdleGracePeriod)
	half.write("st: h\r\n\r\n")
	half.expect("/half 0", true)
	body.write("defghij")
	body.expect("/body 10", false) // its handler began before the drain
	close(s.released)
	held.expect("/held 0", false)
	expectUnfinished(t, unfinished, 0)
}

func TestDrainTimeoutClosesAndCountsRequests(t *testing.T) {
	s := startServer(t)
	held, half, kept := s.dial(), s.dial(), s.dial()
	kept.write(get("/a"))
	kept.expect("/a 0", false)
	held.write(get("/held"))
	half.write("GET /half HT")
	eventually(t, "both are read", func() bool { return s.activeConns() == 2 })
	expectUnfinished(t, s.drain(2*IdleGracePeriod), 2)
	held.expectEnd()
	half.expectEnd()
	kept.expectEnd()
	close(s.released)
}

// A handler that returns when its context is canceled can still respond after the drain's timeout.
func TestCanceledRequestsAreAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	began := make(chan struct{})
	server := NewServer(Options{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		io.WriteString(w, context.Cause(r.Context()).Error())
	})}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	c := s.dial()
	c.write(get("/long"))
	<-began
	unfinished := s.drain(IdleGracePeriod)
	c.expect(ErrDrainTimeout.Error(), false)
	expectUnfinished(t, unfinished, 1)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// A client sends a request together with a part of the next one, or all of it. The bytes of the next
// request are in net/http's buffer while net/http considers the connection idle.
func TestDrainWaitsForPipelinedRequests(t *testing.T) {
	for _, arrived := range []string{"GET ", "GET /next HTTP/1.1\r\nHo", get("/next")} {
		t.Run(fmt.Sprint(len(arrived)), func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			c.write(get("/first") + arrived)
			c.expect("/first 0", false)
			time.Sleep(IdleGracePeriod)
			unfinished := s.drain(stepTimeout)
			s.awaitListenerClosed()
			time.Sleep(2 * IdleGracePeriod)
			c.write(get("/next")[len(arrived):])
			c.expect("/next 0", len(arrived) < len(get("/next")))
			expectUnfinished(t, unfinished, 0)
		})
	}
}

// The first byte of the next request is read while the handler of the previous one runs.
func TestDrainWaitsForRequestBegunDuringAnother(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	c.write(get("/held"))
	<-s.started
	c.write("G")
	time.Sleep(IdleGracePeriod)
	close(s.released)
	c.expect("/held 0", false)
	unfinished := s.drain(stepTimeout)
	s.awaitListenerClosed()
	time.Sleep(2 * IdleGracePeriod)
	c.write(get("/next")[1:])
	c.expect("/next 0", true)
	expectUnfinished(t, unfinished, 0)
}

// pausableListener simulates a suspended process: while paused, it accepts no connections and its
// connections read nothing.
type pausableListener struct {
	*net.TCPListener
	paused *atomic.Bool
}

type pausableConn struct {
	*net.TCPConn
	paused *atomic.Bool
}

func awaitResumed(paused *atomic.Bool) {
	for paused.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (l *pausableListener) Accept() (net.Conn, error) {
	awaitResumed(l.paused)
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &pausableConn{TCPConn: conn, paused: l.paused}, nil
}

func (c *pausableConn) Read(p []byte) (int, error) {
	awaitResumed(c.paused)
	n, err := c.TCPConn.Read(p)
	awaitResumed(c.paused)
	return n, err
}

func TestDrainAfterSuspensionServesRequestsThatArrived(t *testing.T) {
	var paused atomic.Bool
	s := startServerOn(t, func(listener net.Listener) net.Listener {
		return &pausableListener{TCPListener: listener.(*net.TCPListener), paused: &paused}
	})
	var kept []*client
	for range 20 {
		c := s.dial()
		c.write(get("/a"))
		c.expect("/a 0", false)
		kept = append(kept, c)
	}
	paused.Store(true)
	first := s.dial() // accepted by the call that is already waiting
	waiting := []*client{first}
	for range 20 {
		waiting = append(waiting, s.dial())
	}
	unfinished := s.drain(stepTimeout)
	time.Sleep(2 * IdleGracePeriod)
	for _, c := range append(kept, waiting...) {
		c.write(get("/b"))
	}
	paused.Store(false)
	for _, c := range append(kept, waiting...) {
		c.expect("/b 0", true)
	}
	expectUnfinished(t, unfinished, 0)
}

// Clients send a request immediately after each response until one carries "Connection: close";
// keep-alives are not disabled before the drain. A request may stay unanswered only if the connection
// may have been idle for too long, that is, if IdleGracePeriod or more passed between the client's
// last two sends, and only if it was not read.
func TestDrainUnderLoadDropsNoRequests(t *testing.T) {
	var started sync.Map
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Store(r.URL.Path, true)
		io.WriteString(w, "answer")
	})}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	var clients conc.WaitGroup
	for i := range 50 {
		c := s.dial()
		clients.Go(func() {
			for n := 0; ; n++ {
				path := fmt.Sprintf("/%d/%d", i, n)
				last, err := c.roundTrip(path)
				if _, ran := started.Load(path); err != nil && ran {
					t.Errorf("%s was read but not answered: %v", path, err)
				}
				if err != nil && c.sendGap < IdleGracePeriod {
					t.Errorf("%s was not answered although sent %v after the previous request: %v", path, c.sendGap, err)
				}
				if err != nil || last {
					return
				}
			}
		})
	}
	time.Sleep(IdleGracePeriod)
	unfinished := s.drain(stepTimeout)
	clients.Wait()
	expectUnfinished(t, unfinished, 0)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// roundTrip sends a request and reads its response; last reports whether it is the connection's last.
func (c *client) roundTrip(path string) (last bool, err error) {
	before := c.lastSendAt
	c.lastSendAt = time.Now()
	_, err = io.WriteString(c, get(path))
	c.sendGap = time.Since(before)
	if err != nil {
		return false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Close, err
}

// A connection whose idle timeout has passed is also checked for data once more before it is closed.
func TestRequestArrivingAtIdleTimeoutIsServed(t *testing.T) {
	var paused atomic.Bool
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprintf(w, "%s 0", r.URL.Path) })
	server := NewServer(Options{HTTP: &http.Server{Handler: handler, IdleTimeout: IdleGracePeriod}})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&pausableListener{TCPListener: listener.(*net.TCPListener), paused: &paused})
	}()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	c := s.dial()
	paused.Store(true)
	c.write(get("/a"))
	time.Sleep(IdleGracePeriod / 10)
	paused.Store(false)
	c.expect("/a 0", false)
	paused.Store(true)
	time.Sleep(2 * IdleGracePeriod)
	c.write(get("/b"))
	time.Sleep(IdleGracePeriod / 10)
	paused.Store(false)
	c.expect("/b 0", false)
	server.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

func (s *testServer) isDraining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

func TestDrainBeforeServeAcceptsPendingConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{HTTP: &http.Server{Handler: http.NotFoundHandler()}})
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	c := s.dial()
	c.write(get("/a"))
	unfinished := s.drain(stepTimeout)
	eventually(t, "the drain has begun", s.isDraining)
	if err := server.Serve(listener); err != nil {
		t.Error(err)
	}
	c.expect("404 page not found\n", true)
	expectUnfinished(t, unfinished, 0)
}
