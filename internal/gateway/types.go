// Package gateway serves single requests: it selects servers, makes attempts within a deadline, and
// gives the caller one final response.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"dalehook/internal/bytebudget"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/routetable"
)

// Request is a fully read request of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Caller identifies the tenant and priority of the request.
	Caller routetable.Caller
	// Received is when the request had been read.
	Received time.Time
	// Deadline is when the caller stops waiting; zero if not stated.
	Deadline time.Time
	// LastEventID is the id of the last stream event that the caller received.
	LastEventID string
	// Memory is the reservation of the bytes that are held for the request; nil if they are not bounded.
	Memory *bytebudget.Reservation
}

// Fingerprint identifies the request's content; it is the same for each repetition.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{
		Tenant: r.Caller.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body,
	})
}

// Attempt is a request sent to one server.
type Attempt struct {
	Request *Request
	Server  *directory.Server
	// Timeout is the time that the server may take.
	Timeout time.Duration
	// LastEventID overrides the request's if set.
	LastEventID string
}

// Load is the load that a server reports.
type Load struct {
	Running, Waiting, Slots int
}

// Response is the header of a server's response, and its body to read.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, -1 if the server did not state it.
	Length int64
	// NotExecuted says that the server did not execute the request and never will.
	NotExecuted bool
	// Load is nil if the server did not report it.
	Load *Load
	// Signature is the server's signature of the response; every success has one.
	Signature string
}

// failed reports whether the server, which may have executed the request, failed to serve it. A status that promises
// that the request was not executed is a failure too: only NotExecuted states that.
func (r *Response) failed() bool {
	return r.Status >= http.StatusInternalServerError || r.promisesTooMuch()
}

// promisesTooMuch reports whether the response's status tells a caller that the request was not executed, although the
// server did not state so. Such a status is never passed on.
func (r *Response) promisesTooMuch() bool { return !r.NotExecuted && promisesNotExecuted(r.Status) }

// promisesNotExecuted reports whether a status tells callers that their request was not executed and never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// SendError is the error of an attempt that gave no response.
type SendError struct {
	Cause error
	// Sent says that the server may have executed the request.
	Sent bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Backend sends attempts to servers.
type Backend interface {
	// Send returns the header of the server's response. Closing the response body before its end,
	// or cancelling the context, closes the connection.
	Send(ctx context.Context, attempt Attempt) (*Response, *SendError)
}
