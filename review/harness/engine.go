package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sizes of an engine (SYSTEM.md, LATER.md of the site: 12 requests at once; a change of version takes 0.9 s).
const (
	engineSlots   = 12
	engineQueue   = 36
	loadTime      = 900 * time.Millisecond
	loadsAtOnce   = 2
	loadStep      = 10 * time.Millisecond
	eventInterval = 60 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
	modelName     = "daka510000"
)

// weightStore is where engines load versions from. A load takes longer while more than loadsAtOnce engines load.
type weightStore struct {
	mutex   sync.Mutex
	loading int
}

// load waits as long as a load takes.
func (w *weightStore) load() {
	w.change(1)
	defer w.change(-1)
	for done := time.Duration(0); done < loadTime; {
		before := time.Now()
		time.Sleep(loadStep)
		done += time.Duration(float64(time.Since(before)) * min(1, loadsAtOnce/float64(w.change(0))))
	}
}

func (w *weightStore) change(by int) (loading int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loading += by
	return w.loading
}

// order is an order that reached an engine.
type order struct {
	at     time.Time
	holder string
	fence  int64
	wanted int64
	status int
}

// engine is a model server as PROTOCOL.md describes it.
type engine struct {
	id, address, zone string
	store             *standinStore
	record            *recorder
	weights           *weightStore
	// newest returns the newest version named.
	newest func() int64
	// onArrival is called for each item that reaches the engine.
	onArrival func(itemID, engineID string, at time.Time)

	mutex    sync.Mutex
	version  int64
	busy     bool
	sequence int64
	running  int
	waiting  int
	orders   []order
	slots    chan struct{}
}

func newEngine(id, zone string, store *standinStore, record *recorder, weights *weightStore) *engine {
	return &engine{id: id, zone: zone, store: store, record: record, weights: weights, version: 1, slots: make(chan struct{}, engineSlots)}
}

// beat writes the engine's entry in the store again and again.
func (e *engine) beat(service string) {
	for sequence := 1; ; sequence++ {
		e.mutex.Lock()
		version := e.version
		e.mutex.Unlock()
		e.store.put("keyed.servers", e.id, map[string]any{
			"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldRemainingMs": 0,
			"stage": "both", "models": []map[string]any{{"name": modelName, "version": version, "adapters": []string{}}}, "sequence": sequence,
		})
		time.Sleep(heartbeatTime)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.serveReport(w)
	case "/-/order":
		e.serveOrder(w, r)
	default:
		e.serveItem(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}, "busy": e.busy,
		"sequence": e.sequence, "waiting": e.waiting, "running": e.running, "kvCacheUsed": 0, "kvCacheTotal": 83311, "handles": 0,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Operation        string `json:"operation"`
		Version          int64  `json:"version"`
		Mode             string `json:"mode"`
		Holder           string `json:"holder"`
		FencingToken     int64  `json:"fencingToken"`
		ExpectedRevision *int64 `json:"expectedRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.Operation != "version" || call.Holder == "" || call.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	newest := e.newest()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case call.Version > newest:
		status = http.StatusBadRequest
	case e.busy || call.ExpectedRevision != nil && *call.ExpectedRevision != e.sequence:
		status = http.StatusConflict
	case e.version == call.Version:
		status = http.StatusOK
	default:
		e.busy = true
		e.sequence++
		go e.change(call.Version, call.Mode == "wait")
	}
	taken := order{at: time.Now(), holder: call.Holder, fence: call.FencingToken, wanted: call.Version, status: status}
	e.orders = append(e.orders, taken)
	e.record.note("order at %s by %s, fencing token %d: version %d, answer %d", e.id, taken.holder, taken.fence, taken.wanted, status)
	w.WriteHeader(status)
}

// change loads a version. With wait, the runs finish first.
func (e *engine) change(version int64, wait bool) {
	for wait {
		e.mutex.Lock()
		idle := e.running == 0
		e.mutex.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	e.weights.load()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version, e.busy = version, false
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// eventsOf returns the number of events of an item.
func eventsOf(itemID string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(itemID))
	return 8 + int(hash.Sum32()%20)
}

// admit waits for a slot; it returns a status other than 0 if the request is not run.
func (e *engine) admit(r *http.Request) int {
	e.mutex.Lock()
	expected := r.Header.Get("X-Expected-Version")
	switch {
	case expected != "" && expected != strconv.FormatInt(e.version, 10):
		e.mutex.Unlock()
		return http.StatusMisdirectedRequest
	case e.busy || e.waiting >= engineQueue:
		e.mutex.Unlock()
		return http.StatusServiceUnavailable
	}
	e.waiting++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.waiting--
		e.mutex.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return http.StatusServiceUnavailable
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.busy {
		<-e.slots
		return http.StatusServiceUnavailable
	}
	e.running++
	return 0
}

func (e *engine) serveItem(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if e.onArrival != nil {
		e.onArrival(id, e.id, time.Now())
	}
	if status := e.admit(r); status != 0 {
		refuse(w, status)
		return
	}
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
		<-e.slots
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mutex.Lock()
	version := e.version
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Signature", "sig-"+e.id+"-"+id)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for number := after + 1; number <= eventsOf(id); number++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		change := ""
		e.mutex.Lock()
		if e.version != version {
			version = e.version
			change = fmt.Sprintf("x-weight-versions:%d\n", version)
		}
		e.mutex.Unlock()
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s.%d@%d\n\n", change, number, id, number, version); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
