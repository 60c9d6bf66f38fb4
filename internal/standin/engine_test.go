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

// bench is an engine behind a network in memory.
type bench struct {
	t      *testing.T
	pipes  *pipes
	engine *backend.EngineClient
}

// onVirtualTime runs a test against one engine inside a synctest bubble.
func onVirtualTime(t *testing.T, options standin.EngineOptions, run func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, pipes: &pipes{}}
		b.engine = b.pipes.engineClient(t)
		b.startEngine(engineAddress, options)
		run(b)
	})
}

func (b *bench) startEngine(address string, options standin.EngineOptions) {
	options.Model = model
	if options.Version == 0 {
		options.Version = 1
	}
	engine := standin.NewEngine(options)
	b.t.Cleanup(engine.Close)
	b.pipes.serve(b.t, address, engine.Handler())
}

// post sends a JSON body to a stand-in and wants a 2xx answer.
func (b *bench) post(address, path string, body any) {
	b.t.Helper()
	postJSON(b.t, b.pipes, address, path, body)
}

func postJSON(t *testing.T, p *pipes, address, path string, body any) {
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

func getJSON(t *testing.T, p *pipes, address, path string, target any) {
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

// fault is the body of POST /faults, its value as a string.
func fault(name standin.FaultName, value string) map[string]string {
	return map[string]string{"name": string(name), "value": value}
}

// generated is what one Generate emitted.
type generated struct {
	text     string
	versions []cluster.Version
	next     int
	ended    machine.AttemptEnded
	took     time.Duration
}

func (b *bench) generate(start machine.StartAttempt) generated {
	b.t.Helper()
	return b.generateWatched(start, func(machine.AttemptChunk) {})
}

func (b *bench) generateWatched(start machine.StartAttempt, watch func(machine.AttemptChunk)) generated {
	b.t.Helper()
	if start.Address == "" {
		start.Address = engineAddress
	}
	begun := time.Now()
	got := generated{next: start.ResumeFrom}
	ends := 0
	b.engine.Generate(b.t.Context(), start, func(in machine.Input) {
		switch in := in.(type) {
		case machine.AttemptChunk:
			got.text += in.Text
			got.next += in.Tokens
			if n := len(got.versions); n == 0 || got.versions[n-1] != in.Version {
				got.versions = append(got.versions, in.Version)
			}
			watch(in)
		case machine.AttemptEnded:
			ends++
			got.ended = in
		}
	})
	if ends != 1 {
		b.t.Errorf("%d ends were emitted", ends)
	}
	got.took = time.Since(begun)
	return got
}

// attempt is the start of an attempt whose answer has maxTokens tokens.
func attempt(sample, maxTokens int) machine.StartAttempt {
	prompt := "a long answer"
	for standin.AnswerLength(prompt, maxTokens) < maxTokens {
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

func wholeText(start machine.StartAttempt) string {
	return standin.AnswerText(start.Prompt, 0, standin.AnswerLength(start.Prompt, start.MaxTokens))
}

func TestGenerateGivesTheWholeAnswer(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{Version: 7}, func(b *bench) {
		for _, maxTokens := range []int{1, 8, 9, 100} {
			start := attempt(maxTokens, maxTokens)
			got := b.generate(start)
			if got.ended.Reason != machine.EndComplete || got.text != wholeText(start) {
				t.Errorf("%d tokens: ended %+v with %d bytes", maxTokens, got.ended, len(got.text))
			}
			if diff := cmp.Diff([]cluster.Version{7}, got.versions); diff != "" {
				t.Error(diff)
			}
		}
	})
}

func TestAnswerLengthsHaveAHeavyTail(t *testing.T) {
	long := 0
	for i := range 1000 {
		length := standin.AnswerLength(strings.Repeat("p", i), 4096)
		if length < 16 || length > 4096 {
			t.Fatalf("length %d", length)
		}
		if length > 10*16 {
			long++
		}
	}
	// 10^-1.1 of a thousand are about 79.
	if long < 50 || long > 120 {
		t.Errorf("%d of 1000 answers are ten times the shortest", long)
	}
}

func TestBatchSlowsEachStream(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{Slots: 8, BatchCost: 0.5}, func(b *bench) {
		alone := b.generate(attempt(0, 80)).took
		var together [4]time.Duration
		var group sync.WaitGroup
		for i := range together {
			group.Go(func() { together[i] = b.generate(attempt(i+1, 80)).took })
		}
		group.Wait()
		for _, took := range together {
			if took < 2*alone {
				t.Errorf("a stream took %v in a batch of four, %v alone", took, alone)
			}
		}
	})
}

func TestPriorityComesFirst(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{Slots: 1}, func(b *bench) {
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for sample := range 4 {
			start := attempt(sample, 16)
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

func TestCutStreamIsResumedFromTheBuffer(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
		b.post(engineAddress, "/faults", fault(standin.FaultCutStream, "1"))
		start := attempt(0, 200)
		first := b.generate(start)
		if first.ended.Reason != machine.EndCut || first.next == 0 || first.next >= 200 {
			t.Fatalf("first part: %+v", first)
		}
		start.ResumeFrom = first.next
		rest := b.generate(start)
		if rest.ended.Reason != machine.EndComplete || first.text+rest.text != wholeText(start) {
			t.Errorf("rest: %+v", rest.ended)
		}
		var counts map[string]int
		getJSON(t, b.pipes, engineAddress, "/counts", &counts)
		if diff := cmp.Diff(map[string]int{start.ID.String(): 1}, counts); diff != "" {
			t.Error(diff)
		}
	})
}

func TestResumeOnAnotherEngine(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
		b.startEngine("other:80", standin.EngineOptions{Version: 2})
		start := attempt(0, 100)
		start.Address = "other:80"
		start.ResumeFrom = 33
		if got := b.generate(start); got.ended.Reason != machine.EndUnknownRequest {
			t.Errorf("without text: %+v", got.ended)
		}
		start.ResumeText = "not the answer"
		if got := b.generate(start); got.ended.Reason != machine.EndRefused {
			t.Errorf("with wrong text: %+v", got.ended)
		}
		start.ResumeText = standin.AnswerText(start.Prompt, 0, 33)
		got := b.generate(start)
		if got.ended.Reason != machine.EndComplete || start.ResumeText+got.text != wholeText(start) {
			t.Errorf("with text: %+v", got.ended)
		}
	})
}

func TestDetachedRequestIsPausedAndResumed(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{DetachGrace: time.Second}, func(b *bench) {
		start := attempt(0, 4000)
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
			t.Errorf("the engine still works for nobody: %+v", report)
		}
		start.ResumeFrom = received
		got := b.generate(start)
		if got.ended.Reason != machine.EndComplete || !strings.HasSuffix(wholeText(start), got.text) || got.next != 4000 {
			t.Errorf("resumed: %+v at %d", got.ended, got.next)
		}
	})
}

func (b *bench) report() machine.BackendReport {
	b.t.Helper()
	report := b.engine.Report(b.t.Context(), machine.PollBackend{Backend: "e1", Kind: cluster.KindEngine, Address: engineAddress})
	if report.Err != "" {
		b.t.Fatal(report.Err)
	}
	return report
}

func TestCancelEndsTheAttempt(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
		start := attempt(0, 1000)
		cancel := sync.OnceFunc(func() {
			err := b.engine.Cancel(b.t.Context(), machine.CancelAttempt{ID: start.ID, Engine: "e1", Address: engineAddress})
			if err != nil {
				t.Error(err)
			}
		})
		got := b.generateWatched(start, func(machine.AttemptChunk) { cancel() })
		if got.ended.Reason != machine.EndCanceled {
			t.Errorf("ended %+v", got.ended)
		}
		time.Sleep(time.Second)
		if report := b.report(); report.Running != 0 {
			t.Errorf("report %+v", report)
		}
		start.ResumeFrom = got.next
		if again := b.generate(start); again.ended.Reason != machine.EndUnknownRequest {
			t.Errorf("resume after cancel: %+v", again.ended)
		}
	})
}

func TestRefusals(t *testing.T) {
	wrongModel := attempt(0, 10)
	wrongModel.Model = "other"
	unreachable := attempt(0, 10)
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
		{name: "leaving", path: "/leave", start: attempt(0, 10), want: machine.EndRefused},
		{name: "refusing", path: "/faults", body: fault(standin.FaultRefuse, "60"), start: attempt(0, 10), want: machine.EndRefused},
		{name: "crashed", path: "/faults", body: fault(standin.FaultCrash, "60"), start: attempt(0, 10), want: machine.EndCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
				if test.path != "" {
					b.post(engineAddress, test.path, test.body)
				}
				got := b.generate(test.start)
				if got.ended.Reason != test.want || got.ended.Err == "" || got.text != "" {
					t.Errorf("got %+v", got)
				}
				if b.pipes != nil && test.path == "/leave" && got.ended.RetryAfter <= 0 {
					t.Error("no time to come back")
				}
			})
		})
	}
}

func TestCrashAndFreezeInMidStream(t *testing.T) {
	tests := []struct {
		fault standin.FaultName
		want  machine.EndReason
	}{
		{fault: standin.FaultCrash, want: machine.EndCut},
		{fault: standin.FaultFreeze, want: machine.EndComplete},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
				set := sync.OnceFunc(func() { b.post(engineAddress, "/faults", fault(test.fault, "300")) })
				start := attempt(0, 100)
				got := b.generateWatched(start, func(machine.AttemptChunk) { set() })
				if got.ended.Reason != test.want {
					t.Errorf("ended %+v", got.ended)
				}
				if frozen := got.took >= 300*time.Second; frozen != (test.fault == standin.FaultFreeze) {
					t.Errorf("took %v", got.took)
				}
			})
		})
	}
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	options := standin.EngineOptions{PrefillTokenTime: 10 * time.Millisecond}
	onVirtualTime(t, options, func(b *bench) {
		start := attempt(0, 16)
		start.Prompt = strings.Repeat("shared ", 200)
		start.Group = "g"
		cold := b.generate(start).took
		start.ID.Sample = 1
		warm := b.generate(start).took
		if warm >= cold/2 {
			t.Errorf("warm %v, cold %v", warm, cold)
		}
		if diff := cmp.Diff([]string{"g"}, b.report().Groups); diff != "" {
			t.Error(diff)
		}
	})
}
