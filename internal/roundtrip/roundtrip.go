// Package roundtrip sends HTTP requests at most once each and tells whether a
// byte of a failed one may have left.
package roundtrip

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a Transport.
type Options struct {
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdlePerPeer is the largest number of idle connections kept to one peer.
	IdlePerPeer int
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// maxUnsentTries bounds the connections that are tried for one request while no
// byte of it has left. An idle connection may have been closed by the back end.
const maxUnsentTries = 3

// Transport sends each request at most once and knows whether a byte of it
// left. It wraps an http.Transport, which by itself repeats what it takes for
// replayable.
type Transport struct {
	transport *http.Transport
}

// New returns a transport without connections.
func New(options Options) *Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := options.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	return &Transport{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: options.IdlePerPeer,
		IdleConnTimeout:     options.IdleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.transport.CloseIdleConnections() }

// Request is one request as Transport sends it.
type Request struct {
	Method string
	// Address is IP:PORT.
	Address string
	// Path holds the path and the query.
	Path string
	// Host is sent as the Host header; empty means the address.
	Host    string
	Headers http.Header
	Body    []byte
}

// Error is a request that got no answer.
type Error struct {
	Cause error
	// Sent is true when bytes of the request may have left.
	Sent bool
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RoundTrip sends a request and returns the head of its answer; the caller
// closes the body. While no byte has left it may take another connection.
func (t *Transport) RoundTrip(ctx context.Context, out Request) (*http.Response, *Error) {
	target, err := url.ParseRequestURI(out.Path)
	if err != nil {
		return nil, &Error{Cause: eris.Wrap(err, "parse the path")}
	}
	target.Scheme = "http"
	target.Host = out.Address
	for try := 1; ; try++ {
		response, failed, stale := t.tryOnce(ctx, out, target)
		if failed == nil {
			return response, nil
		}
		if failed.Sent || !stale || try == maxUnsentTries || ctx.Err() != nil {
			return nil, failed
		}
	}
}

// tryOnce sends a request over one connection. Stale means that the connection
// was an idle one, so that a fresh one may do better.
func (t *Transport) tryOnce(ctx context.Context, out Request, target *url.URL) (_ *http.Response, _ *Error, stale bool) {
	var conn *countingConn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*countingConn)
		writtenBefore = conn.written()
		stale = info.Reused
	}}
	request := out.unrepeatable(httptrace.WithClientTrace(ctx, trace), target)
	response, err := t.transport.RoundTrip(request)
	if err == nil {
		return response, nil, stale
	}
	sent := conn != nil && conn.seal() != writtenBefore
	return nil, &Error{Cause: err, Sent: sent}, stale
}

// unrepeatable builds a request that http.Transport does not take for
// replayable: its body is never nil and can not be rewound. An empty body gets
// the identity encoding, which keeps the transport from sending it in chunks.
func (out Request) unrepeatable(ctx context.Context, target *url.URL) *http.Request {
	request := &http.Request{
		Method:        out.Method,
		URL:           target,
		Host:          cmp.Or(out.Host, out.Address),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        out.Headers,
		Body:          io.NopCloser(bytes.NewReader(out.Body)),
		ContentLength: int64(len(out.Body)),
	}
	if len(out.Body) == 0 {
		request.TransferEncoding = []string{"identity"}
		if usuallyHasBody(out.Method) {
			// The transport writes this spelling as it stands; it drops its own.
			request.Header["content-length"] = []string{"0"}
		}
	}
	return request.WithContext(ctx)
}

func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// CopyEndToEnd adds the headers of source to target, less hop-by-hop headers,
// those that Connection names, and those in without.
func CopyEndToEnd(target, source http.Header, without map[string]bool) {
	var named map[string]bool
	for _, line := range source["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range source {
		if hopByHopHeaders[name] || named[name] || without[name] {
			continue
		}
		target[name] = values
	}
}
