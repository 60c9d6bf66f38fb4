package traffic

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"dalehook/internal/client"
	"dalehook/internal/standin"
)

const (
	// saveEvery says which requests are saves; the others are lookups.
	saveEvery = 4
	// callDeadline bounds one sending.
	callDeadline = 10 * time.Second
	// thinkTime is a caller's pause between two requests.
	thinkTime = 20 * time.Millisecond
)

// RequestCounts are what callers counted.
type RequestCounts struct {
	// Sent requests went through nodes; Saves of them were unrepeatable.
	Sent, Saves int
	// Answered requests got their whole answer, Lost ones did not.
	Answered, Lost int
	// Duplicated counts runs of a save beyond its first, by the servers' counts.
	Duplicated int
	// DirectSent and DirectAnswered count the requests straight to servers.
	DirectSent, DirectAnswered int
	// Routed and Direct hold the times of answered requests in microseconds.
	Routed, Direct *hdrhistogram.Histogram
	// Faults says what went wrong, a line each.
	Faults []string
}

// CallersOptions configure Callers.
type CallersOptions struct {
	Service string
	// Nodes lists the nodes to ask, Servers the service's servers.
	Nodes   *Directory
	Servers []*client.Client
	// Workers is the number of requests at the same time.
	Workers int
	// Requests is the number sent through the nodes; with Direct set as many go
	// straight to the servers.
	Requests int
	Direct   bool
	// Tries is how often a request is sent, with the same key, until it counts
	// as lost.
	Tries int
}

// Callers send lookups and saves through the nodes, and each request a second
// time, under a key of its own, straight to a server.
type Callers struct {
	options CallersOptions

	mu     sync.Mutex
	counts RequestCounts
	// saved holds the keys of saves that were answered.
	saved []string
}

// NewCallers returns callers that have sent nothing.
func NewCallers(options CallersOptions) *Callers {
	return &Callers{
		options: options,
		counts:  RequestCounts{Routed: newHistogram(), Direct: newHistogram()},
	}
}

// newHistogram counts microseconds up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	const significantFigures = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantFigures)
}

// Run sends all requests. The order of the two ways alternates, so that neither
// has the warmer server.
func (c *Callers) Run(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(c.options.Workers)
	for number := range c.options.Requests {
		workers.Go(func() {
			if ctx.Err() != nil {
				return
			}
			if number%2 == 0 {
				c.sendRouted(ctx, number)
			}
			if c.options.Direct {
				c.sendDirect(ctx, number)
			}
			if number%2 != 0 {
				c.sendRouted(ctx, number)
			}
			Pause(ctx, thinkTime)
		})
	}
	workers.Wait()
}

// request makes a lookup or a save; way keeps the keys of both ways apart.
func (c *Callers) request(way string, number int) client.Call {
	call := client.Call{
		Method:   http.MethodGet,
		Service:  c.options.Service,
		Path:     fmt.Sprintf("/lookups/%s-%d", way, number),
		Deadline: callDeadline,
	}
	if number%saveEvery == saveEvery-1 {
		call.Method = http.MethodPost
		call.Path = fmt.Sprintf("/saves/%s-%d", way, number)
		call.Body = fmt.Sprintf(`{"line":%d,"hearing":"water board"}`, number)
		call.Key = saveKey(way, number)
		call.Unrepeatable = true
	}
	return call
}

func saveKey(way string, number int) string { return fmt.Sprintf("%s-save-%d", way, number) }

// The ways of a request.
const (
	wayRouted = "routed"
	wayDirect = "direct"
)

// sendRouted sends a request through one node after another until it is
// answered. A save keeps its key, so that it runs at most once.
func (c *Callers) sendRouted(ctx context.Context, number int) {
	call := c.request(wayRouted, number)
	start := time.Now()
	reason := ""
	for try := range c.options.Tries {
		reason = outcomeOf(c.options.Nodes.Pick(number+try).Call(ctx, call))(call)
		if reason == "" {
			break
		}
		Pause(ctx, retryPause)
	}
	took := time.Since(start)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	if call.Unrepeatable {
		c.counts.Saves++
	}
	if reason != "" {
		c.counts.Lost++
		c.counts.Faults = append(c.counts.Faults, fmt.Sprintf("request %s: %s", call.Path, reason))
		return
	}
	c.counts.Answered++
	if call.Unrepeatable {
		c.saved = append(c.saved, call.Key)
	}
	_ = c.counts.Routed.RecordValue(took.Microseconds())
}

// sendDirect sends a request straight to a server, the servers taking turns.
func (c *Callers) sendDirect(ctx context.Context, number int) {
	call := c.request(wayDirect, number)
	start := time.Now()
	reason := outcomeOf(c.options.Servers[number%len(c.options.Servers)].CallDirect(ctx, call))(call)
	took := time.Since(start)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.DirectSent++
	if reason != "" {
		c.counts.Faults = append(c.counts.Faults, fmt.Sprintf("direct request %s: %s", call.Path, reason))
		return
	}
	c.counts.DirectAnswered++
	_ = c.counts.Direct.RecordValue(took.Microseconds())
}

// outcomeOf returns a check that says why an answer is not the whole answer to
// the call, empty when it is.
func outcomeOf(answer client.CallAnswer, err error) func(client.Call) string {
	return func(call client.Call) string {
		if err != nil {
			return err.Error()
		}
		if answer.Status != http.StatusOK {
			return fmt.Sprintf("status %d: %s", answer.Status, answer.Body)
		}
		var echo standin.ServiceResponse
		if err := json.Unmarshal(answer.Body, &echo); err != nil {
			return "answer is no JSON: " + err.Error()
		}
		digest := sha256.Sum256([]byte(call.Body))
		if echo.Path != call.Path || echo.Key != call.Key || echo.BodyDigest != hex.EncodeToString(digest[:]) {
			return fmt.Sprintf("answer belongs to %s with key %q", echo.Path, echo.Key)
		}
		return ""
	}
}

// Answered returns the number of requests answered through nodes so far.
func (c *Callers) Answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts.Answered
}

// Audit compares the answered saves with the servers' own counts.
func (c *Callers) Audit(ctx context.Context) (RequestCounts, error) {
	runs := map[string]int{}
	for _, server := range c.options.Servers {
		answer, err := server.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/counts"})
		if err != nil {
			return RequestCounts{}, eris.Wrap(err, "read the counts of a server")
		}
		var counts map[string]int
		if err := json.Unmarshal(answer.Body, &counts); err != nil {
			return RequestCounts{}, eris.Wrap(err, "decode the counts of a server")
		}
		for key, times := range counts {
			runs[key] += times
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if unsent := c.options.Requests - c.counts.Sent; unsent > 0 {
		c.counts.Faults = append(c.counts.Faults, fmt.Sprintf("%d requests were not sent before the time was up", unsent))
	}
	for number := saveEvery - 1; number < c.options.Requests; number += saveEvery {
		c.counts.Duplicated += max(0, runs[saveKey(wayRouted, number)]-1)
	}
	for _, key := range c.saved {
		if runs[key] == 0 {
			c.counts.Faults = append(c.counts.Faults, fmt.Sprintf("save %s was answered and never ran", key))
		}
	}
	slices.Sort(c.counts.Faults)
	return c.counts, nil
}
