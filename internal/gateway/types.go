// Package gateway serves single requests: it finds the route, chooses servers,
// bounds attempts and time, and gives the caller one final answer.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/routetable"
)

// Request is one request of a caller, read whole.
type Request struct {
	ID     string
	Method string
	// Target is the path with the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Caller is on whose behalf the request runs.
	Caller routetable.Caller
	// Received is when the request had been read.
	Received time.Time
	// Deadline is when the caller stops waiting; zero when it did not say.
	Deadline time.Time
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
}

// Fingerprint tells the request from others, but not from its own repeats.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{
		Caller: r.Caller.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body,
	})
}

// Attempt is a request on its way to one server.
type Attempt struct {
	Request *Request
	Server  *directory.Server
	// Left is the time that the server may take.
	Left time.Duration
	// LastEventID overrides the request's when set.
	LastEventID string
}

// Load is what a server tells of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is the head of a server's answer, and its body to read.
type Answer struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, -1 when the server did not state it.
	Length int64
	// NotExecuted says that the server did not run the request and never will.
	NotExecuted bool
	// Load is nil when the server did not tell it.
	Load *Load
	// Signature is the server's mark on the answer; a success always has one.
	Signature string
}

// SendError is an attempt that brought no answer.
type SendError struct {
	Cause error
	// Sent says that the server may have run the request.
	Sent bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Backend sends attempts to servers.
type Backend interface {
	// Send returns the head of the server's answer. Closing the answer's body
	// before its end, or ending the context, closes the connection.
	Send(ctx context.Context, attempt Attempt) (*Answer, *SendError)
}
