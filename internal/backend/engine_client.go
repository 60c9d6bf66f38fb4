package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"dalehook/internal/machine"
	"dalehook/internal/roundtrip"
)

// shortAnswerLimit is the largest answer in bytes to a short call.
const shortAnswerLimit = 1 << 20

// EngineClient speaks to model engines. It is safe for concurrent use.
type EngineClient struct {
	options Options
	once    *roundtrip.Transport
	streams streams
	caches  cacheViews
}

// NewEngineClient returns a client. It opens no connection yet.
func NewEngineClient(options Options) *EngineClient {
	options = options.withDefaults()
	return &EngineClient{options: options, once: options.transport()}
}

// Close closes idle connections.
func (c *EngineClient) Close() { c.once.Close() }

// Cancel closes the attempt's stream, if this client runs it, and asks the
// engine to forget the request.
func (c *EngineClient) Cancel(ctx context.Context, cancel machine.CancelAttempt) error {
	c.streams.cancel(streamKey{address: cancel.Address, id: cancel.ID})
	query := url.Values{"request_id": {cancel.ID.String()}}
	call := shortCall{
		method:  http.MethodDelete,
		address: cancel.Address,
		path:    PathCompletions + "?" + query.Encode(),
	}
	got, err := c.do(ctx, call)
	if err == nil && !isSuccess(got.status) && got.status != http.StatusNotFound {
		err = got.asError()
	}
	return eris.Wrapf(err, "cancel attempt %s at engine %s", cancel.ID, cancel.Engine)
}

// Order gives a fenced order to load a version.
func (c *EngineClient) Order(ctx context.Context, order machine.OrderEngine) machine.OrderResult {
	result := machine.OrderResult{Engine: order.Engine, Fence: order.Fence}
	call := shortCall{
		method:  http.MethodPost,
		address: order.Address,
		path:    PathOrders,
		body: Order{
			Fence:   order.Fence,
			Action:  ActionLoad,
			Model:   order.Model,
			Version: order.Version,
		},
	}
	got, err := c.do(ctx, call)
	switch {
	case err != nil:
	case isSuccess(got.status):
		result.Accepted = true
	case got.status == http.StatusConflict:
		result.Accepted, result.Stale, err = judgeConflict(got, order.Fence)
	default:
		err = got.asError()
	}
	if err != nil {
		result.Err = eris.Wrapf(err, "order engine %s at %s", order.Engine, order.Address).Error()
	}
	return result
}

// judgeConflict reads the 409 to an order. An engine whose last fence is the
// order's own has taken this very order before.
func judgeConflict(got shortAnswer, fence machine.Fence) (accepted, stale bool, err error) {
	var refused OrderRefused
	if err := json.Unmarshal(got.body, &refused); err != nil {
		return false, false, eris.Wrap(err, "decode the conflict")
	}
	if refused.LastFence == fence {
		return true, false, nil
	}
	if fence.Less(refused.LastFence) {
		return false, true, nil
	}
	return false, false, got.asError()
}

// shortCall is a call with a short answer. Body is encoded as JSON unless nil.
type shortCall struct {
	method  string
	address string
	path    string
	body    any
}

// shortAnswer is a whole answer to a shortCall.
type shortAnswer struct {
	status  int
	headers http.Header
	body    []byte
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// asError describes an answer with an unwanted status.
func (a shortAnswer) asError() error {
	return eris.Errorf("status %d: %s", a.status, errorMessage(a.body))
}

// do sends a short call within CallTimeout.
func (c *EngineClient) do(ctx context.Context, call shortCall) (shortAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	out, err := call.encode()
	if err != nil {
		return shortAnswer{}, err
	}
	response, failed := c.once.RoundTrip(ctx, out)
	if failed != nil {
		return shortAnswer{}, failed
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, shortAnswerLimit))
	if err != nil {
		return shortAnswer{}, eris.Wrap(err, "read the answer")
	}
	return shortAnswer{status: response.StatusCode, headers: response.Header, body: body}, nil
}

func (call shortCall) encode() (roundtrip.Request, error) {
	out := roundtrip.Request{
		Method:  call.method,
		Address: call.address,
		Path:    call.path,
		Headers: make(http.Header),
	}
	out.Headers.Set(HeaderRequestID, newRequestID())
	if call.body == nil {
		return out, nil
	}
	body, err := json.Marshal(call.body)
	if err != nil {
		return roundtrip.Request{}, eris.Wrap(err, "encode the request")
	}
	out.Body = body
	out.Headers.Set("Content-Type", "application/json")
	return out, nil
}

// getJSON fetches a path and decodes a 200 answer into target.
func (c *EngineClient) getJSON(ctx context.Context, address, path string, target any) error {
	got, err := c.do(ctx, shortCall{method: http.MethodGet, address: address, path: path})
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		return got.asError()
	}
	return eris.Wrap(json.Unmarshal(got.body, target), "decode the answer")
}

// errorMessage takes the message of a JSON error, else the start of the body.
func errorMessage(body []byte) string {
	const limit = 256
	var decoded ErrorBody
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Message != "" {
		return decoded.Error.Code + ": " + decoded.Error.Message
	}
	return string(body[:min(len(body), limit)])
}
