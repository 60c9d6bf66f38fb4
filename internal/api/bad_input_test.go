package api

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// httpCall is one HTTP call of a table test.
type httpCall struct {
	name    string
	method  string
	target  string
	headers map[string]string
	body    string
}

// do runs the call and returns the answer as text: status, the headers that
// matter, body.
func (c httpCall) do(t *testing.T, s *script) string {
	t.Helper()
	request, err := http.NewRequest(c.method, s.server.URL+c.target, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := s.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%d\n", response.StatusCode)
	for _, name := range []string{"Content-Type", "Retry-After", "Dalehook-Replayed", "X-Mark"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	if response.Close {
		text.WriteString("Connection: close\n")
	}
	text.Write(body)
	return text.String()
}

// assertGolden runs calls and compares all answers with one golden file.
func assertGolden(t *testing.T, s *script, golden string, calls []httpCall) {
	t.Helper()
	var all bytes.Buffer
	for _, call := range calls {
		fmt.Fprintf(&all, "== %s\n%s\n", call.name, call.do(t, s))
	}
	goldie.New(t).Assert(t, golden, all.Bytes())
}

// post returns a call with a JSON body.
func post(name, target, body string) httpCall {
	return httpCall{name: name, method: http.MethodPost, target: target, body: body}
}

// get returns a call without a body.
func get(name, target string) httpCall {
	return httpCall{name: name, method: http.MethodGet, target: target}
}

// service returns a call of a service with one header.
func service(name, header, value string) httpCall {
	call := post(name, "/v1/services/exam/save", "x")
	call.headers = map[string]string{header: value}
	return call
}

// step returns the body of a step with the fields given in place of good ones.
func step(fields string) string {
	if strings.Contains(fields, `"samples"`) {
		return `{"event":"e","trainer":"t","step":"s1",` + fields + `}`
	}
	return `{"event":"e","trainer":"t","step":"s1","samples":[{"id":"a","prompt":"p","max_tokens":1}],` + fields + `}`
}

// sample returns the body of a step with one sample.
func sample(fields string) string { return step(`"samples":[{` + fields + `}]`) }

func TestBadInputIsRefused(t *testing.T) {
	s := newScript(t, Limits{StepBody: 512, ServiceBody: 16, PlanBody: 512}, nil)
	long := strings.Repeat("x", 129)
	event := `{"name":"exam","start":"2026-01-05T09:00:00Z",`
	calls := []httpCall{
		post("step: empty body", "/v1/steps", ``),
		post("step: malformed", "/v1/steps", `{"event":`),
		post("step: not UTF-8", "/v1/steps", "{\"event\":\"\xff\"}"),
		post("step: trailing data", "/v1/steps", step(`"deadline_ms":1`)+`{}`),
		post("step: unknown field", "/v1/steps", step(`"colour":1`)),
		post("step: unknown field of a sample", "/v1/steps", sample(`"id":"a","prompt":"p","max_tokens":1,"temp":1`)),
		post("step: wrong type", "/v1/steps", sample(`"id":"a","prompt":"p","max_tokens":"1"`)),
		post("step: too large", "/v1/steps", step(`"deadline_ms":1`)+strings.Repeat(" ", 512)),
		post("step: no event", "/v1/steps", `{"trainer":"t","step":"s"}`),
		post("step: no trainer", "/v1/steps", `{"event":"e","step":"s"}`),
		post("step: no step", "/v1/steps", `{"event":"e","trainer":"t"}`),
		post("step: control character", "/v1/steps", `{"event":"e\n","trainer":"t","step":"s"}`),
		post("step: id with a slash", "/v1/steps", `{"event":"e","trainer":"t","step":"a/b"}`),
		post("step: id too long", "/v1/steps", `{"event":"e","trainer":"t","step":"`+long+`"}`),
		post("step: id of dots", "/v1/steps", `{"event":"e","trainer":"t","step":".."}`),
		post("step: no samples", "/v1/steps", step(`"samples":[]`)),
		post("step: null sample", "/v1/steps", step(`"samples":[null]`)),
		post("step: no prompt", "/v1/steps", sample(`"id":"a","max_tokens":1`)),
		post("step: no tokens", "/v1/steps", sample(`"id":"a","prompt":"p","max_tokens":0`)),
		post("step: same id twice", "/v1/steps", step(`"samples":[{"id":"a","prompt":"p","max_tokens":1},{"id":"a","prompt":"q","max_tokens":1}]`)),
		post("step: deadline passed", "/v1/steps", step(`"deadline_ms":0`)),
		post("step: deadline too far", "/v1/steps", step(`"deadline_ms":9223372036854775807`)),
		post("step: deadline a fraction", "/v1/steps", step(`"deadline_ms":1.5`)),
		get("read: bad step", "/v1/steps/a%20b/samples"),
		get("read: bad wait", "/v1/steps/s/samples?wait_ms=soon"),
		get("read: negative wait", "/v1/steps/s/samples?wait_ms=-1"),
		get("read: bad version", "/v1/steps/s/samples?version=v2"),
		get("read: negative version", "/v1/steps/s/samples?version=-2"),
		get("read: empty version", "/v1/steps/s/samples?version="),
		get("read: two cursors", "/v1/steps/s/samples?after=a&after=b"),
		get("read: malformed query", "/v1/steps/s/samples?after=%zz"),
		post("service: too large", "/v1/services/exam/save", strings.Repeat("x", 17)),
		service("service: no key", "Dalehook-Repeatable", "no"),
		service("service: bad word", "Dalehook-Repeatable", "never"),
		service("service: deadline not a number", "Dalehook-Deadline-Ms", "soon"),
		service("service: deadline empty", "Dalehook-Deadline-Ms", ""),
		service("service: deadline passed", "Dalehook-Deadline-Ms", "-5"),
		service("service: deadline too far", "Dalehook-Deadline-Ms", "86400000"),
		service("service: key too long", "Idempotency-Key", long+long),
		get("service: escaped slash", "/v1/services/a%2Fb/c"),
		post("plan: no name", "/v1/plans", `{"start":"2026-01-05T09:00:00Z"}`),
		post("plan: no start", "/v1/plans", `{"name":"exam"}`),
		post("plan: negative crowd", "/v1/plans", event+`"crowd":-1}`),
		post("plan: nameless service", "/v1/plans", event+`"services":[{"requests_per_caller":1}]}`),
		post("plan: negative duration", "/v1/plans", event+`"duration":"-1h"}`),
		post("plan: unknown field", "/v1/plans", event+`"crowds":1}`),
		post("confirm: no revision", "/v1/plans/abc/confirm", `{"operator":"o"}`),
		post("confirm: another plan", "/v1/plans/abc/confirm", `{"revision":1,"operator":"o","plan":{"digest":"abd"}}`),
		post("confirm: negative revision", "/v1/plans/abc/confirm", `{"revision":-1}`),
		get("no such path", "/v2/steps"),
		httpCall{name: "no such method", method: http.MethodDelete, target: "/v1/steps"},
	}
	assertGolden(t, s, "bad_input", calls)
	if waiting := len(s.inputs); waiting != 0 {
		t.Errorf("the machine was asked %d times", waiting)
	}
}
