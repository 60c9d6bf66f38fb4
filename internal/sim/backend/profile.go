package backend

import "time"

// EngineProfile holds the speed and the limits of a model engine.
type EngineProfile struct {
	// Slots is the largest batch.
	Slots int
	// Queue is the largest number of waiting requests; more are refused.
	Queue int
	// DecodeBase is the time of one decoding step of a batch of one.
	DecodeBase time.Duration
	// DecodeEach is what each stream of the batch adds to a step.
	DecodeEach time.Duration
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// KVCapacity is the cache memory for running requests, in tokens.
	KVCapacity int
	// PrefixCapacity is the cache memory for shared prefixes, in tokens.
	PrefixCapacity int
	// ImportRate is the speed of importing another engine's cache, in tokens a
	// second.
	ImportRate float64
	// SwapTime is how long generation stands still while a loaded version takes
	// the place of the running one.
	SwapTime time.Duration
	// ChunkEvery is the time between two pieces of a stream.
	ChunkEvery time.Duration
	// ReportLag is the least time between two updates of the engine's report.
	ReportLag time.Duration
	// KeepDetached is how long a stream without a listener goes on.
	KeepDetached time.Duration
}

// DefaultEngineProfile returns assumed figures of an engine that serves a model
// of some ten billion parameters on one accelerator.
func DefaultEngineProfile() EngineProfile {
	return EngineProfile{
		Slots: 64, Queue: 512,
		DecodeBase: 12 * time.Millisecond, DecodeEach: 250 * time.Microsecond,
		PrefillRate: 8000, KVCapacity: 200_000, PrefixCapacity: 40_000, ImportRate: 100_000,
		SwapTime: 2 * time.Second, ChunkEvery: 500 * time.Millisecond,
		ReportLag: time.Second, KeepDetached: time.Minute,
	}
}

// tokensPerSecond returns the speed of one stream in a batch.
func (p EngineProfile) tokensPerSecond(batch int) float64 {
	step := p.DecodeBase + time.Duration(batch)*p.DecodeEach
	return 1 / step.Seconds()
}

// Throughput returns the tokens a second of an engine whose slots are all busy.
func (p EngineProfile) Throughput() float64 {
	return float64(p.Slots) * p.tokensPerSecond(p.Slots)
}

// StreamRate returns the tokens a second of a stream that runs alone.
func (p EngineProfile) StreamRate() float64 { return p.tokensPerSecond(1) }
