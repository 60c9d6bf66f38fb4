// Package roundtrip sends each HTTP request at most once and reports whether any
// byte of a failed request may have been sent.
package roundtrip

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/bytebudget"
	"dalehook/internal/stricthttp"
)

// Options configure a Transport.
type Options struct {
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// IdlePerPeer is the maximum number of idle connections per peer.
	IdlePerPeer int
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IDHeader is the header that carries the ID of a request, and in a response the ID of the request that it
	// answers. A response that names another request is an error, and closes the connection. If empty,
	// responses are not checked.
	IDHeader string
	// SingleUse closes each connection after one response. It is for requests whose responses name no request:
	// the first response on a connection can only belong to the first request.
	SingleUse bool
	// ObserveBroken is called for each broken response; it may be nil.
	ObserveBroken stricthttp.Observer
}

// maxUnsentAttempts bounds the connections tried for one request while no byte of it
// has been sent. An idle connection may have been closed by the back end.
const maxUnsentAttempts = 3

// MaxHeadBytes bounds the head of a response, which a faulty peer may send without end.
const MaxHeadBytes = 64 << 10

// Transport sends each request at most once and tracks whether any byte of it was
// sent. The http.Transport below it would retry requests that it considers
// replayable.
type Transport struct {
	transport *stricthttp.Transport
	idHeader  string
	// memory bounds the heads of responses that are held at a time; nil if it does not.
	memory *bytebudget.Budget
}

// New returns a Transport without open connections.
func New(options Options) *Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := options.Dial(ctx, network, dialAddress(address))
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	strict := stricthttp.Options{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    options.IdlePerPeer,
			IdleConnTimeout:        options.IdleTimeout,
			DisableCompression:     true,
			DisableKeepAlives:      options.SingleUse,
			MaxResponseHeaderBytes: MaxHeadBytes,
		},
	}
	if options.ObserveBroken != nil {
		strict.ObserveBroken = func(peer string, broken *stricthttp.BrokenResponseError) {
			options.ObserveBroken(dialAddress(peer), broken)
		}
	}
	return &Transport{transport: stricthttp.New(strict), idHeader: options.IDHeader}
}

// LimitMemory sets the budget that the heads of responses count against. It must be called before the first request.
func (t *Transport) LimitMemory(budget *bytebudget.Budget) { t.memory = budget }

// Close closes the idle connections.
func (t *Transport) Close() { t.transport.CloseIdleConnections() }

// Request is a request to be sent by a Transport.
type Request struct {
	Method string
	// Address is IP:PORT.
	Address string
	// Peer identifies the process at Address. Connections opened for one peer carry no requests to another. If
	// empty, all processes at the address share their connections.
	Peer string
	// Path is the path and the query.
	Path string
	// Host is sent as the Host header; empty means the address.
	Host    string
	Headers http.Header
	Body    []byte
	// OnWritten is called when the request was written, whether or not that failed; it may be nil.
	OnWritten func()
}

// Error describes a request that got no response.
type Error struct {
	Cause error
	// Sent is true if any byte of the request may have been sent.
	Sent bool
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RoundTrip sends a request and returns the response, whose body the caller must
// close. It may try another connection as long as no byte has been sent. If a
// response names another request, the error wraps a ForeignResponseError.
func (t *Transport) RoundTrip(ctx context.Context, r Request) (*http.Response, *Error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, &Error{Cause: eris.Wrap(err, "parse request path")}
	}
	target.Scheme = "http"
	target.Host = r.poolAddress()
	for attempt := 1; ; attempt++ {
		response, failed, reused := t.attempt(ctx, r, target)
		if failed == nil {
			return response, nil
		}
		if failed.Sent || !reused || attempt == maxUnsentAttempts || ctx.Err() != nil {
			return nil, failed
		}
	}
}

// attempt sends a request over one connection. reused is true if the connection
// was an idle one, so that a new connection may succeed.
func (t *Transport) attempt(ctx context.Context, r Request, target *url.URL) (_ *http.Response, _ *Error, reused bool) {
	var conn *countingConn
	var writtenBefore int64
	id := t.requestID(r)
	head := t.memory.Reserve("")
	gotConn := func(connection net.Conn, wasUsed bool) {
		if conn != nil {
			conn.release()
		}
		conn = connection.(*countingConn)
		writtenBefore = conn.acquire(id, head)
		reused = wasUsed
	}
	response, err := t.transport.Exchange(ctx, r.nonReplayable(target), stricthttp.Hooks{GotConn: gotConn, WroteRequest: r.OnWritten})
	if conn != nil {
		defer func() { conn.release() }()
	}
	if err == nil {
		err = t.checkResponseID(response, id)
	}
	if conn != nil {
		conn.endHead()
	}
	if err == nil {
		response.Body = releaseAtClose(response.Body, head)
		return response, nil, reused
	}
	head.Release()
	sent := conn != nil && conn.seal() != writtenBefore
	if response != nil {
		response.Body.Close()
	}
	return nil, &Error{Cause: err, Sent: sent}, reused
}

// nonReplayable builds a request that http.Transport does not consider
// replayable: its body is never nil and can not be rewound. An empty body gets
// the identity encoding, which keeps the transport from using chunked encoding.
func (r Request) nonReplayable(target *url.URL) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          cmp.Or(r.Host, r.Address),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        r.Headers,
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		request.TransferEncoding = []string{"identity"}
		if usuallyHasBody(r.Method) {
			// http.Transport writes this non-canonical key unchanged but drops the canonical one.
			request.Header["content-length"] = []string{"0"}
		}
	}
	return request
}

func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// hopByHopHeaders apply to a single connection and are not forwarded.
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

// CopyEndToEnd copies the headers of source to target, except hop-by-hop headers,
// headers named by Connection, and those in exclude.
func CopyEndToEnd(target, source http.Header, exclude map[string]bool) {
	var connectionHeaders map[string]bool
	for _, line := range source["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if connectionHeaders == nil {
				connectionHeaders = make(map[string]bool)
			}
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range source {
		if hopByHopHeaders[name] || connectionHeaders[name] || exclude[name] {
			continue
		}
		target[name] = values
	}
}
