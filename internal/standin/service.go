package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// ServiceOptions configure a Service. Zero values take the defaults.
type ServiceOptions struct {
	// Machine is the server's entry in the machine list: id, pool (the service's
	// name), zone, region and address. NewService sets Kind and State.
	Machine cluster.Machine
	// Server, if set, goes down during a crash; otherwise the handler drops
	// each connection.
	Server *Server
	// Dial opens connections to the platform; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PlatformURL is the base URL of the platform at which the server registers;
	// if empty, it doesn't register.
	PlatformURL string
	// ServiceTime is the execution time of one request.
	ServiceTime time.Duration
	// Concurrency is the maximum number of requests executed at once, QueueLimit
	// that of waiting requests.
	Concurrency int
	QueueLimit  int
	// PayloadBytes is the size of the filler payload in each response.
	PayloadBytes int
}

// The defaults of ServiceOptions.
const (
	DefaultConcurrency       = 64
	DefaultServiceQueueLimit = 256
)

func (o ServiceOptions) withDefaults() ServiceOptions {
	if o.Concurrency <= 0 {
		o.Concurrency = DefaultConcurrency
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = DefaultServiceQueueLimit
	}
	o.Machine = completeMachine(o.Machine, cluster.KindService)
	return o
}

// rejectedRetryAfter is the Retry-After value of rejected requests.
const rejectedRetryAfter = 500 * time.Millisecond

// headerIdempotencyKey carries the client's key of a request.
const headerIdempotencyKey = "Idempotency-Key"

// ServiceResponse is the body of each response to a lookup or a save.
type ServiceResponse struct {
	Server     cluster.BackendID `json:"server"`
	Key        string            `json:"key"`
	Path       string            `json:"path"`
	BodyDigest string            `json:"body_digest"`
	Payload    string            `json:"payload,omitempty"`
}

// Service simulates a service server. It accepts lookups and saves on any path.
type Service struct {
	options    ServiceOptions
	faults     *faults
	registrar  *registrar
	slots      chan struct{}
	background *background

	mu      sync.Mutex
	counts  map[string]int
	running int
	waiting int
	leaving bool
	// crashed is closed and replaced on every crash.
	crashed chan struct{}
}

// NewService starts a service server.
func NewService(options ServiceOptions) *Service {
	options = options.withDefaults()
	s := &Service{
		options: options,
		faults: newFaults(map[FaultName]faultKind{
			FaultCrash:      faultTimed,
			FaultFreeze:     faultTimed,
			FaultSlow:       faultLevel,
			FaultRefuse:     faultTimed,
			FaultDropBefore: faultCounted,
			FaultDropAfter:  faultCounted,
			FaultTruncate:   faultCounted,
		}),
		registrar:  newRegistrar(platform.Options{LogURL: options.PlatformURL, Dial: options.Dial}, options.Machine),
		slots:      make(chan struct{}, options.Concurrency),
		background: newBackground(),
		counts:     make(map[string]int),
		crashed:    make(chan struct{}),
	}
	s.faults.onSet = s.onFaultSet
	s.background.run(func() { s.registrar.register(s.background.ctx, cluster.StateLive) })
	return s
}

// Close aborts pending requests and stops the server's goroutines.
func (s *Service) Close() {
	s.background.close()
	s.registrar.close()
}

// Handler returns the server's HTTP interface. Any path that is not a control
// path is a lookup or a save.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.NotFound = s.faults.guard(s.serve)
	router.HandlerFunc(http.MethodGet, "/counts", s.faults.guard(s.getCounts))
	router.HandlerFunc(http.MethodGet, backend.PathLoad, s.faults.guard(s.getLoad))
	router.HandlerFunc(http.MethodPost, backend.PathLeave, s.faults.guard(s.postLeave))
	router.Handler(http.MethodPost, "/faults", s.faults)
	return router
}

func (s *Service) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.counts)
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, backend.LoadReport{
		Leaving: s.leaving,
		Running: s.running,
		Waiting: s.waiting,
		Slots:   s.options.Concurrency,
	})
}

func (s *Service) postLeave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.background.run(func() { s.registrar.register(s.background.ctx, cluster.StateLeaving) })
	w.WriteHeader(http.StatusAccepted)
}

// onFaultSet applies a crash: running and waiting requests are aborted.
func (s *Service) onFaultSet(name FaultName, value float64) {
	if name != FaultCrash || value == 0 {
		return
	}
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	s.background.run(func() { crashServer(s.background.ctx, s.options.Server, s.faults) })
}

// crashServer takes the server down until the crash fault is over.
func crashServer(ctx context.Context, server *Server, faults *faults) {
	if server == nil {
		return
	}
	server.down()
	if faults.awaitEnd(ctx, FaultCrash) {
		server.up()
	}
}

// serve handles a lookup or a save.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if s.faults.consume(FaultDropBefore) {
		abort()
	}
	crashed, admitted := s.admit(r)
	if !admitted {
		s.reject(w)
		return
	}
	s.run(r, crashed)
	if s.faults.consume(FaultDropAfter) {
		abort()
	}
	s.respond(w, r, body)
}

// admit waits for a slot. It returns false if the request is rejected.
func (s *Service) admit(r *http.Request) (crashed <-chan struct{}, admitted bool) {
	if s.faults.active(FaultRefuse) {
		return nil, false
	}
	s.mu.Lock()
	crashed = s.crashed
	if s.leaving || s.waiting >= s.options.QueueLimit {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.mu.Unlock()
	acquired := s.acquireSlot(r, crashed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if !acquired {
		abort()
	}
	s.running++
	s.counts[countKey(r)]++
	return crashed, true
}

// acquireSlot waits for a slot and reports whether it has one. A free slot is taken even if the client has left, since
// the request has arrived; one that has to wait is dropped with its client.
func (s *Service) acquireSlot(r *http.Request, crashed <-chan struct{}) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
	case <-crashed:
	case <-s.background.ctx.Done():
	}
	return false
}

// run waits for the service time. A request that has started runs to its end even
// if the client has disconnected, as a database write would.
func (s *Service) run(r *http.Request, crashed <-chan struct{}) {
	defer s.release()
	duration := s.options.ServiceTime + s.faults.milliseconds(FaultSlow)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-crashed:
		abort()
	case <-s.background.ctx.Done():
		abort()
	}
	if !s.faults.awaitEnd(r.Context(), FaultFreeze) {
		abort()
	}
}

func (s *Service) release() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

func (s *Service) reject(w http.ResponseWriter) {
	s.writeLoadHeaders(w)
	w.Header().Set(backend.HeaderNotRun, "true")
	errorResponse{
		status:     http.StatusServiceUnavailable,
		code:       "refused",
		message:    "the server takes no new work",
		retryAfter: rejectedRetryAfter,
	}.write(w)
}

// writeLoadHeaders sets the response headers for load and leaving.
func (s *Service) writeLoadHeaders(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(backend.HeaderLoad, strconv.Itoa(s.running+s.waiting))
	if s.leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	digest := sha256.Sum256(body)
	encoded, err := json.Marshal(ServiceResponse{
		Server:     s.options.Machine.ID,
		Key:        r.Header.Get(headerIdempotencyKey),
		Path:       r.URL.RequestURI(),
		BodyDigest: hex.EncodeToString(digest[:]),
		Payload:    strings.Repeat("x", s.options.PayloadBytes),
	})
	if err != nil {
		abort()
	}
	s.writeLoadHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if s.faults.consume(FaultTruncate) {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	_, _ = w.Write(encoded)
}

// countKey returns the key of a request in GET /counts: its idempotency key, or
// else its path.
func countKey(r *http.Request) string {
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		return key
	}
	return r.URL.Path
}
