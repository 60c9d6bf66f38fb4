package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/standin"
)

const (
	engineAddress = "engine:80"
	model         = cluster.ModelName("captions")
)

// engineFixture is an engine on an in-memory network, with a client.
type engineFixture struct {
	t       *testing.T
	network *pipeNetwork
	engine  *backend.EngineClient
}

// withEngine runs a test against one engine in a synctest bubble.
func withEngine(t *testing.T, options standin.EngineOptions, run func(b *engineFixture)) {
	synctest.Test(t, func(t *testing.T) {
		b := &engineFixture{t: t, network: &pipeNetwork{}}
		b.engine = b.network.engineClient(t)
		b.startEngine(engineAddress, options)
		run(b)
	})
}

func (b *engineFixture) startEngine(address string, options standin.EngineOptions) {
	options.Model = model
	if options.Version == 0 {
		options.Version = 1
	}
	engine := standin.NewEngine(options)
	b.t.Cleanup(engine.Close)
	b.network.serve(b.t, address, engine.Handler())
}

// post sends a JSON body to a stand-in and requires a 2xx response.
func (b *engineFixture) post(address, path string, body any) {
	b.t.Helper()
	postJSON(b.t, b.network, address, path, body)
}

func postJSON(t *testing.T, p *pipeNetwork, address, path string, body any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: p.dial, DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode >= 300 {
		t.Fatalf("POST %s: status %d", path, response.StatusCode)
	}
}

func getJSON(t *testing.T, p *pipeNetwork, address, path string, target any) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: p.dial, DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		t.Fatal(err)
	}
}

// newFault returns a body of POST /faults, with the value as a string.
func newFault(name standin.FaultName, value string) map[string]string {
	return map[string]string{"name": string(name), "value": value}
}

// generateResult collects the output of one Generate call.
type generateResult struct {
	text      string
	versions  []cluster.Version
	nextToken int
	end       machine.AttemptEnded
	duration  time.Duration
}

func (b *engineFixture) generate(start machine.StartAttempt) generateResult {
	b.t.Helper()
	return b.generateWithHook(start, func(machine.AttemptChunk) {})
}

func (b *engineFixture) generateWithHook(start machine.StartAttempt, onChunk func(machine.AttemptChunk)) generateResult {
	b.t.Helper()
	if start.Address == "" {
		start.Address = engineAddress
	}
	started := time.Now()
	got := generateResult{nextToken: start.ResumeFrom}
	ends := 0
	b.engine.Generate(b.t.Context(), start, func(in machine.Input) {
		switch in := in.(type) {
		case machine.AttemptChunk:
			got.text += in.Text
			got.nextToken += in.Tokens
			if n := len(got.versions); n == 0 || got.versions[n-1] != in.Version {
				got.versions = append(got.versions, in.Version)
			}
			onChunk(in)
		case machine.AttemptEnded:
			ends++
			got.end = in
		}
	})
	if ends != 1 {
		b.t.Errorf("%d end events, want 1", ends)
	}
	got.duration = time.Since(started)
	return got
}

// newAttempt returns an attempt whose completion has maxTokens tokens.
func newAttempt(sample, maxTokens int) machine.StartAttempt {
	prompt := "a long answer"
	for standin.CompletionLength(prompt, maxTokens) < maxTokens {
		prompt += "."
	}
	return machine.StartAttempt{
		ID:        machine.AttemptID{Step: "s", Sample: sample, Attempt: 1},
		Engine:    "e1",
		Model:     model,
		Prompt:    prompt,
		MaxTokens: maxTokens,
	}
}

func fullText(start machine.StartAttempt) string {
	return standin.CompletionText(start.Prompt, 0, standin.CompletionLength(start.Prompt, start.MaxTokens))
}

func TestGenerateReturnsFullCompletion(t *testing.T) {
	withEngine(t, standin.EngineOptions{Version: 7}, func(b *engineFixture) {
		for _, maxTokens := range []int{1, 8, 9, 100} {
			start := newAttempt(maxTokens, maxTokens)
			got := b.generate(start)
			if got.end.Reason != machine.EndComplete || got.text != fullText(start) {
				t.Errorf("%d tokens: ended %+v with %d bytes", maxTokens, got.end, len(got.text))
			}
			if diff := cmp.Diff([]cluster.Version{7}, got.versions); diff != "" {
				t.Error(diff)
			}
		}
	})
}

func TestCompletionLengthsAreHeavyTailed(t *testing.T) {
	longCount := 0
	for i := range 1000 {
		length := standin.CompletionLength(strings.Repeat("p", i), 4096)
		if length < 16 || length > 4096 {
			t.Fatalf("length %d", length)
		}
		if length > 10*16 {
			longCount++
		}
	}
	// About 79 are expected: 10^-1.1 of 1000.
	if longCount < 50 || longCount > 120 {
		t.Errorf("%d of 1000 completions are longer than ten times the minimum", longCount)
	}
}

func TestBatchingSlowsStreams(t *testing.T) {
	withEngine(t, standin.EngineOptions{Slots: 8, BatchCost: 0.5}, func(b *engineFixture) {
		alone := b.generate(newAttempt(0, 80)).duration
		var together [4]time.Duration
		var group sync.WaitGroup
		for i := range together {
			group.Go(func() { together[i] = b.generate(newAttempt(i+1, 80)).duration })
		}
		group.Wait()
		for _, took := range together {
			if took < 2*alone {
				t.Errorf("stream duration %v in a batch of four, %v alone", took, alone)
			}
		}
	})
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	withEngine(t, standin.EngineOptions{Slots: 1}, func(b *engineFixture) {
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for sample := range 4 {
			start := newAttempt(sample, 16)
			start.Priority = sample
			group.Go(func() {
				b.generate(start)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, sample)
			})
			synctest.Wait()
		}
		group.Wait()
		if diff := cmp.Diff([]int{0, 3, 2, 1}, order); diff != "" {
			t.Error(diff)
		}
	})
}

func TestBrokenStreamResumesOnSameEngine(t *testing.T) {
	withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
		b.post(engineAddress, "/faults", newFault(standin.FaultCutStream, "1"))
		start := newAttempt(0, 200)
		first := b.generate(start)
		if first.end.Reason != machine.EndCut || first.nextToken == 0 || first.nextToken >= 200 {
			t.Fatalf("first part: %+v", first)
		}
		start.ResumeFrom = first.nextToken
		rest := b.generate(start)
		if rest.end.Reason != machine.EndComplete || first.text+rest.text != fullText(start) {
			t.Errorf("remainder: %+v", rest.end)
		}
		var counts map[string]int
		getJSON(t, b.network, engineAddress, "/counts", &counts)
		if diff := cmp.Diff(map[string]int{start.ID.String(): 1}, counts); diff != "" {
			t.Error(diff)
		}
	})
}

func TestResumeOnAnotherEngine(t *testing.T) {
	withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
		b.startEngine("other:80", standin.EngineOptions{Version: 2})
		start := newAttempt(0, 100)
		start.Address = "other:80"
		start.ResumeFrom = 33
		if got := b.generate(start); got.end.Reason != machine.EndUnknownRequest {
			t.Errorf("without text: %+v", got.end)
		}
		start.ResumeText = "not the completion"
		if got := b.generate(start); got.end.Reason != machine.EndRefused {
			t.Errorf("with wrong text: %+v", got.end)
		}
		start.ResumeText = standin.CompletionText(start.Prompt, 0, 33)
		got := b.generate(start)
		if got.end.Reason != machine.EndComplete || start.ResumeText+got.text != fullText(start) {
			t.Errorf("with text: %+v", got.end)
		}
	})
}

func TestDetachedRequestIsPausedAndResumed(t *testing.T) {
	withEngine(t, standin.EngineOptions{DetachGrace: time.Second}, func(b *engineFixture) {
		start := newAttempt(0, 4000)
		ctx, closeStream := context.WithCancel(b.t.Context())
		start.Address = engineAddress
		var received int
		b.engine.Generate(ctx, start, func(in machine.Input) {
			if chunk, ok := in.(machine.AttemptChunk); ok {
				received += chunk.Tokens
				closeStream()
			}
		})
		time.Sleep(time.Minute)
		report := b.report()
		if report.Running != 0 || report.Waiting != 0 {
			t.Errorf("request without readers is still active: %+v", report)
		}
		start.ResumeFrom = received
		got := b.generate(start)
		if got.end.Reason != machine.EndComplete || !strings.HasSuffix(fullText(start), got.text) || got.nextToken != 4000 {
			t.Errorf("resumed: %+v at %d", got.end, got.nextToken)
		}
	})
}

func (b *engineFixture) report() machine.BackendReport {
	b.t.Helper()
	report := b.engine.Report(b.t.Context(), machine.PollBackend{Backend: "e1", Kind: cluster.KindEngine, Address: engineAddress})
	if report.Err != "" {
		b.t.Fatal(report.Err)
	}
	return report
}

func TestCancelEndsAttempt(t *testing.T) {
	withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
		start := newAttempt(0, 1000)
		cancel := sync.OnceFunc(func() {
			err := b.engine.Cancel(b.t.Context(), machine.CancelAttempt{ID: start.ID, Engine: "e1", Address: engineAddress})
			if err != nil {
				t.Error(err)
			}
		})
		got := b.generateWithHook(start, func(machine.AttemptChunk) { cancel() })
		if got.end.Reason != machine.EndCanceled {
			t.Errorf("ended %+v", got.end)
		}
		time.Sleep(time.Second)
		if report := b.report(); report.Running != 0 {
			t.Errorf("report %+v", report)
		}
		start.ResumeFrom = got.nextToken
		if again := b.generate(start); again.end.Reason != machine.EndUnknownRequest {
			t.Errorf("resume after cancel: %+v", again.end)
		}
	})
}

func TestRefusals(t *testing.T) {
	wrongModel := newAttempt(0, 10)
	wrongModel.Model = "other"
	unreachable := newAttempt(0, 10)
	unreachable.Address = "nobody:80"
	tests := []struct {
		name  string
		path  string
		body  any
		start machine.StartAttempt
		want  machine.EndReason
	}{
		{name: "wrong model", start: wrongModel, want: machine.EndRefused},
		{name: "unreachable", start: unreachable, want: machine.EndUnreachable},
		{name: "leaving", path: "/leave", start: newAttempt(0, 10), want: machine.EndRefused},
		{name: "refusing", path: "/faults", body: newFault(standin.FaultRefuse, "60"), start: newAttempt(0, 10), want: machine.EndRefused},
		{name: "crashed", path: "/faults", body: newFault(standin.FaultCrash, "60"), start: newAttempt(0, 10), want: machine.EndCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
				if test.path != "" {
					b.post(engineAddress, test.path, test.body)
				}
				got := b.generate(test.start)
				if got.end.Reason != test.want || got.end.Err == "" || got.text != "" {
					t.Errorf("got %+v", got)
				}
				if b.network != nil && test.path == "/leave" && got.end.RetryAfter <= 0 {
					t.Error("rejection without RetryAfter")
				}
			})
		})
	}
}

func TestCrashAndFreezeDuringStream(t *testing.T) {
	tests := []struct {
		fault standin.FaultName
		want  machine.EndReason
	}{
		{fault: standin.FaultCrash, want: machine.EndCut},
		{fault: standin.FaultFreeze, want: machine.EndComplete},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
				set := sync.OnceFunc(func() { b.post(engineAddress, "/faults", newFault(test.fault, "300")) })
				start := newAttempt(0, 100)
				got := b.generateWithHook(start, func(machine.AttemptChunk) { set() })
				if got.end.Reason != test.want {
					t.Errorf("ended %+v", got.end)
				}
				if frozen := got.duration >= 300*time.Second; frozen != (test.fault == standin.FaultFreeze) {
					t.Errorf("took %v", got.duration)
				}
			})
		})
	}
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	options := standin.EngineOptions{PrefillTokenTime: 10 * time.Millisecond}
	withEngine(t, options, func(b *engineFixture) {
		start := newAttempt(0, 16)
		start.Prompt = strings.Repeat("shared ", 200)
		start.Group = "g"
		cold := b.generate(start).duration
		start.ID.Sample = 1
		warm := b.generate(start).duration
		if warm >= cold/2 {
			t.Errorf("warm %v, cold %v", warm, cold)
		}
		if diff := cmp.Diff([]string{"g"}, b.report().Groups); diff != "" {
			t.Error(diff)
		}
	})
}
