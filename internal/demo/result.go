package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"dalehook/internal/traffic"
)

// maxPrintedErrors is the maximum number of errors that Write prints.
const maxPrintedErrors = 20

// Result holds the counts of a demo run. Its JSON encoding is a stable interface.
type Result struct {
	Steps     int `json:"steps"`
	Samples   int `json:"samples"`
	Delivered int `json:"delivered"`
	// Lost counts undelivered samples and requests without a complete response.
	Lost int `json:"lost"`
	// Duplicated counts repeated deliveries of samples and repeated executions of
	// saves.
	Duplicated int `json:"duplicated"`
	Stale      int `json:"stale"`
	// Requests counts the lookups and saves sent through nodes.
	Requests int `json:"requests"`
	// P50 and P99 are latency percentiles of routed requests in milliseconds.
	// DirectP50 and DirectP99 are those of the same requests sent directly to the
	// same servers.
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`

	sampleCounts  traffic.SampleCounts
	requestCounts traffic.RequestCounts
	duration      time.Duration
	// runErrors holds the errors that ended the run early.
	runErrors []string
}

// Passed reports whether nothing was lost, duplicated or stale and no error
// occurred.
func (r Result) Passed() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.Stale == 0 && len(r.Errors()) == 0
}

// Errors returns one line for each error.
func (r Result) Errors() []string {
	return slices.Concat(r.runErrors, r.sampleCounts.Errors, r.requestCounts.Errors)
}

// newResult combines the counts of trainers and callers.
func newResult(samples traffic.SampleCounts, requests traffic.RequestCounts, duration time.Duration) Result {
	return Result{
		Steps:         samples.Steps,
		Samples:       samples.Samples,
		Delivered:     samples.Delivered,
		Lost:          samples.Lost + requests.Lost,
		Duplicated:    samples.Duplicated + requests.Duplicated,
		Stale:         samples.Stale,
		Requests:      requests.Sent,
		P50:           percentileMillis(requests.Routed, 50),
		P99:           percentileMillis(requests.Routed, 99),
		DirectP50:     percentileMillis(requests.Direct, 50),
		DirectP99:     percentileMillis(requests.Direct, 99),
		sampleCounts:  samples,
		requestCounts: requests,
		duration:      duration,
	}
}

// percentileMillis returns a percentile of a histogram of microseconds in
// milliseconds.
func percentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	const microsecondsPerMillisecond = 1000
	return float64(histogram.ValueAtPercentile(percentile)) / microsecondsPerMillisecond
}

// Write prints the table and then the JSON line.
func (r Result) Write(out io.Writer) error {
	errors := r.Errors()
	for _, text := range errors[:min(len(errors), maxPrintedErrors)] {
		fmt.Fprintln(out, text)
	}
	if len(errors) > maxPrintedErrors {
		fmt.Fprintf(out, "and %d more\n", len(errors)-maxPrintedErrors)
	}
	writer := table.NewWriter()
	writer.SetTitle("Counted by trainers, callers and servers")
	writer.AppendHeader(table.Row{"", "sent", "received", "lost", "doubled", "stale", "p50 ms", "p99 ms"})
	writer.AppendRow(table.Row{"samples", r.sampleCounts.Samples, r.sampleCounts.Delivered, r.sampleCounts.Lost, r.sampleCounts.Duplicated, r.sampleCounts.Stale, "", ""})
	writer.AppendRow(table.Row{"requests through nodes", r.requestCounts.Sent, r.requestCounts.Succeeded, r.requestCounts.Lost, r.requestCounts.Duplicated, "", r.P50, r.P99})
	writer.AppendRow(table.Row{"the same sent direct", r.requestCounts.DirectSent, r.requestCounts.DirectSucceeded, r.requestCounts.DirectSent - r.requestCounts.DirectSucceeded, "", "", r.DirectP50, r.DirectP99})
	writer.SetCaption("%d steps in %s; %d of the requests were saves.", r.Steps, r.duration.Round(time.Millisecond), r.requestCounts.Saves)
	fmt.Fprintln(out, writer.Render())
	if err := json.NewEncoder(out).Encode(r); err != nil {
		return eris.Wrap(err, "write the result")
	}
	return nil
}
