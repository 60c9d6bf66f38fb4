package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
)

// maxEventLine bounds one line of an engine's stream.
const maxEventLine = 1 << 20

// versionTags holds which versions engines named for each token of the answer
// to a prompt.
type versionTags struct {
	mu       sync.Mutex
	byPrompt map[string]map[int]map[cluster.Version]bool
}

func newVersionTags() *versionTags {
	return &versionTags{byPrompt: map[string]map[int]map[cluster.Version]bool{}}
}

func (v *versionTags) note(prompt string, chunk backend.CompletionChunk) {
	v.mu.Lock()
	defer v.mu.Unlock()
	tokens := v.byPrompt[prompt]
	if tokens == nil {
		tokens = map[int]map[cluster.Version]bool{}
		v.byPrompt[prompt] = tokens
	}
	for token := chunk.TokenOffset; token < chunk.TokenOffset+chunk.Tokens; token++ {
		if tokens[token] == nil {
			tokens[token] = map[cluster.Version]bool{}
		}
		tokens[token][chunk.WeightVersion] = true
	}
}

// named reports whether an engine named a version for a token.
func (v *versionTags) named(prompt string, token int, version cluster.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byPrompt[prompt][token][version]
}

// seen reports whether an engine answered a prompt.
func (v *versionTags) seen(prompt string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.byPrompt[prompt]) > 0
}

// tap stands before a back end, passes everything on and keeps what went by.
type tap struct {
	server *httptest.Server
	target atomic.Value
	http   *http.Transport
	tags   *versionTags

	mu sync.Mutex
	// arrived holds when new work came: by request id for engines, by path and
	// key for services.
	arrived map[string]time.Time
}

func newTap(tags *versionTags) *tap {
	t := &tap{tags: tags, arrived: map[string]time.Time{}, http: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	t.target.Store("")
	t.server = httptest.NewServer(t)
	return t
}

func (t *tap) address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// close cuts all connections and refuses new ones, as a dead process does.
func (t *tap) close() {
	_ = t.server.Listener.Close()
	t.server.CloseClientConnections()
	t.http.CloseIdleConnections()
}

// ServeHTTP passes a request on. What breaks behind the tap breaks before it.
func (t *tap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	prompt := t.noteArrival(r, body)
	request, err := http.NewRequestWithContext(r.Context(), r.Method, t.target.Load().(string)+r.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header, request.ContentLength = r.Header.Clone(), int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	response, err := t.http.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	t.passOn(w, response.Body, prompt)
}

// passOn copies an answer line by line and notes the chunks of a stream.
func (t *tap) passOn(w http.ResponseWriter, answer io.Reader, prompt string) {
	controller := http.NewResponseController(w)
	reader := bufio.NewReaderSize(answer, maxEventLine)
	for {
		line, err := reader.ReadBytes('\n')
		var chunk backend.CompletionChunk
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok && json.Unmarshal(data, &chunk) == nil {
			t.tags.note(prompt, chunk)
		}
		_, _ = w.Write(line)
		_ = controller.Flush()
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// noteArrival notes new work and returns the prompt of a completion.
func (t *tap) noteArrival(r *http.Request, body []byte) (prompt string) {
	switch r.URL.Path {
	case backend.PathLoad, backend.PathOrders, backend.PathCacheEvents, backend.PathExportKV, backend.PathLeave:
		return ""
	}
	work := r.Method + " " + r.URL.Path + " " + r.Header.Get("Idempotency-Key")
	if r.URL.Path == backend.PathCompletions {
		var completion backend.CompletionRequest
		if r.Method != http.MethodPost || json.Unmarshal(body, &completion) != nil {
			return ""
		}
		prompt, work = completion.Prompt, completion.RequestID
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.arrived[work]; !known {
		t.arrived[work] = time.Now()
	}
	return prompt
}

// arrivedAfter returns the work that first came after a moment.
func (t *tap) arrivedAfter(moment time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var late []string
	for work, at := range t.arrived {
		if at.After(moment) {
			late = append(late, work)
		}
	}
	return late
}
