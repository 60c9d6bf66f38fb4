package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dalehook/internal/cluster"
)

// RateLimitedError says that the weight store is busy.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "weight store is rate-limited, retry after " + e.RetryAfter.String()
}

// defaultWeightsDelay is taken when the store states no time to come back.
const defaultWeightsDelay = time.Second

// PutWeights stores the weights of one version of a model.
func (c *Client) PutWeights(ctx context.Context, model cluster.ModelName, version cluster.Version, weights []byte) error {
	return c.put(ctx, call{step: "put weights", url: c.weightsURL(model, version), body: weights})
}

// GetWeights fetches the weights of one version of a model. The error is a
// *RateLimitedError when the store asks to come back later.
func (c *Client) GetWeights(ctx context.Context, model cluster.ModelName, version cluster.Version) ([]byte, error) {
	call := call{step: "get weights", method: http.MethodGet, url: c.weightsURL(model, version)}
	got, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	switch got.status {
	case http.StatusOK:
		return got.body, nil
	case http.StatusTooManyRequests:
		return nil, &RateLimitedError{RetryAfter: weightsDelay(got)}
	}
	return nil, statusError(call, got)
}

// weightsDelay prefers the body's milliseconds to the header's whole seconds.
func weightsDelay(got answer) time.Duration {
	var body struct {
		Error struct {
			RetryAfterMs int64 `json:"retry_after_ms"`
		} `json:"error"`
	}
	if json.Unmarshal(got.body, &body) == nil && body.Error.RetryAfterMs > 0 {
		return time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	}
	if delay := retryAfter(got.headers); delay > 0 {
		return delay
	}
	return defaultWeightsDelay
}

func (c *Client) weightsURL(model cluster.ModelName, version cluster.Version) string {
	return fmt.Sprintf("%s/weights/%s/%d", c.options.WeightsURL, url.PathEscape(string(model)), version)
}
