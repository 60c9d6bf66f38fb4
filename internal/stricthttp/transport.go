// Package stricthttp is the HTTP/1.1 transport of all clients: of servers, the store, the provider and nodes. Bytes that
// are not a whole response in the protocol are an error, never a response.
package stricthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Observer is called for each broken response, with the address of its peer as it stands in the request.
type Observer func(address string, broken *BrokenResponseError)

// Options configure a Transport.
type Options struct {
	// Transport opens and pools the connections. It must have a DialContext, and must not be used otherwise.
	Transport *http.Transport
	// ObserveBroken may be nil.
	ObserveBroken Observer
}

// Transport is an http.RoundTripper that returns whole responses only. If a response turns out to be broken after its
// head, reading its body fails with a BrokenResponseError.
type Transport struct {
	transport     *http.Transport
	observeBroken Observer
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport without open connections.
func New(options Options) *Transport {
	transport := options.Transport
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed}, nil
	}
	if options.ObserveBroken == nil {
		options.ObserveBroken = func(string, *BrokenResponseError) {}
	}
	return &Transport{transport: transport, observeBroken: options.ObserveBroken}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// Hooks are called during an exchange; each may be nil.
type Hooks struct {
	// GotConn is called before the request is written, with the connection that the dial function returned. It is reused
	// if it has carried another request before.
	GotConn func(connection net.Conn, reused bool)
	// WroteRequest is called when the request was written, whether or not that failed.
	WroteRequest func()
}

// trace returns the trace of an exchange, which also starts the check of its response.
func (h Hooks) trace() *httptrace.ClientTrace {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		checked := info.Conn.(*conn)
		checked.beginResponse()
		if h.GotConn != nil {
			h.GotConn(checked.Conn, info.Reused)
		}
	}}
	if h.WroteRequest != nil {
		trace.WroteRequest = func(httptrace.WroteRequestInfo) { h.WroteRequest() }
	}
	return trace
}

// RoundTrip implements http.RoundTripper. Its error wraps a BrokenResponseError if the response is broken.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.Exchange(request.Context(), request, Hooks{})
}

// Exchange is RoundTrip with hooks, and with a context in the place of the request's.
func (t *Transport) Exchange(ctx context.Context, request *http.Request, hooks Hooks) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, hooks.trace())))
	if err != nil {
		t.observe(request, err)
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &checkedBody{ReadCloser: response.Body, transport: t, response: response}
	}
	return response, nil
}

// observe reports an error if it is that of a broken response.
func (t *Transport) observe(request *http.Request, err error) {
	var broken *BrokenResponseError
	if errors.As(err, &broken) {
		t.observeBroken(request.URL.Host, broken)
	}
}

// checkedBody is the body of a response. It has no end if the fields after it are not valid.
type checkedBody struct {
	io.ReadCloser
	transport *Transport
	response  *http.Response
	// failed is set once a read has failed.
	failed bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endError()
	}
	if err != nil && !errors.Is(err, io.EOF) && !b.failed {
		b.failed = true
		b.transport.observe(b.response.Request, err)
	}
	return n, err
}

// endError returns io.EOF, or what is wrong with the fields after the body, which are read with its end.
func (b *checkedBody) endError() error {
	if broken := checkTrailer(b.response.Trailer); broken != nil {
		return broken
	}
	return io.EOF
}
