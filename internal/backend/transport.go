// Package backend holds the clients of the back ends: model engines and service
// servers. A request is never sent twice by these clients, and each result says
// what is known of it: not sent, refused, answered whole, cut, or unknown.
package backend

import (
	"bytes"
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

// Options configure the clients of back ends. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds short calls: reports, orders and cancels.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It should be
	// shorter than the back ends' own.
	IdleTimeout time.Duration
	// IdlePerBackend is the largest number of idle connections kept to one
	// back end.
	IdlePerBackend int
	// BufferLimit is the largest answer, in bytes, that is buffered.
	BufferLimit int64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// The defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultIdlePerBackend = 256
	DefaultBufferLimit    = 1 << 20
)

// maxUnsentTries bounds the connections that are tried for one request while no
// byte of it has left. An idle connection may have been closed by the back end.
const maxUnsentTries = 3

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerBackend <= 0 {
		o.IdlePerBackend = DefaultIdlePerBackend
	}
	if o.BufferLimit <= 0 {
		o.BufferLimit = DefaultBufferLimit
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// onceTransport sends each request at most once and knows whether a byte of it
// left. It wraps an http.Transport, which by itself repeats what it takes for
// replayable.
type onceTransport struct {
	transport *http.Transport
}

func newOnceTransport(options Options) *onceTransport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := options.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	return &onceTransport{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: options.IdlePerBackend,
		IdleConnTimeout:     options.IdleTimeout,
		DisableCompression:  true,
	}}
}

func (t *onceTransport) close() { t.transport.CloseIdleConnections() }

// outgoing is one request as onceTransport sends it.
type outgoing struct {
	method  string
	address string
	// path holds the path and the query.
	path    string
	headers http.Header
	body    []byte
}

// sendError is a request that got no answer.
type sendError struct {
	cause error
	// sent is true when bytes of the request may have left.
	sent bool
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// roundTrip sends a request and returns the head of its answer; the caller
// closes the body. While no byte has left it may take another connection.
func (t *onceTransport) roundTrip(ctx context.Context, out outgoing) (*http.Response, *sendError) {
	target, err := url.ParseRequestURI(out.path)
	if err != nil {
		return nil, &sendError{cause: eris.Wrap(err, "parse the path")}
	}
	target.Scheme = "http"
	target.Host = out.address
	for try := 1; ; try++ {
		response, failed, stale := t.tryOnce(ctx, out, target)
		if failed == nil {
			return response, nil
		}
		if failed.sent || !stale || try == maxUnsentTries || ctx.Err() != nil {
			return nil, failed
		}
	}
}

// tryOnce sends a request over one connection. Stale means that the connection
// was an idle one, so that a fresh one may do better.
func (t *onceTransport) tryOnce(ctx context.Context, out outgoing, target *url.URL) (_ *http.Response, _ *sendError, stale bool) {
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
	return nil, &sendError{cause: err, sent: sent}, stale
}

// unrepeatable builds a request that http.Transport does not take for
// replayable: its body is never nil and can not be rewound. An empty body gets
// the identity encoding, which keeps the transport from sending it in chunks.
func (out outgoing) unrepeatable(ctx context.Context, target *url.URL) *http.Request {
	request := &http.Request{
		Method:        out.method,
		URL:           target,
		Host:          out.address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        out.headers,
		Body:          io.NopCloser(bytes.NewReader(out.body)),
		ContentLength: int64(len(out.body)),
	}
	if len(out.body) == 0 {
		request.TransferEncoding = []string{"identity"}
		if usuallyHasBody(out.method) {
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

// copyEndToEnd adds the headers of source to target, less hop-by-hop headers,
// those that Connection names, and those in without.
func copyEndToEnd(target, source http.Header, without map[string]bool) {
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
