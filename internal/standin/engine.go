package standin

import (
	"net/http"
	"time"

	"dalehook/internal/cluster"
)

// EngineOptions configure an Engine. Zero values take the defaults.
type EngineOptions struct {
	// Machine is the engine's line on the machine list: id, pool, zone, region
	// and the address at which it is reached. Kind and State are set by NewEngine.
	Machine cluster.Machine
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
}

// Engine stands in for a model engine.
type Engine struct{}

// NewEngine returns an engine that has begun to run.
func NewEngine(options EngineOptions) *Engine { return &Engine{} }

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler { return http.NotFoundHandler() }

// Close stops the engine and breaks its streams.
func (e *Engine) Close() {}
