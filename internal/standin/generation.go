package standin

import (
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
)

// generationState says where a generation stands.
type generationState int

const (
	// generationWaiting is in the queue.
	generationWaiting generationState = iota + 1
	// generationRunning is in the batch.
	generationRunning
	// generationDone has produced its whole answer.
	generationDone
	// generationPaused lost its reader for longer than the grace; a resume puts
	// it into the queue again.
	generationPaused
	// generationLost was cancelled, or went with a crash.
	generationLost
)

// versionRun is a run of tokens that one weight version produced.
type versionRun struct {
	version cluster.Version
	to      int
}

// generation is one request that the engine knows. The tokens themselves are
// not kept, since the text follows from the prompt.
type generation struct {
	request  backend.CompletionRequest
	arrival  uint64
	state    generationState
	length   int
	first    int
	produced int
	runs     []versionRun
	prefill  time.Duration
	// begun is set once the generation was in a batch.
	begun bool
	// cutAt is the token at which the next stream breaks, negative for never.
	cutAt   int
	readers int
	// idleSince is when the last reader left, or when the answer was done.
	idleSince time.Time
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newGeneration(request backend.CompletionRequest, arrival uint64) *generation {
	g := &generation{
		request: request,
		arrival: arrival,
		state:   generationWaiting,
		length:  AnswerLength(request.Prompt, request.MaxTokens),
		cutAt:   -1,
		changed: make(chan struct{}),
	}
	if request.Resume != nil {
		g.first = min(request.Resume.TokenOffset, g.length)
		g.produced = g.first
	}
	return g
}

// isFor reports whether a request asks for the same answer.
func (g *generation) isFor(request backend.CompletionRequest) bool {
	return g.request.Prompt == request.Prompt && g.request.MaxTokens == request.MaxTokens
}

// holds reports whether a stream can go on from a token.
func (g *generation) holds(offset int) bool {
	return offset >= g.first && offset <= g.produced
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) setState(state generationState) {
	g.state = state
	g.notify()
}

// produce adds tokens of one version.
func (g *generation) produce(tokens int, version cluster.Version) {
	g.produced = min(g.produced+tokens, g.length)
	last := len(g.runs) - 1
	if last >= 0 && g.runs[last].version == version {
		g.runs[last].to = g.produced
	} else {
		g.runs = append(g.runs, versionRun{version: version, to: g.produced})
	}
	g.notify()
}

// chunk returns the next piece from a token on, all of one version; ok is false
// when nothing is there yet.
func (g *generation) chunk(from, limit int) (chunk backend.CompletionChunk, ok bool) {
	for _, run := range g.runs {
		if run.to <= from {
			continue
		}
		to := min(run.to, from+limit)
		return g.encode(from, to, run.version), true
	}
	return backend.CompletionChunk{}, false
}

func (g *generation) encode(from, to int, version cluster.Version) backend.CompletionChunk {
	choice := backend.CompletionChoice{Text: AnswerText(g.request.Prompt, from, to)}
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

// kvTokens is the cache memory that the generation takes.
func (g *generation) kvTokens() int { return promptTokens(g.request.Prompt) + g.produced }
