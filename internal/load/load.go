// Package load sends requests to a service through running nodes and straight to
// its servers, in turns, and reports what a node adds: latency, processor time
// and allocations. The turns alternate so that other work on the machine burdens
// both alike.
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"dalehook/internal/client"
)

// The bounds of the latency histograms, in microseconds, and their precision in
// decimal digits.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// Options configure a run.
type Options struct {
	// Nodes and Servers are http base URLs. Requests go to them in turn.
	Nodes   []string
	Servers []string
	// Service and Path name what is asked for.
	Service string
	Path    string
	// Concurrency is the number of requests open at once.
	Concurrency int
	// Requests is the number of requests on each way, over all turns.
	Requests int
	// Turns is the number of turns of each way.
	Turns int
	// Unrepeatable sends saves with keys in place of lookups.
	Unrepeatable bool
	// Run tells the keys of two runs apart.
	Run string
	// Deadline bounds one request.
	Deadline time.Duration
}

// Way is what was measured on one way to the servers. Latencies are in
// microseconds.
type Way struct {
	Requests  int     `json:"requests"`
	Failed    int     `json:"failed"`
	PerSecond float64 `json:"per_second"`
	P50       int64   `json:"p50_us"`
	P99       int64   `json:"p99_us"`
	Max       int64   `json:"max_us"`
}

// Report is the outcome of a run.
type Report struct {
	Routed Way `json:"routed"`
	Direct Way `json:"direct"`
	// AddedP50 and AddedP99 are the differences of the quantiles.
	AddedP50 int64 `json:"added_p50_us"`
	AddedP99 int64 `json:"added_p99_us"`
	// CPU is the processor time of all nodes for one routed request, in
	// microseconds, and Allocations their allocations.
	CPU         float64 `json:"node_cpu_us_per_request"`
	Allocations float64 `json:"node_allocations_per_request"`
	// FirstError is the first failure, for people.
	FirstError string `json:"first_error,omitempty"`
}

// runner is one run.
type runner struct {
	options Options
	nodes   []*client.Client
	servers []*client.Client
	// next numbers the requests of the run.
	next       atomic.Int64
	firstError atomic.Pointer[string]
}

// lane collects the measurements of one way.
type lane struct {
	histogram *hdrhistogram.Histogram
	failed    int
	elapsed   time.Duration
}

func newLane() *lane {
	return &lane{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// Run does the run. It returns an error only when the nodes' metrics can't be
// read; failed requests are counted.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &runner{options: options, nodes: clients(options.Nodes), servers: clients(options.Servers)}
	before, err := readUsage(ctx, options.Nodes)
	if err != nil {
		return Report{}, err
	}
	routed, direct := newLane(), newLane()
	share := max(options.Requests/options.Turns, 1)
	for range options.Turns {
		r.turn(ctx, share, routed, r.throughNode)
		r.turn(ctx, share, direct, r.straight)
	}
	after, err := readUsage(ctx, options.Nodes)
	if err != nil {
		return Report{}, err
	}
	return r.report(routed, direct, after.minus(before)), nil
}

func clients(addresses []string) []*client.Client {
	made := make([]*client.Client, 0, len(addresses))
	for _, address := range addresses {
		made = append(made, client.New(client.Options{Node: address}))
	}
	return made
}

// turn sends a number of requests one way, Concurrency at once.
func (r *runner) turn(ctx context.Context, requests int, into *lane, send func(ctx context.Context, number int64) error) {
	latencies := make([]time.Duration, requests)
	failures := make([]bool, requests)
	var taken atomic.Int64
	workers := pool.New().WithMaxGoroutines(r.options.Concurrency)
	began := time.Now()
	for range r.options.Concurrency {
		workers.Go(func() {
			for {
				index := int(taken.Add(1)) - 1
				if index >= requests {
					return
				}
				started := time.Now()
				err := send(ctx, r.next.Add(1))
				latencies[index] = time.Since(started)
				failures[index] = err != nil
				r.note(err)
			}
		})
	}
	workers.Wait()
	into.elapsed += time.Since(began)
	for index, latency := range latencies {
		if failures[index] {
			into.failed++
			continue
		}
		_ = into.histogram.RecordValue(min(latency.Microseconds(), highestLatency))
	}
}

func (r *runner) note(err error) {
	if err == nil {
		return
	}
	text := err.Error()
	r.firstError.CompareAndSwap(nil, &text)
}

func (r *runner) throughNode(ctx context.Context, number int64) error {
	answer, err := r.nodes[int(number)%len(r.nodes)].Call(ctx, r.call(number))
	return check(answer, err)
}

func (r *runner) straight(ctx context.Context, number int64) error {
	answer, err := r.servers[int(number)%len(r.servers)].CallDirect(ctx, r.call(number))
	return check(answer, err)
}

// call makes the request of a number.
func (r *runner) call(number int64) client.Call {
	call := client.Call{Method: http.MethodGet, Service: r.options.Service, Path: r.options.Path, Deadline: r.options.Deadline}
	if r.options.Unrepeatable {
		call.Method = http.MethodPost
		call.Body = "saved"
		call.IdempotencyKey = fmt.Sprintf("load-%s-%d", r.options.Run, number)
		call.Unrepeatable = true
	}
	return call
}

func check(answer client.CallResponse, err error) error {
	if err == nil && answer.Status != http.StatusOK {
		return eris.Errorf("status %d: %s", answer.Status, answer.Body)
	}
	return err
}

func (r *runner) report(routed, direct *lane, used usage) Report {
	report := Report{Routed: routed.way(), Direct: direct.way()}
	report.AddedP50 = report.Routed.P50 - report.Direct.P50
	report.AddedP99 = report.Routed.P99 - report.Direct.P99
	if count := float64(report.Routed.Requests); count > 0 {
		report.CPU = used.cpuSeconds * float64(time.Second/time.Microsecond) / count
		report.Allocations = used.allocations / count
	}
	if first := r.firstError.Load(); first != nil {
		report.FirstError = *first
	}
	return report
}

func (l *lane) way() Way {
	count := int(l.histogram.TotalCount())
	return Way{
		Requests: count + l.failed, Failed: l.failed,
		PerSecond: float64(count) / l.elapsed.Seconds(),
		P50:       l.histogram.ValueAtQuantile(50), P99: l.histogram.ValueAtQuantile(99), Max: l.histogram.Max(),
	}
}
