package api

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// goodStep is the body of a step that the API takes.
const goodStep = `{"event":"exam","trainer":"marking","step":"exam.7","samples":[{"id":"a/1","prompt":"<p>","max_tokens":9,"group":"g"}],"deadline_ms":60000}`

// answers maps inputs to the replies of a scripted machine.
func answers(h *Handler, in machine.Input) {
	var reply machine.Reply
	switch in := in.(type) {
	case machine.PostStep:
		reply = machine.Reply{Call: in.Call, Body: machine.StepAccepted{Step: in.Body.Step, Accepted: len(in.Body.Samples)}}
	case machine.ReadSamples:
		reply = machine.Reply{Call: in.Call, Body: readAnswer(in)}
	case machine.PostPlan:
		reply = machine.Reply{Call: in.Call, Body: machine.PlanMade{Plan: record.Plan{Digest: "abc", Base: 4, Event: in.Event}}}
	case machine.GetPlan:
		reply = machine.Reply{Call: in.Call, Body: "not a reply"}
	case machine.ConfirmPlan:
		reply = machine.Reply{Call: in.Call, Body: machine.PlanInForce{Digest: in.Digest, Revision: in.Revision + 1}}
	case machine.GetStatus:
		reply = machine.Reply{Call: in.Call, Body: machine.StatusReport{Node: cluster.Node{ID: "node-1"}, Revision: 3}}
	case machine.ServiceCall:
		reply = machine.Reply{Call: in.Call, Body: serviceAnswer(in)}
	default:
		return
	}
	h.Reply(reply)
}

// readAnswer answers a read by the cursor that it presents.
func readAnswer(read machine.ReadSamples) any {
	switch read.After {
	case "":
		return machine.SamplesRead{Cursor: "c0"}
	case "c0":
		return machine.SamplesRead{Cursor: "c1", Done: true, Samples: []machine.SampleView{
			{ID: "a/1", Cursor: "c1", Attempt: 2, Text: "<é>", Versions: []record.Segment{{Version: 7, ToToken: 3}}},
			{ID: "a/2", Cursor: "c1", Error: &record.SampleFailure{Sample: 1, Code: "shed", Message: "m"}},
		}}
	}
	return machine.Failure{Status: http.StatusBadRequest, Code: machine.CodeBadCursor, Message: "no cursor of this step", Field: "after", NotRun: true}
}

// serviceAnswer answers a request to a service by its name.
func serviceAnswer(call machine.ServiceCall) any {
	switch call.Service {
	case "replayed":
		return machine.ServiceResponse{Replayed: true, Response: machine.Response{
			Status: http.StatusCreated,
			Headers: []machine.Header{
				{Name: "X-Mark", Value: "5"},
				{Name: "Content-Type", Value: "text/plain"},
			},
			Body: []byte("saved"),
		}}
	case "shed":
		return machine.Failure{Status: http.StatusServiceUnavailable, Code: machine.CodeShed, Message: "shed", Peer: "exam-2", NotRun: true, RetryAfter: 1001 * time.Millisecond}
	case "busy":
		return machine.Failure{Status: http.StatusTooManyRequests, Code: machine.CodeOverloaded, Message: "busy", NotRun: true}
	case "unknown":
		return machine.Failure{Status: http.StatusServiceUnavailable, Code: machine.CodeOutcomeUnknown, Message: "unknown"}
	}
	return machine.Failure{Code: machine.CodeInternal, Message: "no status"}
}

func TestReplies(t *testing.T) {
	s := newScript(t, Limits{}, answers)
	assertGolden(t, s, "replies", []httpCall{
		post("step accepted", "/v1/steps", goodStep),
		get("no samples yet", "/v1/steps/exam.7/samples?wait_ms=0"),
		get("samples", "/v1/steps/exam.7/samples?after=c0&version=8"),
		get("cursor refused by the machine", "/v1/steps/exam.7/samples?after=zz"),
		post("plan", "/v1/plans", `{"name":"exam","start":"2026-01-05T09:00:00Z","duration":"2h"}`),
		post("plan confirmed", "/v1/plans/abc/confirm", `{"revision":4,"operator":"o","plan":{"digest":"abc"}}`),
		get("unknown reply", "/v1/plans/abc"),
		get("status", "/v1/status"),
		get("replayed answer", "/v1/services/replayed/x"),
		get("refusal with a time, rounded up", "/v1/services/shed/x"),
		get("refusal without a time", "/v1/services/busy/x"),
		get("outcome unknown is no refusal", "/v1/services/unknown/x"),
		get("failure without a status", "/v1/services/none/x"),
		get("health", "/healthz"),
		get("readiness", "/readyz"),
	})
	s.leaving = true
	assertGolden(t, s, "leaving", []httpCall{
		get("readiness while leaving", "/readyz"),
		get("health while leaving", "/healthz"),
		get("a call while leaving is still served", "/v1/services/replayed/x"),
	})
}

func TestStepInput(t *testing.T) {
	s := newScript(t, Limits{}, answers)
	digests := map[string]string{}
	for name, body := range map[string]string{
		"posted":           goodStep,
		"other spacing":    " " + goodStep + "\n",
		"other prompt":     sample(`"id":"a","prompt":"q","max_tokens":1`),
		"prompt and group": sample(`"id":"a","prompt":"qg","max_tokens":1`),
		"group":            sample(`"id":"a","prompt":"q","max_tokens":1,"group":"g"`),
		"deadline":         step(`"samples":[{"id":"a","prompt":"q","max_tokens":1}],"deadline_ms":1`),
	} {
		post(name, "/v1/steps", body).do(t, s)
		digests[name] = next[machine.PostStep](s).Body.Digest
	}
	if digests["posted"] != digests["other spacing"] {
		t.Error("the digest depends on the spacing of the JSON text")
	}
	distinct := map[string]bool{}
	for _, digest := range digests {
		distinct[digest] = true
	}
	if len(distinct) != len(digests)-1 {
		t.Errorf("two different steps have one digest: %v", digests)
	}
}

// A step that no log takes must be refused rather than accepted in form.
func TestStepLargerThanARecord(t *testing.T) {
	for size, fits := range map[int]bool{record.MaxRecordBytes - 600: true, record.MaxRecordBytes - 100: false} {
		posted := postedStep{Event: "e", Trainer: "t", Step: "s", Samples: []record.Sample{
			{ID: "a", Prompt: strings.Repeat("a", size), MaxTokens: 1},
		}}
		_, failure := posted.check(time.Now())
		if (failure == nil) != fits || (failure != nil && failure.Code != machine.CodeTooLarge) {
			t.Errorf("a prompt of %d bytes: got %v", size, failure)
		}
	}
}

func TestReadInput(t *testing.T) {
	s := newScript(t, Limits{MaxWait: time.Second}, answers)
	get("", "/v1/steps/exam.7/samples?after=a%2Bb&wait_ms=9000&version=8").do(t, s)
	got := next[machine.ReadSamples](s)
	want := machine.ReadSamples{Call: got.Call, Step: "exam.7", After: "a+b", Wait: time.Second, Version: 8}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestServiceInput(t *testing.T) {
	s := newScript(t, Limits{}, answers)
	call := post("", "/v1/services/replayed/save/a%2Fb?q=1", "essay")
	call.headers = map[string]string{"Idempotency-Key": "k", "Dalehook-Repeatable": "No"}
	call.do(t, s)
	first := next[machine.ServiceCall](s)
	if first.Key != "k" || !first.Unrepeatable || first.Digest == "" || first.Method != http.MethodPost {
		t.Errorf("got %+v", first)
	}
	call.body = "essaz"
	call.do(t, s)
	if second := next[machine.ServiceCall](s); second.Digest == first.Digest {
		t.Error("two bodies have one digest")
	}
}

func TestOpenCallsAreBounded(t *testing.T) {
	s := newScript(t, Limits{OpenCalls: 1}, nil)
	held := make(chan string)
	go func() { held <- get("", "/v1/status").do(t, s) }()
	waiting := next[machine.GetStatus](s)
	assertGolden(t, s, "overloaded", []httpCall{get("one call too many", "/v1/status")})
	s.handler.Reply(machine.Reply{Call: waiting.Call, Body: machine.StatusReport{}})
	<-held
	s.handler.Close()
	assertGolden(t, s, "stopped", []httpCall{get("after the stop", "/v1/status")})
}

func TestCloseFailsOpenCalls(t *testing.T) {
	s := newScript(t, Limits{}, nil)
	held := make(chan string)
	go func() { held <- get("", "/v1/status").do(t, s) }()
	next[machine.GetStatus](s)
	s.handler.Close()
	want := "503\nContent-Type: application/json\n" +
		`{"error":{"code":"outcome_unknown","message":"the node stopped before the answer was known","step":"","peer":"node-1","not_run":false,"retry_after_ms":0}}` + "\n"
	if got := <-held; got != want {
		t.Errorf("got %s", got)
	}
}
