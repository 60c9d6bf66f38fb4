package record_test

import (
	"fmt"
	"strings"
	"testing"

	"dalehook/internal/cluster"
	"dalehook/internal/record"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

func stepBody(samples int, digest string) record.StepBody {
	body := record.StepBody{Step: "s1", Digest: digest}
	for i := range samples {
		body.Samples = append(body.Samples, record.Sample{ID: fmt.Sprint(i)})
	}
	return body
}

func claim(holder string, supersedes record.Epoch) record.LeaseClaimed {
	return record.LeaseClaimed{Duty: record.DutyStep, Holder: cluster.NodeID(holder), Supersedes: supersedes}
}

func commit(epoch record.Epoch, attempt int, samples ...int) record.SamplesCommitted {
	body := record.SamplesCommitted{Epoch: epoch}
	for _, sample := range samples {
		body.Results = append(body.Results, record.Result{Sample: sample, Attempt: attempt, Text: "t"})
	}
	return body
}

func TestStepTrace(t *testing.T) {
	place := func(epoch record.Epoch, sample, attempt int, engine string) record.SamplesPlaced {
		return record.SamplesPlaced{Epoch: epoch, Placements: []record.Placement{{Sample: sample, Attempt: attempt, Engine: cluster.BackendID(engine)}}}
	}
	fail := func(epoch record.Epoch, sample int) record.SamplesFailed {
		return record.SamplesFailed{Epoch: epoch, Failures: []record.SampleFailure{{Sample: sample, Code: "deadline_exceeded"}}}
	}
	log := entries(
		body(claim("a", 0)),
		body(place(1, 0, 1, "e1")),
		body(stepBody(4, "x")),
		body(stepBody(4, "x")),
		body(stepBody(4, "y")),
		body(claim("b", 0)),
		body(place(1, 0, 1, "e1")),
		body(place(1, 1, 2, "e1")),
		body(place(1, 1, 1, "e2")),
		body(commit(1, 1, 0)),
		body(commit(1, 2, 0)),
		body(commit(1, 1, 0, 2)),
		body(claim("b", 1)),
		body(commit(1, 1, 1)),
		body(record.SamplesRevoked{Epoch: 13, Samples: []int{0, 3, 9}, Newest: 7}),
		body(commit(13, 1, 0)),
		body(commit(13, 2, 0)),
		body(fail(13, 0)),
		body(fail(13, 3)),
		body(commit(13, 1, 3)),
		body(record.SamplesRevoked{Epoch: 13, Samples: []int{3}}),
		body(place(13, 0, 3, "e1")),
		body(record.SamplesCommitted{Epoch: 13}),
		body(record.VersionAnnounced{Model: "m", Version: 1}),
		record.Record{ID: "r13", Body: claim("c", 13)},
		body(record.Unknown{Kind: "later"}),
	)
	step := record.NewStep()
	var trace strings.Builder
	for _, entry := range log {
		change := step.Apply(entry)
		fmt.Fprintf(&trace, "%2d %-17s valid=%v repeated=%v reason=%s winner=%q at %d applied=%v void=%v | epoch=%d holder=%s placements=%v\n",
			entry.Offset, record.Kind(entry.Record.Body), change.Valid, change.Repeated, change.Reason, change.Winner,
			change.WinnerOffset, change.Applied, change.Void, step.Epoch(), step.Holder(), step.Placements())
	}
	for sample := range 4 {
		result, offset, committed := step.Committed(sample)
		attempt, revoked := step.Revoked(sample)
		failure, failedAt, failed := step.Failed(sample)
		fmt.Fprintf(&trace, "sample %d: committed=%v attempt=%d at %d; revoked=%v up to %d; failed=%v %s at %d\n",
			sample, committed, result.Attempt, offset, revoked, attempt, failed, failure.Code, failedAt)
	}
	goldie.New(t).Assert(t, "step_trace", []byte(trace.String()))
}

// drawStep draws a record of a step's log.
func drawStep(t *rapid.T, step *record.Step) record.Record {
	epoch := step.Epoch()
	if rapid.IntRange(0, 3).Draw(t, "old epoch") == 0 {
		epoch = record.Epoch(rapid.Uint64Range(0, step.Offset()).Draw(t, "epoch"))
	}
	sample := rapid.IntRange(0, 3).Draw(t, "sample")
	attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
	bodies := []any{
		stepBody(3, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "digest")),
		claim(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder"), epoch),
		commit(epoch, attempt, sample, rapid.IntRange(0, 2).Draw(t, "second")),
		record.SamplesRevoked{Epoch: epoch, Samples: []int{sample}},
		record.SamplesFailed{Epoch: epoch, Failures: []record.SampleFailure{{Sample: sample}}},
		record.SamplesPlaced{Epoch: epoch, Placements: []record.Placement{{Sample: sample, Attempt: attempt}}},
	}
	id := record.ID(fmt.Sprintf("r%d", rapid.Uint64Range(0, step.Offset()*4+4).Draw(t, "id")))
	return record.Record{ID: id, Body: rapid.SampledFrom(bodies).Draw(t, "record")}
}

// sampleView is all that readers say about one sample.
type sampleView struct {
	Result    record.Result
	Committed bool
	Offset    uint64
	Failed    bool
	Revoked   bool
	Attempt   int
}

func viewOf(step *record.Step, sample int) sampleView {
	var view sampleView
	view.Result, view.Offset, view.Committed = step.Committed(sample)
	_, _, view.Failed = step.Failed(sample)
	view.Attempt, view.Revoked = step.Revoked(sample)
	return view
}

func TestStepSampleHasOneResultUntilRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step, again := record.NewStep(), record.NewStep()
		for i := range rapid.IntRange(1, 60).Draw(t, "length") {
			entry := record.Entry{Offset: uint64(i + 1), Record: drawStep(t, step)}
			epoch := step.Epoch()
			var before [3]sampleView
			for sample := range before {
				before[sample] = viewOf(step, sample)
			}
			change := step.Apply(entry)
			if diff := cmp.Diff(change, again.Apply(entry)); diff != "" {
				t.Fatalf("two folds differ:\n%s", diff)
			}
			for sample := range before {
				checkSample(t, entry, epoch, before[sample], viewOf(step, sample))
			}
			again.Apply(entry)
		}
	})
}

// checkSample states the rules of one sample from one record to the next.
func checkSample(t *rapid.T, entry record.Entry, epoch record.Epoch, before, after sampleView) {
	_, isRevoke := entry.Record.Body.(record.SamplesRevoked)
	committed, isCommit := entry.Record.Body.(record.SamplesCommitted)
	switch {
	case before.Committed && after.Offset != before.Offset && !isRevoke:
		t.Fatalf("offset %d: a result in force changed without a revocation", entry.Offset)
	case before.Failed && !after.Failed, after.Failed && after.Committed:
		t.Fatalf("offset %d: a final error is not final", entry.Offset)
	case !before.Committed && after.Committed && !isCommit:
		t.Fatalf("offset %d: a result came without a commit", entry.Offset)
	case !before.Committed && after.Committed && committed.Epoch != epoch:
		t.Fatalf("offset %d: committed under epoch %d, in force %d", entry.Offset, committed.Epoch, epoch)
	case after.Committed && after.Revoked && after.Result.Attempt <= after.Attempt:
		t.Fatalf("offset %d: revoked attempt %d came back", entry.Offset, after.Result.Attempt)
	}
}
