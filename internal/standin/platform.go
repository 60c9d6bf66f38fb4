// Package standin holds small stand-ins for what surrounds dalehook: the
// platform, model engines and service servers, as real HTTP servers with faults
// that are switched on over HTTP. They serve tests, demos and measurements.
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
	// ListLag is how long a change of the machine list stays unseen.
	ListLag time.Duration
	// WeightsRate is the number of weight fetches a second, zero for no limit.
	WeightsRate float64
	// WeightsBurst is the number of fetches allowed at once, at least one.
	WeightsBurst int
}

// Platform stands in for the log service, the weight store and the machine list.
type Platform struct {
	faults  *faults
	limiter *rate.Limiter
	done    chan struct{}
	close   sync.Once

	mu       sync.Mutex
	logs     map[string]*memoryLog
	machines map[cluster.BackendID]cluster.Machine
	visible  delayed[[]cluster.Machine]
	weights  map[weightsKey][]byte
}

// weightsKey names the weights of one version. The empty model stands for the
// newest put of the version.
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
	p.visible.put(time.Now(), []cluster.Machine{})
	p.faults.values[FaultListLag] = float64(options.ListLag.Milliseconds())
	return p
}

// Close ends waiting reads.
func (p *Platform) Close() { p.close.Do(func() { close(p.done) }) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/logs/:name", p.postLog)
	router.GET("/logs/:name", p.getLog)
	router.GET("/machines", p.getMachines)
	router.PUT("/machines/:id", p.putMachine)
	router.PUT("/weights/:model/:version", p.putWeights)
	router.GET("/weights/:model/:version", p.getWeights)
	router.GET("/weights/:model", p.getAnyWeights)
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
	p.visible.put(time.Now(), list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.enterStore(r)
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
	p.enterStore(r)
	p.sendWeights(w, weightsKey{
		model:   cluster.ModelName(params.ByName("model")),
		version: params.ByName("version"),
	})
}

// getAnyWeights answers GET /weights/{version}; the router wants the parameter
// to have the same name as in the longer path.
func (p *Platform) getAnyWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.enterStore(r)
	p.sendWeights(w, weightsKey{version: params.ByName("model")})
}

func (p *Platform) sendWeights(w http.ResponseWriter, key weightsKey) {
	now := time.Now()
	reservation := p.limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		refusal{
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
		refusal{status: http.StatusNotFound, code: "unknown_version", message: "no such weights"}.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(weights)))
	_, _ = w.Write(weights)
}
