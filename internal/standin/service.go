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
	// Machine is the server's line on the machine list: id, pool (the service's
	// name), zone, region and address. Kind and State are set by NewService.
	Machine cluster.Machine
	// Server, when set, goes down during a crash; otherwise the handler drops
	// each connection.
	Server *Server
	// Dial opens connections to the platform; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PlatformURL is where the server registers, empty for nowhere.
	PlatformURL string
	// ServiceTime is the time that one request runs.
	ServiceTime time.Duration
	// Concurrency is the number of requests that run at once, QueueLimit that
	// of waiting ones.
	Concurrency int
	QueueLimit  int
	// PayloadBytes is the size of the filler in each answer.
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
	o.Machine = describe(o.Machine, cluster.KindService)
	return o
}

// refusedRetryAfter is the time to come back that refusals state.
const refusedRetryAfter = 500 * time.Millisecond

// headerIdempotencyKey names a request.
const headerIdempotencyKey = "Idempotency-Key"

// ServiceAnswer is the body of each answer to a lookup or a save.
type ServiceAnswer struct {
	Server     cluster.BackendID `json:"server"`
	Key        string            `json:"key"`
	Path       string            `json:"path"`
	BodyDigest string            `json:"body_digest"`
	Payload    string            `json:"payload,omitempty"`
}

// Service stands in for a service server: any path, lookups and saves.
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
	// crashed is closed and replaced when the server crashes.
	crashed chan struct{}
}

// NewService returns a running service server.
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
	s.faults.onSet = s.faultSet
	s.background.run(func() { s.registrar.register(s.background.ctx, cluster.StateLive) })
	return s
}

// Close ends waiting requests and the server's goroutines.
func (s *Service) Close() {
	s.background.close()
	s.registrar.close()
}

// Handler returns the server's HTTP interface. What is not an operator's path is
// a lookup or a save.
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

// faultSet reacts to a crash: what runs is lost.
func (s *Service) faultSet(name FaultName, value float64) {
	if name != FaultCrash || value == 0 {
		return
	}
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	s.background.run(func() { crashServer(s.background.ctx, s.options.Server, s.faults) })
}

// crashServer takes a server down until the crash is over.
func crashServer(ctx context.Context, server *Server, faults *faults) {
	if server == nil {
		return
	}
	server.down()
	if faults.waitOver(ctx, FaultCrash) {
		server.up()
	}
}

// serve runs one lookup or save.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if s.faults.take(FaultDropBefore) {
		abort()
	}
	crashed, admitted := s.admit(r)
	if !admitted {
		s.refuse(w)
		return
	}
	s.run(r, crashed)
	if s.faults.take(FaultDropAfter) {
		abort()
	}
	s.answer(w, r, body)
}

// admit waits for a slot. It returns false when the request does not run.
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
	taken := s.takeSlot(r, crashed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if !taken {
		abort()
	}
	s.running++
	s.counts[countKey(r)]++
	return crashed, true
}

func (s *Service) takeSlot(r *http.Request, crashed <-chan struct{}) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
	case <-crashed:
	case <-s.background.ctx.Done():
	}
	return false
}

// run takes the service time. A request that has begun runs to its end even when
// its caller is gone, as a save in a database would.
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
	if !s.faults.waitOver(r.Context(), FaultFreeze) {
		abort()
	}
}

func (s *Service) release() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

func (s *Service) refuse(w http.ResponseWriter) {
	s.writeState(w)
	w.Header().Set(backend.HeaderNotRun, "true")
	refusal{
		status:     http.StatusServiceUnavailable,
		code:       "refused",
		message:    "the server takes no new work",
		retryAfter: refusedRetryAfter,
	}.write(w)
}

// writeState puts the server's load and leaving on an answer.
func (s *Service) writeState(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(backend.HeaderLoad, strconv.Itoa(s.running+s.waiting))
	if s.leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	digest := sha256.Sum256(body)
	encoded, err := json.Marshal(ServiceAnswer{
		Server:     s.options.Machine.ID,
		Key:        r.Header.Get(headerIdempotencyKey),
		Path:       r.URL.RequestURI(),
		BodyDigest: hex.EncodeToString(digest[:]),
		Payload:    strings.Repeat("x", s.options.PayloadBytes),
	})
	if err != nil {
		abort()
	}
	s.writeState(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if s.faults.take(FaultTruncate) {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	_, _ = w.Write(encoded)
}

// countKey names a request in GET /counts.
func countKey(r *http.Request) string {
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		return key
	}
	return r.URL.Path
}
