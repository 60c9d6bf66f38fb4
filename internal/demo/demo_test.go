package demo

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"dalehook/internal/traffic"
)

func newTestResult() Result {
	histogram := func(milliseconds int64) *hdrhistogram.Histogram {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		_ = h.RecordValue(milliseconds * 1000)
		return h
	}
	return newResult(
		traffic.SampleCounts{Steps: 2, Samples: 8, Delivered: 8},
		traffic.RequestCounts{Sent: 4, Saves: 1, Succeeded: 4, DirectSent: 4, DirectSucceeded: 4, Routed: histogram(16), Direct: histogram(15)},
		12*time.Second,
	)
}

func TestResultWritesTableAndJSONLine(t *testing.T) {
	var out bytes.Buffer
	if err := newTestResult().Write(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "result", out.Bytes())

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var fields map[string]float64
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &fields); err != nil {
		t.Fatalf("last line is not JSON: %v", err)
	}
	want := []string{"delivered", "direct_p50_ms", "direct_p99_ms", "duplicated", "lost", "p50_ms", "p99_ms", "requests", "samples", "stale", "steps"}
	if diff := cmp.Diff(want, slices.Sorted(maps.Keys(fields))); diff != "" {
		t.Errorf("fields of the JSON line differ (-want +got):\n%s", diff)
	}
}

func TestResultPassedRequiresNoErrors(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Result)
		want   bool
	}{
		{"nothing", func(*Result) {}, true},
		{"lost", func(r *Result) { r.Lost = 1 }, false},
		{"duplicated", func(r *Result) { r.Duplicated = 1 }, false},
		{"stale", func(r *Result) { r.Stale = 1 }, false},
		{"invalid sample", func(r *Result) { r.sampleCounts.Errors = []string{"text"} }, false},
		{"ended early", func(r *Result) { r.runErrors = []string{"time"} }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := newTestResult()
			test.change(&result)
			if got := result.Passed(); got != test.want {
				t.Errorf("passed is %v, want %v", got, test.want)
			}
		})
	}
}

// TestRun runs a small demo. The demo's timeout is long enough that only the test
// timeout applies.
func TestRun(t *testing.T) {
	options := DefaultOptions()
	options.Engines = 3
	options.Servers = 2
	options.Requests = 200
	options.Callers = 4
	options.Versions = 2
	options.VersionInterval = 500 * time.Millisecond
	options.Timeout = 10 * time.Minute
	options.Workloads = []traffic.Workload{
		{Trainer: "captions", Steps: 2, StepInterval: time.Minute, SamplesPerStep: 16, MinTokens: 16, MinLongTokens: 60, MaxTokens: 80, LongSampleInterval: 8, StalenessBound: 1},
	}
	result, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if !result.Passed() || result.Delivered != 32 || result.Requests != 200 {
		t.Errorf("result %+v with errors %v", result, result.Errors())
	}
}
