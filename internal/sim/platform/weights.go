package platform

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
)

// WeightsOptions configure a Weights.
type WeightsOptions struct {
	Kernel *kernel.Kernel
	Faults *fault.Set
	// FetchTime is how long one fetch takes.
	FetchTime time.Duration
	// FetchesPerSecond is the rate limit over all engines.
	FetchesPerSecond float64
}

type weightKey struct {
	model   cluster.ModelName
	version cluster.Version
}

// Weights is the weight store. A fetch over its rate limit is put off until the
// limit lets it through, which is what an engine that heeds 429 and Retry-After
// comes to.
type Weights struct {
	options  WeightsOptions
	versions map[weightKey]bool
	nextSlot time.Duration
	delayed  int
}

// NewWeights returns a store that holds nothing.
func NewWeights(options WeightsOptions) *Weights {
	return &Weights{options: options, versions: make(map[weightKey]bool)}
}

// Put stores a version.
func (w *Weights) Put(model cluster.ModelName, version cluster.Version) {
	w.versions[weightKey{model, version}] = true
}

// Fetch calls done when the version has arrived, or with a reason why not.
func (w *Weights) Fetch(model cluster.ModelName, version cluster.Version, done func(reason string)) {
	now := w.options.Kernel.Elapsed()
	if w.options.Faults.On(fault.StoreDown, fault.Platform) {
		w.options.Kernel.After(time.Second, func() { done("weight store: connection refused") })
		return
	}
	if !w.versions[weightKey{model, version}] {
		w.options.Kernel.After(time.Millisecond, func() { done("weight store: no such version") })
		return
	}
	start := max(now, w.nextSlot)
	w.nextSlot = start + time.Duration(float64(time.Second)/w.options.FetchesPerSecond)
	if start > now {
		w.delayed++
	}
	w.options.Kernel.At(start+w.options.FetchTime, func() { done("") })
}

// Delayed counts the fetches that the rate limit held back.
func (w *Weights) Delayed() int { return w.delayed }
