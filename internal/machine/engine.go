package machine

import (
	"fmt"
	"time"

	"dalehook/internal/cluster"
)

// AttemptID names one attempt of one sample; its string form is the engine's
// request id, so that a new owner finds a running stream.
type AttemptID struct {
	Step    string
	Sample  int
	Attempt int
}

// String returns the engine's request id.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", a.Step, a.Sample, a.Attempt)
}

// StartAttempt asks an engine to generate, or to go on with an attempt.
type StartAttempt struct {
	ID        AttemptID
	Engine    cluster.BackendID
	Address   string
	Model     cluster.ModelName
	Prompt    string
	MaxTokens int
	// Group names the shared prefix of the prompt, empty for none.
	Group string
	// Priority orders work inside an engine; higher goes first.
	Priority int
	// ResumeFrom is the number of tokens that the owner already has. With
	// ResumeText empty the engine is asked to stream again from that offset of a
	// request it knows; otherwise ResumeText holds those tokens and any engine
	// can continue after them.
	ResumeFrom int
	ResumeText string
	// ImportKV is a handle from another engine's export, empty for none.
	ImportKV string
}

func (StartAttempt) output() {}

// CancelAttempt ends an attempt on its engine.
type CancelAttempt struct {
	ID      AttemptID
	Engine  cluster.BackendID
	Address string
}

func (CancelAttempt) output() {}

// AttemptChunk is a piece of an attempt's stream. Version is the engine's own tag.
type AttemptChunk struct {
	ID        AttemptID
	Engine    cluster.BackendID
	FromToken int
	Tokens    int
	Text      string
	Version   cluster.Version
}

func (AttemptChunk) input() {}

// EndReason says why an attempt's stream ended.
type EndReason string

const (
	// EndComplete means that the engine marked the stream as finished.
	EndComplete EndReason = "complete"
	// EndCut means that the stream broke before its end mark.
	EndCut EndReason = "cut"
	// EndRefused means that the engine refused before it generated (busy,
	// leaving, wrong model); nothing ran.
	EndRefused EndReason = "refused"
	// EndUnreachable means that no connection was made; nothing ran.
	EndUnreachable EndReason = "unreachable"
	// EndUnknownRequest means that a resume named a request the engine has not.
	EndUnknownRequest EndReason = "unknown_request"
	// EndCanceled means that the attempt was cancelled.
	EndCanceled EndReason = "canceled"
)

// AttemptEnded ends an attempt's stream.
type AttemptEnded struct {
	ID     AttemptID
	Engine cluster.BackendID
	Reason EndReason
	// RetryAfter is the engine's own wish, zero when it stated none.
	RetryAfter time.Duration
	Err        string
}

func (AttemptEnded) input() {}

// Fence orders the control orders of one engine: by epoch first, then by
// sequence. An engine refuses an order whose fence is not higher than the last.
type Fence struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f comes before other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Sequence < other.Sequence
}

// OrderEngine is a fenced order to load a version of a model.
type OrderEngine struct {
	Engine  cluster.BackendID
	Address string
	Fence   Fence
	Model   cluster.ModelName
	Version cluster.Version
}

func (OrderEngine) output() {}

// OrderResult answers OrderEngine. Accepted means that the engine has begun to
// load; the load's end shows in the engine's report.
type OrderResult struct {
	Engine   cluster.BackendID
	Fence    Fence
	Accepted bool
	// Stale means that the engine has seen a higher fence.
	Stale bool
	Err   string
}

func (OrderResult) input() {}

// PollBackend asks a back end for its report.
type PollBackend struct {
	Backend cluster.BackendID
	Kind    cluster.BackendKind
	Address string
}

func (PollBackend) output() {}

// BackendReport is what a back end says of itself. It may lag.
type BackendReport struct {
	Backend cluster.BackendID
	// Err is not empty when the back end could not be asked; the rest is then zero.
	Err     string
	Leaving bool
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Slots is the largest number that may run at once.
	Slots int
	// KVTokens and KVCapacity measure cache memory in tokens; engines only.
	KVTokens   int
	KVCapacity int
	// Model and Version are what an engine has loaded, by its own report.
	Model   cluster.ModelName
	Version cluster.Version
	// Loading is the version being loaded, zero for none.
	Loading cluster.Version
	// LoadError is the reason why the last load failed, empty for none.
	LoadError string
	// LastFence is the highest fence that the engine has seen.
	LastFence Fence
	// TokensPerSecond is the engine's recent output.
	TokensPerSecond float64
	// Groups lists the prefix groups the engine holds in its cache. Late and
	// with gaps.
	Groups []string
}

func (BackendReport) input() {}
