package standin

import (
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
)

// generationState is the lifecycle state of a generation.
type generationState int

const (
	// generationWaiting means queued.
	generationWaiting generationState = iota + 1
	// generationRunning means in the batch.
	generationRunning
	// generationDone means that the whole completion has been produced.
	generationDone
	// generationPaused means that there was no reader for longer than
	// DetachGrace; a resume requeues the generation.
	generationPaused
	// generationAborted means cancelled, replaced or lost in a crash.
	generationAborted
)

// versionSegment is a run of consecutive tokens produced by one weight version.
type versionSegment struct {
	version cluster.Version
	end     int
}

// generation is the state of one request. Tokens are not stored, because the
// text is a function of the prompt.
type generation struct {
	request     backend.CompletionRequest
	sequence    uint64
	state       generationState
	length      int
	startOffset int
	produced    int
	segments    []versionSegment
	prefill     time.Duration
	// started is set once the generation has been in a batch.
	started bool
	// breakAt is the token offset at which the next stream is aborted, negative
	// for never.
	breakAt int
	readers int
	// idleSince is the time at which the last reader detached or the completion
	// was finished.
	idleSince time.Time
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newGeneration(request backend.CompletionRequest, sequence uint64) *generation {
	g := &generation{
		request:  request,
		sequence: sequence,
		state:    generationWaiting,
		length:   CompletionLength(request.Prompt, request.MaxTokens),
		breakAt:  -1,
		changed:  make(chan struct{}),
	}
	if request.Resume != nil {
		g.startOffset = min(request.Resume.TokenOffset, g.length)
		g.produced = g.startOffset
	}
	return g
}

// matches reports whether a request is for the same completion.
func (g *generation) matches(request backend.CompletionRequest) bool {
	return g.request.Prompt == request.Prompt && g.request.MaxTokens == request.MaxTokens
}

// canResumeFrom reports whether a stream can continue at a token offset.
func (g *generation) canResumeFrom(offset int) bool {
	return offset >= g.startOffset && offset <= g.produced
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) setState(state generationState) {
	g.state = state
	g.notify()
}

// produce adds tokens produced by one version.
func (g *generation) produce(tokens int, version cluster.Version) {
	g.produced = min(g.produced+tokens, g.length)
	last := len(g.segments) - 1
	if last >= 0 && g.segments[last].version == version {
		g.segments[last].end = g.produced
	} else {
		g.segments = append(g.segments, versionSegment{version: version, end: g.produced})
	}
	g.notify()
}

// chunk returns up to limit tokens from an offset on, all from one version. ok is
// false if no token after the offset has been produced yet.
func (g *generation) chunk(from, limit int) (chunk backend.CompletionChunk, ok bool) {
	for _, segment := range g.segments {
		if segment.end <= from {
			continue
		}
		to := min(segment.end, from+limit)
		return g.encode(from, to, segment.version), true
	}
	return backend.CompletionChunk{}, false
}

func (g *generation) encode(from, to int, version cluster.Version) backend.CompletionChunk {
	choice := backend.CompletionChoice{Text: CompletionText(g.request.Prompt, from, to)}
	if to == g.length {
		reason := backend.FinishStop
		if g.length == g.request.MaxTokens {
			reason = backend.FinishLength
		}
		choice.FinishReason = &reason
	}
	return backend.CompletionChunk{
		RequestID:     g.request.RequestID,
		Choices:       []backend.CompletionChoice{choice},
		WeightVersion: version,
		TokenOffset:   from,
		Tokens:        to - from,
	}
}

// kvTokens returns the size of the generation's KV cache in tokens.
func (g *generation) kvTokens() int { return promptTokens(g.request.Prompt) + g.produced }
