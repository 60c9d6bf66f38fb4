package lease

import (
	"time"

	"dalehook/internal/cluster"
)

// ViewOptions configure a ViewPublisher.
type ViewOptions struct {
	Self        cluster.Node
	Writer      Appender
	Environment Environment
	// Leases is asked whether this node holds record.DutyView.
	Leases *Manager
	Timing ViewTiming
}

// ViewTiming holds the times of a ViewPublisher; zero fields take the defaults.
type ViewTiming struct{}

// ViewPublisher publishes the placement view while its node holds the duty.
type ViewPublisher struct{ options ViewOptions }

// NewViewPublisher returns a ViewPublisher. The caller makes the Manager want
// record.DutyView.
func NewViewPublisher(options ViewOptions) *ViewPublisher { return &ViewPublisher{options: options} }

// Tick publishes a view when the live members differ from it.
func (p *ViewPublisher) Tick(now time.Time) {}
