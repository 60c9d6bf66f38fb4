// Package standin implements stand-ins for the systems that dalehook depends on:
// the platform, model engines and service servers. They are HTTP servers with
// faults that are injected over HTTP, for tests, demos and benchmarks.
package standin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// PlatformOptions configure a Platform. Zero values take the defaults.
type PlatformOptions struct {
	// ListLag is the delay before a change of the machine list becomes visible.
	ListLag time.Duration
	// WeightsRate limits weight fetches per second; zero means no limit.
	WeightsRate float64
	// WeightsBurst is the burst size of the fetch limit, at least one.
	WeightsBurst int
}

// Platform simulates the log service, the weight store and the machine list.
type Platform struct {
	faults    *faults
	limiter   *rate.Limiter
	done      chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	logs     map[string]*memoryLog
	machines map[cluster.BackendID]cluster.Machine
	visible  delayedValue[[]cluster.Machine]
	weights  map[weightsKey][]byte
}

// weightsKey identifies the weights of a version. With an empty model it refers
// to the most recent upload of that version for any model.
type weightsKey struct {
	model   cluster.ModelName
	version string
}

// NewPlatform returns a platform with empty logs.
func NewPlatform(options PlatformOptions) *Platform {
	limit := rate.Inf
	if options.WeightsRate > 0 {
		limit = rate.Limit(options.WeightsRate)
	}
	p := &Platform{
		faults: newFaults(map[FaultName]faultKind{
			FaultStoreDown:        faultTimed,
			FaultStoreSlow:        faultLevel,
			FaultAppendAnswerLost: faultCounted,
			FaultListLag:          faultLevel,
		}),
		limiter:  rate.NewLimiter(limit, max(options.WeightsBurst, 1)),
		done:     make(chan struct{}),
		logs:     make(map[string]*memoryLog),
		machines: make(map[cluster.BackendID]cluster.Machine),
		weights:  make(map[weightsKey][]byte),
	}
	p.visible.set(time.Now(), []cluster.Machine{})
	p.faults.values[FaultListLag] = float64(options.ListLag.Milliseconds())
	return p
}

// Close aborts pending long polls.
func (p *Platform) Close() { p.closeOnce.Do(func() { close(p.done) }) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/logs/:name", p.postLog)
	router.GET("/logs/:name", p.getLog)
	router.GET("/machines", p.getMachines)
	router.PUT("/machines/:id", p.putMachine)
	router.PUT("/weights/:model/:version", p.putWeights)
	router.GET("/weights/:model/:version", p.getWeights)
	router.GET("/weights/:model", p.getNewestWeights)
	router.Handler(http.MethodPost, "/faults", p.faults)
	return router
}

func (p *Platform) getMachines(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	machines := p.visible.get(time.Now(), p.faults.milliseconds(FaultListLag))
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, platform.MachineList{Machines: machines})
}

func (p *Platform) putMachine(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var machine cluster.Machine
	if !readJSON(w, r, &machine) {
		return
	}
	machine.ID = cluster.BackendID(params.ByName("id"))
	if machine.State == "" {
		machine.State = cluster.StateLive
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine.ID] = machine
	list := slices.SortedFunc(maps.Values(p.machines), func(a, b cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	p.visible.set(time.Now(), list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.applyStoreFaults(r)
	version := params.ByName("version")
	if _, err := strconv.ParseInt(version, 10, 64); err != nil {
		badRequest("version is not a number").write(w)
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[weightsKey{model: cluster.ModelName(params.ByName("model")), version: version}] = body
	p.weights[weightsKey{version: version}] = body
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.applyStoreFaults(r)
	p.writeWeights(w, weightsKey{
		model:   cluster.ModelName(params.ByName("model")),
		version: params.ByName("version"),
	})
}

// getNewestWeights handles GET /weights/{version}. The parameter is named "model"
// because the router requires the same name as in the longer path.
func (p *Platform) getNewestWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.applyStoreFaults(r)
	p.writeWeights(w, weightsKey{version: params.ByName("model")})
}

func (p *Platform) writeWeights(w http.ResponseWriter, key weightsKey) {
	now := time.Now()
	reservation := p.limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		errorResponse{
			status:     http.StatusTooManyRequests,
			code:       "rate_limited",
			message:    "too many fetches",
			retryAfter: max(delay, time.Millisecond),
		}.write(w)
		return
	}
	p.mu.Lock()
	weights, ok := p.weights[key]
	p.mu.Unlock()
	if !ok {
		errorResponse{status: http.StatusNotFound, code: "unknown_version", message: "no such weights"}.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(weights)))
	_, _ = w.Write(weights)
}
