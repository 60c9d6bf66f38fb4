package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"dalehook/internal/machine"
	"dalehook/internal/roundtrip"
)

const (
	// eventLineStart and eventLineLimit are the first and the largest size in
	// bytes of the buffer for one line of a stream.
	eventLineStart = 4 << 10
	eventLineLimit = 1 << 20
)

var (
	errCanceled   = errors.New("the attempt was cancelled")
	errSuperseded = errors.New("a later stream of the attempt took its place")
)

// Generate runs one attempt on an engine and returns when its stream has ended.
// It emits an AttemptChunk for each piece and then exactly one AttemptEnded, all
// from the calling goroutine.
func (c *EngineClient) Generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input)) {
	ctx, finish := c.streams.begin(ctx, streamKey{address: start.Address, id: start.ID})
	ended := c.generate(ctx, start, emit)
	finish()
	ended.ID = start.ID
	ended.Engine = start.Engine
	emit(ended)
}

func (c *EngineClient) generate(ctx context.Context, start machine.StartAttempt, emit func(machine.Input)) machine.AttemptEnded {
	out, err := encodeStart(start)
	if err != nil {
		return endedWith(ctx, start, machine.EndRefused, err)
	}
	response, failed := c.once.RoundTrip(ctx, out)
	if failed != nil {
		reason := machine.EndUnreachable
		if failed.Sent {
			reason = machine.EndCut
		}
		return endedWith(ctx, start, reason, failed)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return endedByStatus(ctx, start, response)
	}
	if err := readStream(response.Body, start, emit); err != nil {
		return endedWith(ctx, start, machine.EndCut, err)
	}
	return machine.AttemptEnded{Reason: machine.EndComplete}
}

func encodeStart(start machine.StartAttempt) (roundtrip.Request, error) {
	request := CompletionRequest{
		Model:     start.Model,
		Prompt:    start.Prompt,
		MaxTokens: start.MaxTokens,
		Stream:    true,
		Priority:  start.Priority,
		RequestID: start.ID.String(),
		Group:     start.Group,
		ImportKV:  start.ImportKV,
	}
	if start.ResumeFrom > 0 {
		request.Resume = &ResumePoint{TokenOffset: start.ResumeFrom, Text: start.ResumeText}
	}
	call := shortCall{
		method:  http.MethodPost,
		address: start.Address,
		path:    PathCompletions,
		body:    request,
	}
	return call.encode()
}

// endedWith ends an attempt for a reason, or as cancelled when that was why.
func endedWith(ctx context.Context, start machine.StartAttempt, reason machine.EndReason, err error) machine.AttemptEnded {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSuperseded):
		reason, err = machine.EndCut, cause
	case cause != nil:
		reason, err = machine.EndCanceled, cause
	}
	err = eris.Wrapf(err, "generate %s at engine %s (%s)", start.ID, start.Engine, start.Address)
	return machine.AttemptEnded{Reason: reason, Err: err.Error()}
}

// endedByStatus ends an attempt that the engine answered with an error.
func endedByStatus(ctx context.Context, start machine.StartAttempt, response *http.Response) machine.AttemptEnded {
	body, err := io.ReadAll(io.LimitReader(response.Body, shortAnswerLimit))
	if err != nil {
		return endedWith(ctx, start, machine.EndCut, err)
	}
	answer := shortAnswer{status: response.StatusCode, body: body}
	ended := endedWith(ctx, start, reasonOfStatus(response.StatusCode, start), answer.asError())
	ended.RetryAfter = retryAfter(response.Header, body)
	return ended
}

// reasonOfStatus reads an error status. Only 4xx and 503 are refusals; with any
// other status the engine may have begun.
func reasonOfStatus(status int, start machine.StartAttempt) machine.EndReason {
	resumesByOffset := start.ResumeFrom > 0 && start.ResumeText == ""
	switch {
	case status == http.StatusNotFound && resumesByOffset:
		return machine.EndUnknownRequest
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return machine.EndRefused
	}
	return machine.EndCut
}

// readStream emits the chunks of a stream. It returns nil only when the stream
// said that the answer is whole: a finish reason and then the end mark.
func readStream(body io.Reader, start machine.StartAttempt, emit func(machine.Input)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, eventLineStart), eventLineLimit)
	position := chunkPosition{start: start, next: start.ResumeFrom}
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == StreamEnd {
			return position.end()
		}
		chunk, err := position.take(data)
		if err != nil {
			return err
		}
		if chunk.Tokens > 0 {
			emit(chunk)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read the stream")
	}
	return errors.New("the stream broke off before its end mark")
}

// chunkPosition checks that the chunks of a stream follow one another.
type chunkPosition struct {
	start    machine.StartAttempt
	next     int
	finished bool
}

// take decodes one data line.
func (p *chunkPosition) take(data []byte) (machine.AttemptChunk, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return machine.AttemptChunk{}, eris.Wrap(err, "decode a chunk")
	}
	if chunk.RequestID != p.start.ID.String() {
		return machine.AttemptChunk{}, eris.Errorf("chunk belongs to request %q", chunk.RequestID)
	}
	if len(chunk.Choices) != 1 {
		return machine.AttemptChunk{}, eris.Errorf("chunk has %d choices, expected one", len(chunk.Choices))
	}
	if chunk.TokenOffset != p.next || chunk.Tokens < 0 {
		return machine.AttemptChunk{}, eris.Errorf("chunk has %d tokens from %d, expected them from %d", chunk.Tokens, chunk.TokenOffset, p.next)
	}
	p.next += chunk.Tokens
	p.finished = chunk.Choices[0].FinishReason != nil
	return machine.AttemptChunk{
		ID:        p.start.ID,
		Engine:    p.start.Engine,
		FromToken: chunk.TokenOffset,
		Tokens:    chunk.Tokens,
		Text:      chunk.Choices[0].Text,
		Version:   chunk.WeightVersion,
	}, nil
}

// end judges the end mark.
func (p *chunkPosition) end() error {
	if !p.finished {
		return errors.New("the stream has its end mark but no finish reason")
	}
	return nil
}

// streamKey names an attempt on an engine.
type streamKey struct {
	address string
	id      machine.AttemptID
}

// streams holds the running streams, so that a cancel can close them.
type streams struct {
	mu      sync.Mutex
	running map[streamKey]*stream
}

type stream struct {
	cancel context.CancelCauseFunc
}

// begin registers a stream. A stream of the same key that still runs is closed.
func (s *streams) begin(ctx context.Context, key streamKey) (_ context.Context, finish func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	begun := &stream{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[streamKey]*stream)
	}
	if earlier, ok := s.running[key]; ok {
		earlier.cancel(errSuperseded)
	}
	s.running[key] = begun
	return ctx, func() { s.finish(key, begun) }
}

func (s *streams) finish(key streamKey, ended *stream) {
	ended.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key] == ended {
		delete(s.running, key)
	}
}

func (s *streams) cancel(key streamKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running, ok := s.running[key]; ok {
		running.cancel(errCanceled)
	}
}
