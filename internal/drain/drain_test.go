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

// stepTime bounds each step of these tests.
const stepTime = 20 * time.Second

// testServer is a server whose handler for /held answers once it is released.
type testServer struct {
	*Server
	t        *testing.T
	address  string
	began    chan string
	released chan struct{}
	served   chan error
}

func start(t *testing.T) *testServer {
	return startOn(t, func(listener net.Listener) net.Listener { return listener })
}

func startOn(t *testing.T, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		t: t, address: listener.Addr().String(), began: make(chan string, 100), released: make(chan struct{}), served: make(chan error, 1),
	}
	s.Server = NewServer(Options{HTTP: &http.Server{Handler: s, ReadHeaderTimeout: stepTime, IdleTimeout: stepTime}})
	go func() { s.served <- s.Serve(wrap(listener)) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-s.served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// ServeHTTP answers with the path and the length of the body.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.began <- r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/held") {
		<-s.released
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
}

// drain begins a drain that is bounded by a time; the channel gets how many requests were late.
func (s *testServer) drain(bound time.Duration) chan int {
	late := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		late <- s.Drain(ctx)
	}()
	return late
}

func (s *testServer) awaitDraining() {
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
	for end := time.Now().Add(stepTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("it does not come about that %s", what)
}

func expectLate(t *testing.T, late chan int, want int) {
	t.Helper()
	if got := <-late; got != want {
		t.Errorf("%d requests late, want %d", got, want)
	}
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
	// sendingAt is when ask began to send its last request; gap is the time from there to when
	// the next one was sent.
	sendingAt time.Time
	gap       time.Duration
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(stepTime)); err != nil {
		s.t.Fatal(err)
	}
	return &caller{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

func (c *caller) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// expect reads an answer and checks it.
func (c *caller) expect(want string, last bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer %q: %v", want, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != want || response.Close != last {
		c.t.Errorf("answer %q, %v, last %v; want %q, last %v", text, err, response.Close, want, last)
	}
}

// expectEnd checks that the connection ends without another byte.
func (c *caller) expectEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Errorf("the connection does not end: %v", err)
	}
}

func TestADrainWithNothingUnderWayEndsAtOnce(t *testing.T) {
	s := start(t)
	kept, unused := s.dial(), s.dial()
	kept.write(get("/a"))
	kept.expect("/a 0", false)
	expectLate(t, s.drain(stepTime), 0)
	kept.expectEnd()
	unused.expectEnd()
}

func TestALeavingServerSaysThatAnswersAreTheLast(t *testing.T) {
	s := start(t)
	kept := s.dial()
	kept.write(get("/a"))
	kept.expect("/a 0", false)
	s.Leave()
	kept.write(get("/b"))
	kept.expect("/b 0", true)
	kept.expectEnd()
	late := s.dial()
	late.write(get("/c"))
	late.expect("/c 0", true)
}

func TestADrainWaitsForWhatIsUnderWay(t *testing.T) {
	s := start(t)
	held, half, body := s.dial(), s.dial(), s.dial()
	held.write(get("/held"))
	half.write("GET /half HTTP/1.1\r\nHo")
	body.write("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	<-s.began
	<-s.began
	eventually(t, "the half head is read", func() bool { return s.requests() == 3 })
	late := s.drain(stepTime)
	s.awaitDraining()
	time.Sleep(2 * restTime)
	half.write("st: h\r\n\r\n")
	half.expect("/half 0", true)
	body.write("defghij")
	body.expect("/body 10", false) // its handler began before
	close(s.released)
	held.expect("/held 0", false)
	expectLate(t, late, 0)
}

func TestWhatIsUnderWayAtTheEndIsClosedAndCounted(t *testing.T) {
	s := start(t)
	held, half, kept := s.dial(), s.dial(), s.dial()
	kept.write(get("/a"))
	kept.expect("/a 0", false)
	held.write(get("/held"))
	half.write("GET /half HT")
	eventually(t, "both are read", func() bool { return s.requests() == 2 })
	expectLate(t, s.drain(2*restTime), 2)
	held.expectEnd()
	half.expectEnd()
	kept.expectEnd()
	close(s.released)
}

// A handler that heeds its context gets an answer out at the end.
func TestWhatIsToldToEndIsAnswered(t *testing.T) {
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
	late := s.drain(restTime)
	c.expect(ErrTimeUp.Error(), false)
	expectLate(t, late, 1)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Two requests in one write, the second cut off in its head: what is left of it lies in
// net/http's buffer while the connection counts as idle.
func TestADrainWaitsForRequestsThatCameWithOthers(t *testing.T) {
	for _, arrived := range []string{"GET ", "GET /next HTTP/1.1\r\nHo", get("/next")} {
		t.Run(fmt.Sprint(len(arrived)), func(t *testing.T) {
			s := start(t)
			c := s.dial()
			c.write(get("/first") + arrived)
			c.expect("/first 0", false)
			time.Sleep(restTime)
			late := s.drain(stepTime)
			s.awaitDraining()
			time.Sleep(2 * restTime)
			c.write(get("/next")[len(arrived):])
			c.expect("/next 0", len(arrived) < len(get("/next")))
			expectLate(t, late, 0)
		})
	}
}

// A byte of the next request that was found while the handler ran.
func TestADrainWaitsForARequestWhoseFirstByteCameEarly(t *testing.T) {
	s := start(t)
	c := s.dial()
	c.write(get("/held"))
	<-s.began
	c.write("G")
	time.Sleep(restTime)
	close(s.released)
	c.expect("/held 0", false)
	late := s.drain(stepTime)
	s.awaitDraining()
	time.Sleep(2 * restTime)
	c.write(get("/next")[1:])
	c.expect("/next 0", true)
	expectLate(t, late, 0)
}

// stillListener accepts nothing, and its connections read nothing, while the process is made
// to stand still.
type stillListener struct {
	*net.TCPListener
	still *atomic.Bool
}

type stillConn struct {
	*net.TCPConn
	still *atomic.Bool
}

func await(still *atomic.Bool) {
	for still.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (l *stillListener) Accept() (net.Conn, error) {
	await(l.still)
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stillConn{TCPConn: conn, still: l.still}, nil
}

func (c *stillConn) Read(p []byte) (int, error) {
	await(c.still)
	n, err := c.TCPConn.Read(p)
	await(c.still)
	return n, err
}

func TestADrainAfterAStandstillServesWhatArrivedMeanwhile(t *testing.T) {
	var still atomic.Bool
	s := startOn(t, func(listener net.Listener) net.Listener {
		return &stillListener{TCPListener: listener.(*net.TCPListener), still: &still}
	})
	var kept []*caller
	for range 20 {
		c := s.dial()
		c.write(get("/a"))
		c.expect("/a 0", false)
		kept = append(kept, c)
	}
	still.Store(true)
	first := s.dial() // takes the accept that is under way already
	waiting := []*caller{first}
	for range 20 {
		waiting = append(waiting, s.dial())
	}
	late := s.drain(stepTime)
	time.Sleep(2 * restTime)
	for _, c := range append(kept, waiting...) {
		c.write(get("/b"))
	}
	still.Store(false)
	for _, c := range append(kept, waiting...) {
		c.expect("/b 0", true)
	}
	expectLate(t, late, 0)
}

// Callers that send at once after each answer until one is the last, with no notice before the
// drain. Only one whose connection may have rested for too long finds it closed, its request
// unread: between the sending of its last two requests it took restTime or more.
func TestNoRequestIsCutUnderLoad(t *testing.T) {
	var begun sync.Map
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Store(r.URL.Path, true)
		io.WriteString(w, "answer")
	})}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	var callers conc.WaitGroup
	for i := range 50 {
		c := s.dial()
		callers.Go(func() {
			for n := 0; ; n++ {
				path := fmt.Sprintf("/%d/%d", i, n)
				last, err := c.ask(path)
				if _, ran := begun.Load(path); err != nil && ran {
					t.Errorf("%s was read and not answered: %v", path, err)
				}
				if err != nil && c.gap < restTime {
					t.Errorf("%s was not answered, %v after the request before: %v", path, c.gap, err)
				}
				if err != nil || last {
					return
				}
			}
		})
	}
	time.Sleep(restTime)
	late := s.drain(stepTime)
	callers.Wait()
	expectLate(t, late, 0)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// ask sends a request and reads its answer; last says that it is the connection's last.
func (c *caller) ask(path string) (last bool, err error) {
	before := c.sendingAt
	c.sendingAt = time.Now()
	_, err = io.WriteString(c, get(path))
	c.gap = time.Since(before)
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

// A connection that rests longer than it may is looked at once more, too.
func TestARequestThatComesAsTheRestEndsIsServed(t *testing.T) {
	var still atomic.Bool
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprintf(w, "%s 0", r.URL.Path) })
	server := NewServer(Options{HTTP: &http.Server{Handler: handler, IdleTimeout: restTime}})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&stillListener{TCPListener: listener.(*net.TCPListener), still: &still})
	}()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	c := s.dial()
	still.Store(true)
	c.write(get("/a"))
	time.Sleep(restTime / 10)
	still.Store(false)
	c.expect("/a 0", false)
	still.Store(true)
	time.Sleep(2 * restTime)
	c.write(get("/b"))
	time.Sleep(restTime / 10)
	still.Store(false)
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

func TestADrainBeforeServeAcceptsWhatWaits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{HTTP: &http.Server{Handler: http.NotFoundHandler()}})
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	c := s.dial()
	c.write(get("/a"))
	late := s.drain(stepTime)
	eventually(t, "the drain has begun", s.isDraining)
	if err := server.Serve(listener); err != nil {
		t.Error(err)
	}
	c.expect("404 page not found\n", true)
	expectLate(t, late, 0)
}
