// Package platform holds the clients of what the platform gives: the log
// service, the machine list and the weight store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
	"dalehook/internal/stricthttp"
)

// Options configure a Client.
type Options struct {
	// LogURL, MachinesURL and WeightsURL are base URLs, such as
	// http://10.0.0.1:7000. An empty MachinesURL or WeightsURL means LogURL.
	LogURL      string
	MachinesURL string
	WeightsURL  string
	// Timeout bounds each call; a long poll may take its waiting time besides.
	// Zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultTimeout bounds a call when Options.Timeout is zero.
const DefaultTimeout = 5 * time.Second

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// idlePerHost is the largest number of idle connections to one server.
	idlePerHost = 32
	// answerLimit is the largest answer in bytes that the client reads.
	answerLimit = 64 << 20
	// errorBodyLimit is the largest part of an error's body that is read.
	errorBodyLimit = 4 << 10
)

// Client speaks to the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *stricthttp.Transport
}

// NewClient returns a client. It opens no connection yet.
func NewClient(options Options) *Client {
	if options.MachinesURL == "" {
		options.MachinesURL = options.LogURL
	}
	if options.WeightsURL == "" {
		options.WeightsURL = options.LogURL
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	options.LogURL = strings.TrimRight(options.LogURL, "/")
	options.MachinesURL = strings.TrimRight(options.MachinesURL, "/")
	options.WeightsURL = strings.TrimRight(options.WeightsURL, "/")
	return &Client{
		options: options,
		transport: stricthttp.New(stricthttp.Options{Transport: &http.Transport{
			DialContext:         options.Dial,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// call is one request to the platform. Step names it in errors.
type call struct {
	step    string
	method  string
	url     string
	body    []byte
	timeout time.Duration
}

// answer is a whole answer of the platform.
type answer struct {
	status  int
	headers http.Header
	body    []byte
}

// callError is a call that got no whole answer.
type callError struct {
	cause error
	// connected is false when no connection was made, so no byte left.
	connected bool
}

// Error implements error.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// do sends one call, follows no redirect, and reads the whole answer. A call
// that got none ends with a *callError, wrapped with its step and peer.
func (c *Client) do(ctx context.Context, call call) (answer, error) {
	if call.timeout == 0 {
		call.timeout = c.options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var connected bool
	hooks := stricthttp.Hooks{GotConn: func(net.Conn, bool) { connected = true }}
	got, err := c.roundTrip(ctx, call, hooks)
	if err != nil {
		return answer{}, eris.Wrapf(&callError{cause: err, connected: connected}, "%s at %s", call.step, call.url)
	}
	return got, nil
}

func (c *Client) roundTrip(ctx context.Context, call call, hooks stricthttp.Hooks) (answer, error) {
	request, err := http.NewRequest(call.method, call.url, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, err
	}
	if len(call.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.transport.Exchange(ctx, request, hooks)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return answer{}, eris.Wrap(err, "read the answer")
	}
	return answer{status: response.StatusCode, headers: response.Header, body: body}, nil
}

// getJSON fetches url and decodes a 200 answer into target.
func (c *Client) getJSON(ctx context.Context, call call, target any) error {
	call.method = http.MethodGet
	got, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		return statusError(call, got)
	}
	if err := json.Unmarshal(got.body, target); err != nil {
		return eris.Wrapf(err, "%s at %s: decode the answer", call.step, call.url)
	}
	return nil
}

// put stores a body and wants a 2xx answer.
func (c *Client) put(ctx context.Context, call call) error {
	call.method = http.MethodPut
	got, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if !isSuccess(got.status) {
		return statusError(call, got)
	}
	return nil
}

// Machines returns the platform's machine list, which lags.
func (c *Client) Machines(ctx context.Context) ([]cluster.Machine, error) {
	var list MachineList
	err := c.getJSON(ctx, call{step: "read machines", url: c.options.MachinesURL + "/machines"}, &list)
	return list.Machines, err
}

// RegisterMachine puts a machine on the list or replaces its line.
func (c *Client) RegisterMachine(ctx context.Context, m cluster.Machine) error {
	body, err := json.Marshal(m)
	if err != nil {
		return eris.Wrapf(err, "register machine %s: encode", m.ID)
	}
	url := c.options.MachinesURL + "/machines/" + string(m.ID)
	return c.put(ctx, call{step: "register machine", url: url, body: body})
}

// MachineList is the body of GET /machines.
type MachineList struct {
	Machines []cluster.Machine `json:"machines"`
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// statusError describes an answer with an unwanted status.
func statusError(call call, got answer) error {
	text := got.body[:min(len(got.body), errorBodyLimit)]
	return eris.Errorf("%s at %s: status %d: %s", call.step, call.url, got.status, strings.TrimSpace(string(text)))
}

// retryAfter reads the Retry-After header in seconds, zero when there is none.
func retryAfter(headers http.Header) time.Duration {
	seconds, err := strconv.Atoi(headers.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
