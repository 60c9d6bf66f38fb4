package client

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// The headers of a caller's request.
const (
	headerKey        = "Idempotency-Key"
	headerRepeatable = "Dalehook-Repeatable"
	headerDeadline   = "Dalehook-Deadline-Ms"
)

// Call is a caller's request to a service.
type Call struct {
	Method  string
	Service string
	// Path begins with a slash.
	Path string
	Body string
	// Key names the request; it is required when Unrepeatable is set.
	Key          string
	Unrepeatable bool
	// Deadline bounds the call, zero for the node's default.
	Deadline time.Duration
}

// CallAnswer is the whole answer to a Call.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request to a service through the node. A call with a body is
// sent once: the body can't be rewound, so net/http never repeats it by itself.
func (c *Client) Call(ctx context.Context, call Call) (CallAnswer, error) {
	target := c.base + "/v1/services/" + call.Service + call.Path
	return c.send(ctx, call, target)
}

// CallDirect sends the same request straight to a service server.
func (c *Client) CallDirect(ctx context.Context, call Call) (CallAnswer, error) {
	return c.send(ctx, call, c.base+call.Path)
}

func (c *Client) send(ctx context.Context, call Call, target string) (CallAnswer, error) {
	body := io.Reader(http.NoBody)
	if call.Body != "" {
		body = io.NopCloser(strings.NewReader(call.Body))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return CallAnswer{}, eris.Wrapf(err, "make the request %s %s", call.Method, target)
	}
	if call.Body != "" {
		request.ContentLength = int64(len(call.Body))
	}
	if call.Key != "" {
		request.Header.Set(headerKey, call.Key)
	}
	if call.Unrepeatable {
		request.Header.Set(headerRepeatable, "no")
	}
	if call.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return CallAnswer{}, eris.Wrapf(err, "call %s", target)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return CallAnswer{}, eris.Wrapf(err, "read the answer of %s", target)
	}
	return CallAnswer{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}
