package standin

import (
	"net/http"
	"time"

	"dalehook/internal/cluster"
)

// ServiceOptions configure a Service. Zero values take the defaults.
type ServiceOptions struct {
	// Machine is the server's line on the machine list: id, pool (the service's
	// name), zone, region and address. Kind and State are set by NewService.
	Machine cluster.Machine
	// PlatformURL is where the server registers, empty for nowhere.
	PlatformURL string
	// ServiceTime is the time that one request runs.
	ServiceTime time.Duration
	// Concurrency is the number of requests that run at once, QueueLimit that
	// of waiting ones.
	Concurrency int
	QueueLimit  int
	// PayloadBytes is the size of the filler in each answer.
	PayloadBytes int
}

// Service stands in for a service server: any path, lookups and saves.
type Service struct{}

// NewService returns a running service server.
func NewService(options ServiceOptions) *Service { return &Service{} }

// Handler returns the server's HTTP interface.
func (s *Service) Handler() http.Handler { return http.NotFoundHandler() }

// Close ends waiting requests.
func (s *Service) Close() {}
