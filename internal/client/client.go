// Package client is a client of a node's HTTP API for operators, trainers and
// callers. The subcommands, the demo and the process tests use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/stricthttp"
)

// maxIdleConnsPerNode is the maximum number of idle connections to one node.
const maxIdleConnsPerNode = 256

// Options configure a Client.
type Options struct {
	// Node is the node's HTTP address, as IP:port or as a base URL.
	Node string
	// HTTP sends the requests; nil for a client with its own connection pool.
	HTTP *http.Client
}

// Client calls one node. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client. Connections are opened on demand.
func New(options Options) *Client {
	base := options.Node
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if options.HTTP == nil {
		options.HTTP = NewHTTPClient()
	}
	return &Client{baseURL: strings.TrimSuffix(base, "/"), http: options.HTTP}
}

// NewHTTPClient returns an HTTP client with its own connection pool and no
// timeout; the context of a call limits it.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: stricthttp.New(stricthttp.Options{Transport: &http.Transport{
		DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: maxIdleConnsPerNode, DisableCompression: true,
	}})}
}

// APIError is an error response of a node.
type APIError struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is the machine-readable error code.
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field"`
	// Step and Peer are the step and the node that the error comes from.
	Step string `json:"step"`
	Peer string `json:"peer"`
	// NotExecuted is set if the request was definitely not executed.
	NotExecuted  bool  `json:"not_run"`
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// Error implements error.
func (e *APIError) Error() string {
	text := e.Code + ": " + e.Message
	if e.Field != "" {
		text += " (field " + e.Field + ")"
	}
	if e.Step != "" {
		text += " (step " + e.Step + ")"
	}
	if e.Peer != "" {
		text += " (peer " + e.Peer + ")"
	}
	return text
}

// RetryAfter returns the delay after which the request can be retried.
func (e *APIError) RetryAfter() time.Duration {
	return time.Duration(e.RetryAfterMS) * time.Millisecond
}

// IsPermanent reports whether err is an error response of a node that a retry
// can't change.
func IsPermanent(err error) bool {
	var apiError *APIError
	if !errors.As(err, &apiError) {
		return false
	}
	return apiError.Status < http.StatusInternalServerError && apiError.RetryAfterMS == 0
}

// get sends a GET request and decodes the JSON response into target.
func (c *Client) get(ctx context.Context, path string, query url.Values, target any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, target)
}

// post sends the payload as JSON and decodes the JSON response into target.
func (c *Client) post(ctx context.Context, path string, payload, target any) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return eris.Wrapf(err, "encode the request %s", path)
	}
	return c.do(ctx, http.MethodPost, path, bytes.NewReader(body), target)
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return eris.Wrapf(err, "make the request %s %s", method, path)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask node %s", c.baseURL)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrapf(err, "read the answer of node %s to %s", c.baseURL, path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.parseError(response.StatusCode, path, responseBody)
	}
	if err := json.Unmarshal(responseBody, target); err != nil {
		return eris.Wrapf(err, "decode the answer of node %s to %s", c.baseURL, path)
	}
	return nil
}

// parseError returns the *APIError in an error response, or a generic error if
// the body doesn't hold one.
func (c *Client) parseError(status int, path string, responseBody []byte) error {
	var body struct {
		Error *APIError `json:"error"`
	}
	if json.Unmarshal(responseBody, &body) != nil || body.Error == nil {
		return eris.Errorf("node %s answered %s with status %d: %s", c.baseURL, path, status, bytes.TrimSpace(responseBody))
	}
	body.Error.Status = status
	return body.Error
}
