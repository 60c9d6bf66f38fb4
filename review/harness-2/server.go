package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dalehook/internal/store"
)

// heartbeatInterval is the time between two writes of a server's entry.
const heartbeatInterval = 1200 * time.Millisecond

// server is a stand-in of a server: of a model's if it has one, else of any service.
type server struct {
	world   *world
	id      string
	service string
	model   string
	address string
	slots   int
	// gap is the time between two events of a stream, silence that after which a slow stream sends a comment line;
	// 0 stands for never.
	gap, silence time.Duration
	// events returns the number of events of an item.
	events func(id string) int

	mutex    sync.Mutex
	version  int64
	sequence int64
	fence    int64
	busy     bool
	running  int
	beats    int64
	slow     float64
	// grey is the share of its requests that the server fails after their work, ran holds those that it has run.
	grey float64
	ran  map[string]bool
}

// startServer starts a server and lists it.
func (w *world) startServer(s *server) error {
	s.world, s.version, s.slow, s.ran = w, 1, 1, make(map[string]bool)
	address, err := w.serve(s)
	if err != nil {
		return err
	}
	s.address = address
	w.note("server %s of %s at %s", s.id, s.service, s.address)
	go s.beat()
	return nil
}

// beat writes the server's entry until the play ends.
func (s *server) beat() {
	for {
		if !s.world.storeIsDown() {
			s.putEntry()
		}
		if s.world.sleep(heartbeatInterval) != nil {
			return
		}
	}
}

func (s *server) putEntry() {
	s.mutex.Lock()
	s.beats++
	entry := object{
		"service": s.service, "address": s.address, "zone": "cercado", "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.beats,
	}
	if s.model != "" {
		entry["stage"] = "both"
		entry["models"] = []object{{"name": s.model, "version": s.version, "adapters": []string{}}}
	}
	s.mutex.Unlock()
	if text, err := json.Marshal(entry); err == nil {
		s.world.store.Memory.Put(store.TopicServers, s.id, text)
	}
}

// setSlow makes the server's work take a multiple of its time.
func (s *server) setSlow(factor float64) {
	s.mutex.Lock()
	s.slow = factor
	s.mutex.Unlock()
	s.world.note("server %s takes %g times as long", s.id, factor)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)
	case r.URL.Path == "/-/report":
		s.report(w)
	case r.URL.Path == "/-/order":
		s.order(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{
		"stage": "both", "models": []object{{"name": s.model, "version": s.version, "adapters": []string{}}}, "busy": s.busy,
		"sequence": s.sequence, "waiting": 0, "running": s.running, "kvCacheUsed": 0, "kvCacheTotal": 52385, "handles": 0,
	})
}

// loadTime is how long a change of the version takes.
const loadTime = 900 * time.Millisecond

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version          int64
		Holder           string
		FencingToken     int64
		ExpectedRevision *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case order.FencingToken < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy || order.ExpectedRevision != nil && *order.ExpectedRevision != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case order.Version <= s.version:
		return
	}
	s.fence, s.busy = order.FencingToken, true
	s.sequence++
	time.AfterFunc(loadTime, func() {
		s.mutex.Lock()
		s.version, s.busy = order.Version, false
		s.mutex.Unlock()
		s.putEntry()
	})
	w.WriteHeader(http.StatusAccepted)
}

// takeSlot takes a slot; it returns false if none is free.
func (s *server) takeSlot() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running >= s.slots || s.busy {
		return false
	}
	s.running++
	return true
}

func (s *server) freeSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if !s.takeSlot() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.freeSlot()
	w.Header().Set("X-Server-Signature", "sig."+s.id+"."+id)
	if s.model == "" {
		s.serveSingle(w, r, id)
		return
	}
	s.stream(w, r, id)
}

// serveSingle runs a request and answers with a single body that names the server's service.
func (s *server) serveSingle(w http.ResponseWriter, r *http.Request, id string) {
	s.mutex.Lock()
	s.ran[id] = true
	fails := rand.Float64() < s.grey
	s.mutex.Unlock()
	s.world.note("server %s of %s runs %s %s %s, fails: %t", s.id, s.service, id, r.Method, r.RequestURI, fails)
	if fails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "%s %s", s.service, id)
}

// setGrey makes the server fail a share of its requests.
func (s *server) setGrey(share float64) {
	s.mutex.Lock()
	s.grey = share
	s.mutex.Unlock()
	s.world.note("server %s fails %g of its requests", s.id, share)
}

// hasRun reports whether the server has run a request.
func (s *server) hasRun(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}

// eventText returns the data of an item's event.
func eventText(id string, number int, version int64) string {
	return fmt.Sprintf("%s.%d@%d", id, number, version)
}

// stream answers with the events of an item, from the one after Last-Event-Id on.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	milliseconds, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	end := time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	s.world.note("server %s runs %s after %d", s.id, id, after)
	version := s.currentVersion()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	control := http.NewResponseController(w)
	number := after
	defer func() { s.world.note("server %s ends %s at event %d", s.id, id, number) }()
	for number < s.events(id) {
		if !s.awaitEvent(w, r, control) {
			return
		}
		if time.Now().After(end) {
			panic(http.ErrAbortHandler)
		}
		number++
		text := ""
		if now := s.currentVersion(); now != version {
			version = now
			text = fmt.Sprintf("x-weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", text, number, eventText(id, number, version))
		if control.Flush() != nil {
			return
		}
	}
}

func (s *server) currentVersion() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

// awaitEvent waits until the next event is made; it returns false if the client has left. After some silence it sends a
// comment line, which keeps the connection open and is no event.
func (s *server) awaitEvent(w http.ResponseWriter, r *http.Request, control *http.ResponseController) bool {
	s.mutex.Lock()
	made := time.Now().Add(time.Duration(s.slow * float64(s.gap)))
	s.mutex.Unlock()
	for {
		wait := time.Until(made)
		if s.silence > 0 {
			wait = min(wait, s.silence)
		}
		select {
		case <-r.Context().Done():
			return false
		case <-s.world.ctx.Done():
			return false
		case <-time.After(wait):
		}
		if !time.Now().Before(made) {
			return true
		}
		_, _ = fmt.Fprint(w, ": keep-alive\n\n")
		if control.Flush() != nil {
			return false
		}
	}
}

// itemName returns the part of an item's id before its first point.
func itemName(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}
