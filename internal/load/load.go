// Package load benchmarks the overhead of nodes. It sends requests to a service
// through running nodes and directly to its servers, and reports the latency, CPU
// time and allocations that the nodes add. Routed and direct requests alternate in
// turns, so that other load on the machine affects both alike.
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

// The bounds and the precision of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// Options configure a benchmark run.
type Options struct {
	// Nodes and Servers are HTTP base URLs. Requests are distributed round-robin.
	Nodes   []string
	Servers []string
	// Service and Path are the service and the path of requests.
	Service string
	Path    string
	// Concurrency is the number of concurrent requests.
	Concurrency int
	// Requests is the total number of routed requests, and that of direct ones.
	Requests int
	// Turns is the number of turns of routed requests, and that of direct ones.
	Turns int
	// Unrepeatable sends saves with keys instead of lookups.
	Unrepeatable bool
	// RunID makes the keys of different runs distinct.
	RunID string
	// Deadline bounds each request.
	Deadline time.Duration
}

// Stats are the measurements of routed or direct requests.
type Stats struct {
	Requests  int     `json:"requests"`
	Failed    int     `json:"failed"`
	PerSecond float64 `json:"per_second"`
	P50Micros int64   `json:"p50_us"`
	P99Micros int64   `json:"p99_us"`
	MaxMicros int64   `json:"max_us"`
}

// Report is the result of a run.
type Report struct {
	Routed Stats `json:"routed"`
	Direct Stats `json:"direct"`
	// AddedP50Micros and AddedP99Micros are the differences between the routed and
	// the direct percentiles.
	AddedP50Micros int64 `json:"added_p50_us"`
	AddedP99Micros int64 `json:"added_p99_us"`
	// CPUMicrosPerRequest and AllocationsPerRequest are the CPU time and the heap
	// allocations of all nodes per successful or failed routed request.
	CPUMicrosPerRequest   float64 `json:"node_cpu_us_per_request"`
	AllocationsPerRequest float64 `json:"node_allocations_per_request"`
	// FirstError is the text of the first error.
	FirstError string `json:"first_error,omitempty"`
}

// runner is the state of a run.
type runner struct {
	options Options
	nodes   []*client.Client
	servers []*client.Client
	// lastNumber is the number of the last request sent in the run.
	lastNumber atomic.Int64
	firstError atomic.Pointer[string]
}

// recorder collects the measurements of routed or direct requests.
type recorder struct {
	histogram *hdrhistogram.Histogram
	failed    int
	elapsed   time.Duration
}

func newRecorder() *recorder {
	return &recorder{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

// Run executes a benchmark run. It returns an error only if the nodes' metrics
// can't be read; failed requests are counted in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &runner{options: options, nodes: newClients(options.Nodes), servers: newClients(options.Servers)}
	before, err := readUsage(ctx, options.Nodes)
	if err != nil {
		return Report{}, err
	}
	routed, direct := newRecorder(), newRecorder()
	requestsPerTurn := max(options.Requests/options.Turns, 1)
	for range options.Turns {
		r.runTurn(ctx, requestsPerTurn, routed, r.sendRouted)
		r.runTurn(ctx, requestsPerTurn, direct, r.sendDirect)
	}
	after, err := readUsage(ctx, options.Nodes)
	if err != nil {
		return Report{}, err
	}
	return r.report(routed, direct, after.sub(before)), nil
}

func newClients(addresses []string) []*client.Client {
	made := make([]*client.Client, 0, len(addresses))
	for _, address := range addresses {
		made = append(made, client.New(client.Options{Node: address}))
	}
	return made
}

// runTurn sends a number of requests with the send function, Concurrency at once.
func (r *runner) runTurn(ctx context.Context, requests int, recorder *recorder, send func(ctx context.Context, number int64) error) {
	latencies := make([]time.Duration, requests)
	failures := make([]bool, requests)
	var claimed atomic.Int64
	workers := pool.New().WithMaxGoroutines(r.options.Concurrency)
	started := time.Now()
	for range r.options.Concurrency {
		workers.Go(func() {
			for {
				index := int(claimed.Add(1)) - 1
				if index >= requests {
					return
				}
				sentAt := time.Now()
				err := send(ctx, r.lastNumber.Add(1))
				latencies[index] = time.Since(sentAt)
				failures[index] = err != nil
				r.recordError(err)
			}
		})
	}
	workers.Wait()
	recorder.elapsed += time.Since(started)
	for index, latency := range latencies {
		if failures[index] {
			recorder.failed++
			continue
		}
		_ = recorder.histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
}

func (r *runner) recordError(err error) {
	if err == nil {
		return
	}
	text := err.Error()
	r.firstError.CompareAndSwap(nil, &text)
}

func (r *runner) sendRouted(ctx context.Context, number int64) error {
	response, err := r.nodes[int(number)%len(r.nodes)].Call(ctx, r.newCall(number))
	return checkResponse(response, err)
}

func (r *runner) sendDirect(ctx context.Context, number int64) error {
	response, err := r.servers[int(number)%len(r.servers)].CallDirect(ctx, r.newCall(number))
	return checkResponse(response, err)
}

// newCall returns the request with a number.
func (r *runner) newCall(number int64) client.Call {
	call := client.Call{Method: http.MethodGet, Service: r.options.Service, Path: r.options.Path, Deadline: r.options.Deadline}
	if r.options.Unrepeatable {
		call.Method = http.MethodPost
		call.Body = "saved"
		call.IdempotencyKey = fmt.Sprintf("load-%s-%d", r.options.RunID, number)
		call.Unrepeatable = true
	}
	return call
}

func checkResponse(response client.CallResponse, err error) error {
	if err == nil && response.Status != http.StatusOK {
		return eris.Errorf("status %d: %s", response.Status, response.Body)
	}
	return err
}

func (r *runner) report(routed, direct *recorder, used processUsage) Report {
	report := Report{Routed: routed.stats(), Direct: direct.stats()}
	report.AddedP50Micros = report.Routed.P50Micros - report.Direct.P50Micros
	report.AddedP99Micros = report.Routed.P99Micros - report.Direct.P99Micros
	if count := float64(report.Routed.Requests); count > 0 {
		report.CPUMicrosPerRequest = used.cpuSeconds * float64(time.Second/time.Microsecond) / count
		report.AllocationsPerRequest = used.allocations / count
	}
	if first := r.firstError.Load(); first != nil {
		report.FirstError = *first
	}
	return report
}

func (r *recorder) stats() Stats {
	succeeded := int(r.histogram.TotalCount())
	return Stats{
		Requests: succeeded + r.failed, Failed: r.failed,
		PerSecond: float64(succeeded) / r.elapsed.Seconds(),
		P50Micros: r.histogram.ValueAtQuantile(50), P99Micros: r.histogram.ValueAtQuantile(99), MaxMicros: r.histogram.Max(),
	}
}
