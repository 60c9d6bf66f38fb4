package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/platform"
)

// EngineOptions configure an Engine. Zero values take the defaults.
type EngineOptions struct {
	// Machine is the engine's line on the machine list: id, pool, zone, region
	// and the address at which it is reached. Kind and State are set by NewEngine.
	Machine cluster.Machine
	// Server, when set, goes down during a crash; otherwise the handler drops
	// each connection.
	Server *Server
	// Dial opens connections to the platform; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PlatformURL is where the engine registers, empty for nowhere.
	PlatformURL string
	// WeightsURL is the weight store's base URL; empty means that each version
	// is at hand.
	WeightsURL string
	// Model and Version are loaded at the start; version zero means none.
	Model   cluster.ModelName
	Version cluster.Version
	// Slots is the largest number of streams in a batch, QueueLimit that of
	// waiting requests.
	Slots      int
	QueueLimit int
	// TokenTime is the time of one token of a stream that is alone in the
	// batch. Each further stream adds BatchCost of it.
	TokenTime time.Duration
	BatchCost float64
	// ChunkTokens is the number of tokens in one chunk.
	ChunkTokens int
	// PrefillTokenTime is the time that one token of the prompt takes.
	PrefillTokenTime time.Duration
	// CacheGroups is the number of prefix groups that the cache holds.
	CacheGroups int
	// SwapTime is how long a load stops generation, after the weights were
	// fetched.
	SwapTime time.Duration
	// ReportLag is the age of what GET /load says; EventLag that of cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// DetachGrace is how long a request goes on whose stream was closed.
	DetachGrace time.Duration
	// KeepTime is how long a finished answer can be read again.
	KeepTime time.Duration
}

// The defaults of EngineOptions.
const (
	DefaultSlots            = 16
	DefaultEngineQueueLimit = 256
	DefaultTokenTime        = 10 * time.Millisecond
	DefaultBatchCost        = 0.05
	DefaultChunkTokens      = 8
	DefaultPrefillTokenTime = 200 * time.Microsecond
	DefaultCacheGroups      = 32
	DefaultSwapTime         = 2 * time.Second
	DefaultDetachGrace      = 10 * time.Second
	DefaultKeepTime         = 2 * time.Minute
)

// kvTokensPerSlot sizes the cache memory that an engine reports.
const kvTokensPerSlot = 4096

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.QueueLimit, DefaultEngineQueueLimit)
	setDefault(&o.TokenTime, DefaultTokenTime)
	setDefault(&o.BatchCost, DefaultBatchCost)
	setDefault(&o.ChunkTokens, DefaultChunkTokens)
	setDefault(&o.PrefillTokenTime, DefaultPrefillTokenTime)
	setDefault(&o.CacheGroups, DefaultCacheGroups)
	setDefault(&o.SwapTime, DefaultSwapTime)
	setDefault(&o.DetachGrace, DefaultDetachGrace)
	setDefault(&o.KeepTime, DefaultKeepTime)
	o.Machine = describe(o.Machine, cluster.KindEngine)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Engine stands in for a model engine.
type Engine struct {
	options    EngineOptions
	faults     *faults
	registrar  *registrar
	weights    *platform.Client
	background *background
	// wake tells the batch loop that there may be work.
	wake chan struct{}

	mu       sync.Mutex
	known    map[string]*generation
	queue    generationQueue
	batch    []*generation
	arrivals uint64
	counts   map[string]int
	cache    prefixCache
	model    cluster.ModelName
	version  cluster.Version
	load     *load
	// loadError and lastFence are what the report says of orders.
	loadError string
	lastFence machine.Fence
	leaving   bool
	// tokensPerSecond is the output of the batch's last step.
	tokensPerSecond float64
	reports         delayed[backend.LoadReport]
}

// NewEngine returns an engine that has begun to run.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options: options,
		faults: newFaults(map[FaultName]faultKind{
			FaultCrash:     faultTimed,
			FaultFreeze:    faultTimed,
			FaultSlow:      faultLevel,
			FaultRefuse:    faultTimed,
			FaultCutStream: faultCounted,
			FaultSwapFail:  faultCounted,
			FaultSwapWrong: faultCounted,
			FaultReportLag: faultLevel,
		}),
		registrar:  newRegistrar(platform.Options{LogURL: options.PlatformURL, Dial: options.Dial}, options.Machine),
		background: newBackground(),
		wake:       make(chan struct{}, 1),
		known:      make(map[string]*generation),
		counts:     make(map[string]int),
		cache:      prefixCache{limit: options.CacheGroups},
		model:      options.Model,
		version:    options.Version,
	}
	if options.WeightsURL != "" {
		e.weights = platform.NewClient(platform.Options{LogURL: options.WeightsURL, Dial: options.Dial})
	}
	e.faults.values[FaultReportLag] = float64(options.ReportLag.Milliseconds())
	e.faults.onSet = e.faultSet
	e.noteReportLocked()
	e.background.run(e.runBatches)
	e.background.run(func() { e.registrar.register(e.background.ctx, cluster.StateLive) })
	return e
}

// Close stops the engine and breaks its streams.
func (e *Engine) Close() {
	e.background.close()
	e.registrar.close()
	if e.weights != nil {
		e.weights.Close()
	}
}

// faultSet reacts to faults that act at once.
func (e *Engine) faultSet(name FaultName, value float64) {
	e.signal()
	if name != FaultCrash || value == 0 {
		return
	}
	e.mu.Lock()
	e.forgetAllLocked()
	e.mu.Unlock()
	e.background.run(func() { crashServer(e.background.ctx, e.options.Server, e.faults) })
}

// forgetAllLocked loses what a crash takes: requests, cache and weights. The
// fence stays, as if the engine's supervisor kept it.
func (e *Engine) forgetAllLocked() {
	e.loseRequestsLocked()
	e.stopLoadLocked()
	e.model = e.options.Model
	e.version = e.options.Version
}

// loseRequestsLocked breaks all streams and empties the cache.
func (e *Engine) loseRequestsLocked() {
	for _, g := range e.known {
		g.setState(generationLost)
	}
	clear(e.known)
	e.queue = nil
	e.batch = nil
	e.cache = prefixCache{limit: e.options.CacheGroups}
}

// signal wakes the batch loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reportLocked says how the engine stands now.
func (e *Engine) reportLocked() backend.LoadReport {
	report := backend.LoadReport{
		Leaving:         e.leaving,
		Running:         len(e.batch),
		Waiting:         len(e.queue),
		Slots:           e.options.Slots,
		KVTokens:        e.cache.tokens(),
		KVCapacity:      e.options.Slots * kvTokensPerSlot,
		Model:           e.model,
		Version:         e.version,
		LoadError:       e.loadError,
		LastFence:       e.lastFence,
		TokensPerSecond: e.tokensPerSecond,
	}
	for _, g := range e.batch {
		report.KVTokens += g.kvTokens()
	}
	if e.load != nil {
		report.Loading = e.load.order.Version
	}
	return report
}

// noteReportLocked keeps the report of now and returns the one that shows.
func (e *Engine) noteReportLocked() backend.LoadReport {
	now := time.Now()
	e.reports.put(now, e.reportLocked())
	return e.reports.get(now, e.faults.milliseconds(FaultReportLag))
}
