// Package standin holds small stand-ins for what surrounds dalehook: the
// platform, model engines and service servers, as real HTTP servers with faults
// that are switched on over HTTP. They serve tests, demos and measurements.
package standin

import (
	"net/http"
	"time"
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
type Platform struct{}

// NewPlatform returns a platform with empty logs.
func NewPlatform(options PlatformOptions) *Platform { return &Platform{} }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler { return http.NotFoundHandler() }

// Close ends waiting reads.
func (p *Platform) Close() {}
