package backend

import (
	"context"
	"net/http"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// ServiceRequest is one attempt of a caller's request.
type ServiceRequest struct {
	Call    machine.CallID
	Attempt int
	Backend cluster.BackendID
	// Address is host:port of the service server.
	Address string
	Method  string
	// Path is the path with its query, as it goes to the server.
	Path    string
	Headers http.Header
	Body    []byte
	// Deadline ends the attempt; zero means none.
	Deadline time.Time
	// Relay, when set, receives the answer as it comes; otherwise the answer is
	// buffered in the result.
	Relay http.ResponseWriter
}

// ServiceClient speaks to service servers. It is safe for concurrent use.
type ServiceClient struct{}

// NewServiceClient returns a client. It opens no connection yet.
func NewServiceClient(options Options) *ServiceClient { return &ServiceClient{} }

// Close closes idle connections.
func (c *ServiceClient) Close() {}

// Send sends one request to one server, once. When the outcome is SendCut and
// Relayed is set, the caller holds a part of an answer: the handler must abort
// the caller's connection with panic(http.ErrAbortHandler).
func (c *ServiceClient) Send(ctx context.Context, request ServiceRequest) machine.ServiceResult {
	return machine.ServiceResult{}
}
