// Package client speaks a node's HTTP interface for operators, trainers and
// callers: the subcommands, the demo and the process test use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// idlePerNode is the number of idle connections kept to one node.
const idlePerNode = 256

// Options configure a Client.
type Options struct {
	// Node is the node's HTTP address, as IP:port or as a base URL.
	Node string
	// HTTP sends the requests; nil for a client with a pool of its own.
	HTTP *http.Client
}

// Client speaks to one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client. It opens no connection yet.
func New(options Options) *Client {
	base := options.Node
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if options.HTTP == nil {
		options.HTTP = NewHTTPClient()
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: options.HTTP}
}

// NewHTTPClient returns an HTTP client with a connection pool of its own and
// no time limit; calls are bounded by their context.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerNode, DisableCompression: true}}
}

// Refusal is an error body of a node.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is the machine-readable reason.
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field"`
	// Step and Peer say where the failure arose.
	Step string `json:"step"`
	Peer string `json:"peer"`
	// NotRun says that the request surely did not run.
	NotRun       bool  `json:"not_run"`
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// Error implements error.
func (r *Refusal) Error() string {
	text := r.Code + ": " + r.Message
	if r.Field != "" {
		text += " (field " + r.Field + ")"
	}
	if r.Step != "" {
		text += " (step " + r.Step + ")"
	}
	if r.Peer != "" {
		text += " (peer " + r.Peer + ")"
	}
	return text
}

// RetryAfter is the time after which the request may be tried again.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// IsFinal reports whether an error is a node's refusal that trying again can't
// change.
func IsFinal(err error) bool {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	return refusal.Status < http.StatusInternalServerError && refusal.RetryAfterMS == 0
}

// get asks for a JSON answer.
func (c *Client) get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.exchange(ctx, http.MethodGet, path, nil, answer)
}

// post sends JSON and asks for a JSON answer.
func (c *Client) post(ctx context.Context, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return eris.Wrapf(err, "encode the request %s", path)
	}
	return c.exchange(ctx, http.MethodPost, path, bytes.NewReader(body), answer)
}

func (c *Client) exchange(ctx context.Context, method, path string, body io.Reader, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return eris.Wrapf(err, "make the request %s %s", method, path)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask node %s", c.base)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrapf(err, "read the answer of node %s to %s", c.base, path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.refusal(response.StatusCode, path, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return eris.Wrapf(err, "decode the answer of node %s to %s", c.base, path)
	}
	return nil
}

// refusal turns an error body into a *Refusal.
func (c *Client) refusal(status int, path string, content []byte) error {
	var body struct {
		Error *Refusal `json:"error"`
	}
	if json.Unmarshal(content, &body) != nil || body.Error == nil {
		return eris.Errorf("node %s answered %s with status %d: %s", c.base, path, status, bytes.TrimSpace(content))
	}
	body.Error.Status = status
	return body.Error
}
