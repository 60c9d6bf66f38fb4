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

// printedFaults is the number of faults that Write prints.
const printedFaults = 20

// Result is what a run of the demo counted. Its JSON form is part of the fixed
// interface.
type Result struct {
	Steps     int `json:"steps"`
	Samples   int `json:"samples"`
	Delivered int `json:"delivered"`
	// Lost counts samples that were not delivered and requests without a whole
	// answer.
	Lost int `json:"lost"`
	// Duplicated counts samples delivered and saves run more than once.
	Duplicated int `json:"duplicated"`
	Stale      int `json:"stale"`
	// Requests counts the lookups and saves sent through nodes.
	Requests int `json:"requests"`
	// The percentiles are in milliseconds; the direct ones are those of the same
	// requests sent straight to the same servers.
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`

	bySample  traffic.SampleCounts
	byRequest traffic.RequestCounts
	took      time.Duration
	// errors says why the work ended early.
	errors []string
}

// Clean reports whether nothing was lost, doubled, stale or otherwise wrong.
func (r Result) Clean() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.Stale == 0 && len(r.Faults()) == 0
}

// Faults says what else was wrong, a line each.
func (r Result) Faults() []string {
	return slices.Concat(r.errors, r.bySample.Errors, r.byRequest.Errors)
}

// newResult sums up the counts of trainers and callers.
func newResult(samples traffic.SampleCounts, requests traffic.RequestCounts, took time.Duration) Result {
	return Result{
		Steps:      samples.Steps,
		Samples:    samples.Samples,
		Delivered:  samples.Delivered,
		Lost:       samples.Lost + requests.Lost,
		Duplicated: samples.Duplicated + requests.Duplicated,
		Stale:      samples.Stale,
		Requests:   requests.Sent,
		P50:        milliseconds(requests.Routed, 50),
		P99:        milliseconds(requests.Routed, 99),
		DirectP50:  milliseconds(requests.Direct, 50),
		DirectP99:  milliseconds(requests.Direct, 99),
		bySample:   samples,
		byRequest:  requests,
		took:       took,
	}
}

// milliseconds reads a percentile of a histogram that counts microseconds.
func milliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	const microsecondsPerMillisecond = 1000
	return float64(histogram.ValueAtPercentile(percentile)) / microsecondsPerMillisecond
}

// Write prints the table and then the JSON line.
func (r Result) Write(out io.Writer) error {
	faults := r.Faults()
	for _, fault := range faults[:min(len(faults), printedFaults)] {
		fmt.Fprintln(out, fault)
	}
	if len(faults) > printedFaults {
		fmt.Fprintf(out, "and %d more\n", len(faults)-printedFaults)
	}
	writer := table.NewWriter()
	writer.SetTitle("Counted by trainers, callers and servers")
	writer.AppendHeader(table.Row{"", "sent", "received", "lost", "doubled", "stale", "p50 ms", "p99 ms"})
	writer.AppendRow(table.Row{"samples", r.bySample.Samples, r.bySample.Delivered, r.bySample.Lost, r.bySample.Duplicated, r.bySample.Stale, "", ""})
	writer.AppendRow(table.Row{"requests through nodes", r.byRequest.Sent, r.byRequest.Succeeded, r.byRequest.Lost, r.byRequest.Duplicated, "", r.P50, r.P99})
	writer.AppendRow(table.Row{"the same sent direct", r.byRequest.DirectSent, r.byRequest.DirectSucceeded, r.byRequest.DirectSent - r.byRequest.DirectSucceeded, "", "", r.DirectP50, r.DirectP99})
	writer.SetCaption("%d steps in %s; %d of the requests were saves.", r.Steps, r.took.Round(time.Millisecond), r.byRequest.Saves)
	fmt.Fprintln(out, writer.Render())
	if err := json.NewEncoder(out).Encode(r); err != nil {
		return eris.Wrap(err, "write the result")
	}
	return nil
}
