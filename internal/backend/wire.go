package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// The paths of the engines' and services' protocols.
const (
	PathCompletions = "/v1/completions"
	PathOrders      = "/control/orders"
	PathLoad        = "/load"
	PathExportKV    = "/kv/export"
	PathCacheEvents = "/cache/events"
	PathLeave       = "/leave"
)

// ActionLoad is the action of an Order that loads a version of a model.
const ActionLoad = "load"

// The finish reasons of a completion.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamEnd is the data line that ends a whole stream.
const StreamEnd = "[DONE]"

// CompletionRequest is the body of POST /v1/completions. A request id that the
// engine knows joins the running generation instead of beginning another.
type CompletionRequest struct {
	Model     cluster.ModelName `json:"model"`
	Prompt    string            `json:"prompt"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Priority  int               `json:"priority"`
	RequestID string            `json:"request_id"`
	Group     string            `json:"group,omitempty"`
	Resume    *ResumePoint      `json:"resume,omitempty"`
	ImportKV  string            `json:"import_kv,omitempty"`
}

// ResumePoint says how many tokens the caller already has. With Text empty the
// engine must know the request; with Text any engine can go on.
type ResumePoint struct {
	TokenOffset int    `json:"token_offset"`
	Text        string `json:"text"`
}

// CompletionChunk is one data line of a stream. TokenOffset is the index of its
// first token in the whole answer.
type CompletionChunk struct {
	RequestID     string             `json:"request_id"`
	Choices       []CompletionChoice `json:"choices"`
	WeightVersion cluster.Version    `json:"weight_version"`
	TokenOffset   int                `json:"token_offset"`
	Tokens        int                `json:"tokens"`
}

// CompletionChoice is the text of a chunk. FinishReason is nil until the end.
type CompletionChoice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// Order is the body of POST /control/orders.
type Order struct {
	Fence   machine.Fence     `json:"fence"`
	Action  string            `json:"action"`
	Model   cluster.ModelName `json:"model"`
	Version cluster.Version   `json:"version"`
}

// OrderRefused is the body of the 409 that answers a stale order.
type OrderRefused struct {
	LastFence machine.Fence `json:"last_fence"`
}

// LoadReport is the body of GET /load. Services leave the fields of engines out.
type LoadReport struct {
	Leaving         bool              `json:"leaving"`
	Running         int               `json:"running"`
	Waiting         int               `json:"waiting"`
	Slots           int               `json:"slots"`
	KVTokens        int               `json:"kv_tokens,omitempty"`
	KVCapacity      int               `json:"kv_capacity,omitempty"`
	Model           cluster.ModelName `json:"model,omitempty"`
	Version         cluster.Version   `json:"version,omitempty"`
	Loading         cluster.Version   `json:"loading,omitempty"`
	LoadError       string            `json:"load_error,omitempty"`
	LastFence       machine.Fence     `json:"last_fence,omitzero"`
	TokensPerSecond float64           `json:"tokens_per_second,omitempty"`
}

// ExportRequest is the body of POST /kv/export.
type ExportRequest struct {
	RequestID string `json:"request_id"`
}

// ExportedKV answers POST /kv/export.
type ExportedKV struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// The kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent says that a prefix group came into an engine's cache or left it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Group    string `json:"group"`
}

// CacheEvents is the body of GET /cache/events?from=N: events with a sequence of
// N or more, with gaps. Next is the N to ask for next.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// ErrorBody is the body of every error of an engine or a service.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error itself.
type ErrorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// retryAfter takes the time to come back from an error: the body's milliseconds,
// else the header's whole seconds, else zero.
func retryAfter(headers http.Header, body []byte) time.Duration {
	var decoded ErrorBody
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.RetryAfterMs > 0 {
		return time.Duration(decoded.Error.RetryAfterMs) * time.Millisecond
	}
	seconds, err := strconv.Atoi(headers.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
