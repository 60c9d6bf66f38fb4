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
	// Machine is the engine's entry in the machine list: id, pool, zone, region
	// and address. NewEngine sets Kind and State.
	Machine cluster.Machine
	// Server, if set, goes down during a crash; otherwise the handler drops
	// each connection.
	Server *Server
	// Dial opens connections to the platform; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PlatformURL is the base URL of the platform at which the engine registers;
	// if empty, it doesn't register.
	PlatformURL string
	// WeightsURL is the weight store's base URL; if empty, every version is
	// available without a fetch.
	WeightsURL string
	// Model and Version are loaded at startup; version zero means none.
	Model   cluster.ModelName
	Version cluster.Version
	// Slots is the maximum number of streams in a batch, QueueLimit that of
	// waiting requests.
	Slots      int
	QueueLimit int
	// TokenTime is the time per token for a stream that is alone in the batch.
	// Each additional stream adds BatchCost times TokenTime.
	TokenTime time.Duration
	BatchCost float64
	// ChunkTokens is the number of tokens in one chunk.
	ChunkTokens int
	// PrefillTokenTime is the prefill time per prompt token.
	PrefillTokenTime time.Duration
	// CacheGroups is the capacity of the prefix cache in prefix groups.
	CacheGroups int
	// SwapTime is how long a load pauses generation once the weights are fetched.
	SwapTime time.Duration
	// ReportLag is the age of the reports that GET /load returns; EventLag is the
	// age of cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// DetachGrace is how long generation continues after a request's stream is
	// closed.
	DetachGrace time.Duration
	// KeepTime is how long a finished completion can be read again.
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

// kvTokensPerSlot determines the KV cache capacity that an engine reports.
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
	o.Machine = completeMachine(o.Machine, cluster.KindEngine)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Engine simulates a model engine.
type Engine struct {
	options    EngineOptions
	faults     *faults
	registrar  *registrar
	weights    *platform.Client
	background *background
	// wake signals the batch loop that there may be work.
	wake chan struct{}

	mu           sync.Mutex
	generations  map[string]*generation
	queue        generationQueue
	batch        []*generation
	lastSequence uint64
	counts       map[string]int
	cache        prefixCache
	model        cluster.ModelName
	version      cluster.Version
	load         *load
	// loadError and lastFence describe the last load order in reports.
	loadError string
	lastFence machine.Fence
	leaving   bool
	// tokensPerSecond is the throughput of the last batch step.
	tokensPerSecond float64
	reports         delayedValue[backend.LoadReport]
}

// NewEngine starts an engine.
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
		registrar:   newRegistrar(platform.Options{LogURL: options.PlatformURL, Dial: options.Dial}, options.Machine),
		background:  newBackground(),
		wake:        make(chan struct{}, 1),
		generations: make(map[string]*generation),
		counts:      make(map[string]int),
		cache:       prefixCache{maxGroups: options.CacheGroups},
		model:       options.Model,
		version:     options.Version,
	}
	if options.WeightsURL != "" {
		e.weights = platform.NewClient(platform.Options{LogURL: options.WeightsURL, Dial: options.Dial})
	}
	e.faults.values[FaultReportLag] = float64(options.ReportLag.Milliseconds())
	e.faults.onSet = e.onFaultSet
	e.recordReportLocked()
	e.background.run(e.runBatches)
	e.background.run(func() { e.registrar.register(e.background.ctx, cluster.StateLive) })
	return e
}

// Close stops the engine and aborts its streams.
func (e *Engine) Close() {
	e.background.close()
	e.registrar.close()
	if e.weights != nil {
		e.weights.Close()
	}
}

// onFaultSet wakes the batch loop and applies a crash immediately.
func (e *Engine) onFaultSet(name FaultName, value float64) {
	e.signal()
	if name != FaultCrash || value == 0 {
		return
	}
	e.mu.Lock()
	e.resetLocked()
	e.mu.Unlock()
	e.background.run(func() { crashServer(e.background.ctx, e.options.Server, e.faults) })
}

// resetLocked discards the state that a crash loses: requests, cache and
// weights. The fence is kept, as if the engine's supervisor had stored it.
func (e *Engine) resetLocked() {
	e.dropRequestsLocked()
	e.cancelLoadLocked()
	e.model = e.options.Model
	e.version = e.options.Version
}

// dropRequestsLocked aborts all streams and clears the cache.
func (e *Engine) dropRequestsLocked() {
	for _, g := range e.generations {
		g.setState(generationAborted)
	}
	clear(e.generations)
	e.queue = nil
	e.batch = nil
	e.cache = prefixCache{maxGroups: e.options.CacheGroups}
}

// signal wakes the batch loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reportLocked returns the current load report.
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

// recordReportLocked records the current report and returns the report that is
// visible after the report lag.
func (e *Engine) recordReportLocked() backend.LoadReport {
	now := time.Now()
	e.reports.set(now, e.reportLocked())
	return e.reports.get(now, e.faults.milliseconds(FaultReportLag))
}
