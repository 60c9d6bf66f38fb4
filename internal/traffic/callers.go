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
	// saveInterval makes every saveInterval-th request a save; the others are
	// lookups.
	saveInterval = 4
	// callDeadline bounds one attempt.
	callDeadline = 10 * time.Second
	// thinkTime is a worker's pause between two requests.
	thinkTime = 20 * time.Millisecond
)

// RequestCounts are the counts of Callers.
type RequestCounts struct {
	// Sent counts requests through nodes, Saves the unrepeatable ones among them.
	Sent, Saves int
	// Succeeded counts requests with a complete and correct response, Lost those
	// without.
	Succeeded, Lost int
	// Duplicated counts executions of a save after its first, according to the
	// servers.
	Duplicated int
	// DirectSent and DirectSucceeded count the requests sent directly to servers.
	DirectSent, DirectSucceeded int
	// Routed and Direct hold the latencies of successful requests in microseconds.
	Routed, Direct *hdrhistogram.Histogram
	// Errors holds one line for each error.
	Errors []string
}

// CallersOptions configure Callers.
type CallersOptions struct {
	Service string
	// Nodes selects the nodes for requests. Servers are the service's servers.
	Nodes   *NodeBalancer
	Servers []*client.Client
	// Workers is the number of concurrent requests.
	Workers int
	// Requests is the number of requests through the nodes. With SendDirect, as
	// many are sent directly to the servers.
	Requests   int
	SendDirect bool
	// MaxAttempts is the number of times that a request is sent, with the same
	// key, before it counts as lost.
	MaxAttempts int
}

// Callers send lookups and saves through the nodes and, with SendDirect, a second
// copy of each request directly to a server under a key of its own.
type Callers struct {
	options CallersOptions

	mu     sync.Mutex
	counts RequestCounts
	// savedKeys holds the keys of successful saves.
	savedKeys []string
}

// NewCallers returns callers; Run starts sending.
func NewCallers(options CallersOptions) *Callers {
	return &Callers{
		options: options,
		counts:  RequestCounts{Routed: newHistogram(), Direct: newHistogram()},
	}
}

// newHistogram returns a histogram of microseconds up to one minute.
func newHistogram() *hdrhistogram.Histogram {
	const significantFigures = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantFigures)
}

// Run sends all requests. The order of routed and direct requests alternates, so
// that neither benefits from a warmer server.
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
			if c.options.SendDirect {
				c.sendDirect(ctx, number)
			}
			if number%2 != 0 {
				c.sendRouted(ctx, number)
			}
			Sleep(ctx, thinkTime)
		})
	}
	workers.Wait()
}

// newCall returns a lookup or a save. The mode is part of the path and the key, so
// that routed and direct requests have different keys.
func (c *Callers) newCall(mode string, number int) client.Call {
	call := client.Call{
		Method:   http.MethodGet,
		Service:  c.options.Service,
		Path:     fmt.Sprintf("/lookups/%s-%d", mode, number),
		Deadline: callDeadline,
	}
	if number%saveInterval == saveInterval-1 {
		call.Method = http.MethodPost
		call.Path = fmt.Sprintf("/saves/%s-%d", mode, number)
		call.Body = fmt.Sprintf(`{"line":%d,"hearing":"water board"}`, number)
		call.IdempotencyKey = saveKey(mode, number)
		call.Unrepeatable = true
	}
	return call
}

func saveKey(mode string, number int) string { return fmt.Sprintf("%s-save-%d", mode, number) }

// The modes in which a request is sent: through a node or directly to a server.
const (
	modeRouted = "routed"
	modeDirect = "direct"
)

// sendRouted sends a request through one node after another until it succeeds. A
// save keeps its key across attempts, so that it is executed at most once.
func (c *Callers) sendRouted(ctx context.Context, number int) {
	call := c.newCall(modeRouted, number)
	start := time.Now()
	failure := ""
	for attempt := range c.options.MaxAttempts {
		failure = verifyResponse(c.options.Nodes.Pick(number+attempt).Call(ctx, call))(call)
		if failure == "" {
			break
		}
		Sleep(ctx, retryDelay)
	}
	duration := time.Since(start)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	if call.Unrepeatable {
		c.counts.Saves++
	}
	if failure != "" {
		c.counts.Lost++
		c.counts.Errors = append(c.counts.Errors, fmt.Sprintf("request %s: %s", call.Path, failure))
		return
	}
	c.counts.Succeeded++
	if call.Unrepeatable {
		c.savedKeys = append(c.savedKeys, call.IdempotencyKey)
	}
	_ = c.counts.Routed.RecordValue(duration.Microseconds())
}

// sendDirect sends a request directly to a server, chosen round-robin.
func (c *Callers) sendDirect(ctx context.Context, number int) {
	call := c.newCall(modeDirect, number)
	start := time.Now()
	failure := verifyResponse(c.options.Servers[number%len(c.options.Servers)].CallDirect(ctx, call))(call)
	duration := time.Since(start)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.DirectSent++
	if failure != "" {
		c.counts.Errors = append(c.counts.Errors, fmt.Sprintf("direct request %s: %s", call.Path, failure))
		return
	}
	c.counts.DirectSucceeded++
	_ = c.counts.Direct.RecordValue(duration.Microseconds())
}

// verifyResponse returns a function that describes why the response is not the
// complete response to a call, or returns "" if it is.
func verifyResponse(response client.CallResponse, err error) func(client.Call) string {
	return func(call client.Call) string {
		if err != nil {
			return err.Error()
		}
		if response.Status != http.StatusOK {
			return fmt.Sprintf("status %d: %s", response.Status, response.Body)
		}
		var body standin.ServiceResponse
		if err := json.Unmarshal(response.Body, &body); err != nil {
			return "answer is no JSON: " + err.Error()
		}
		digest := sha256.Sum256([]byte(call.Body))
		if body.Path != call.Path || body.Key != call.IdempotencyKey || body.BodyDigest != hex.EncodeToString(digest[:]) {
			return fmt.Sprintf("answer belongs to %s with key %q", body.Path, body.Key)
		}
		return ""
	}
}

// SuccessCount returns the number of successful requests through nodes so far.
func (c *Callers) SuccessCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts.Succeeded
}

// Audit compares the successful saves with the servers' own counts and returns
// the final counts.
func (c *Callers) Audit(ctx context.Context) (RequestCounts, error) {
	executions := map[string]int{}
	for _, server := range c.options.Servers {
		response, err := server.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/counts"})
		if err != nil {
			return RequestCounts{}, eris.Wrap(err, "read the counts of a server")
		}
		var counts map[string]int
		if err := json.Unmarshal(response.Body, &counts); err != nil {
			return RequestCounts{}, eris.Wrap(err, "decode the counts of a server")
		}
		for key, count := range counts {
			executions[key] += count
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if unsent := c.options.Requests - c.counts.Sent; unsent > 0 {
		c.counts.Errors = append(c.counts.Errors, fmt.Sprintf("%d requests were not sent before the time was up", unsent))
	}
	for number := saveInterval - 1; number < c.options.Requests; number += saveInterval {
		c.counts.Duplicated += max(0, executions[saveKey(modeRouted, number)]-1)
	}
	for _, key := range c.savedKeys {
		if executions[key] == 0 {
			c.counts.Errors = append(c.counts.Errors, fmt.Sprintf("save %s was answered and never ran", key))
		}
	}
	slices.Sort(c.counts.Errors)
	return c.counts, nil
}
