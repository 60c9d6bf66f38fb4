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

// Headers of a caller's request.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Dalehook-Repeatable"
	headerDeadline       = "Dalehook-Deadline-Ms"
)

// Call is a caller's request to a service.
type Call struct {
	Method  string
	Service string
	// Path begins with a slash.
	Path string
	Body string
	// IdempotencyKey identifies the request; it is required if Unrepeatable is
	// set.
	IdempotencyKey string
	Unrepeatable   bool
	// Deadline is the request's deadline, zero for the node's default.
	Deadline time.Duration
}

// CallResponse is the complete response to a Call.
type CallResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request to a service through the node. A request with a body is
// sent at most once: its body can't be rewound, so that net/http never retries it.
func (c *Client) Call(ctx context.Context, call Call) (CallResponse, error) {
	targetURL := c.baseURL + "/v1/services/" + call.Service + call.Path
	return c.send(ctx, call, targetURL)
}

// CallDirect sends the request directly to a service server, the address of which
// is the client's node address.
func (c *Client) CallDirect(ctx context.Context, call Call) (CallResponse, error) {
	return c.send(ctx, call, c.baseURL+call.Path)
}

func (c *Client) send(ctx context.Context, call Call, targetURL string) (CallResponse, error) {
	body := io.Reader(http.NoBody)
	if call.Body != "" {
		body = io.NopCloser(strings.NewReader(call.Body))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, targetURL, body)
	if err != nil {
		return CallResponse{}, eris.Wrapf(err, "make the request %s %s", call.Method, targetURL)
	}
	if call.Body != "" {
		request.ContentLength = int64(len(call.Body))
	}
	if call.IdempotencyKey != "" {
		request.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	if call.Unrepeatable {
		request.Header.Set(headerRepeatable, "no")
	}
	if call.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return CallResponse{}, eris.Wrapf(err, "call %s", targetURL)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return CallResponse{}, eris.Wrapf(err, "read the answer of %s", targetURL)
	}
	return CallResponse{Status: response.StatusCode, Header: response.Header, Body: responseBody}, nil
}
