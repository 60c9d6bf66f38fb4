package backend_test

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/sim/backend"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
)

// heard collects one stream.
type heard struct {
	kernel   *kernel.Kernel
	text     string
	versions []cluster.Version
	reason   machine.EndReason
	endedAt  time.Duration
}

func (h *heard) Chunk(from, tokens int, text string, version cluster.Version) {
	h.text += text
	if n := len(h.versions); n == 0 || h.versions[n-1] != version {
		h.versions = append(h.versions, version)
	}
}

func (h *heard) Ended(reason machine.EndReason, _ time.Duration, _ string) {
	h.reason, h.endedAt = reason, h.kernel.Elapsed()
}

// instantWeights has every version at once.
type instantWeights struct{}

func (instantWeights) Fetch(_ cluster.ModelName, _ cluster.Version, done func(string)) { done("") }

func newEngine(change func(*backend.EngineProfile)) (*backend.Engine, *kernel.Kernel) {
	k := kernel.New(1, nil)
	profile := backend.DefaultEngineProfile()
	if change != nil {
		change(&profile)
	}
	e := backend.NewEngine(backend.EngineOptions{
		Kernel: k, Faults: &fault.Set{}, Weights: instantWeights{}, ID: "engine-1", Profile: profile, Model: "m", Version: 1,
		Shapes: func(string) backend.Shape { return backend.Shape{Prompt: 80, Shared: 0, Answer: 200} },
	})
	return e, k
}

func start(e *backend.Engine, k *kernel.Kernel, sample int, change func(*machine.StartAttempt)) *heard {
	h := &heard{kernel: k}
	request := machine.StartAttempt{ID: machine.AttemptID{Step: "s", Sample: sample, Attempt: 1}, Model: "m", Prompt: "p", MaxTokens: 1000}
	if change != nil {
		change(&request)
	}
	e.Generate(request, h)
	return h
}

func TestBatchSlowsEachStreamDown(t *testing.T) {
	alone, k := newEngine(nil)
	one := start(alone, k, 0, nil)
	k.Run(time.Hour)
	full, k := newEngine(nil)
	var streams []*heard
	for i := range 32 {
		streams = append(streams, start(full, k, i, nil))
	}
	k.Run(time.Hour)
	if one.reason != machine.EndComplete || one.text != backend.Text("p", 1, 0, 200) {
		t.Fatalf("a stream alone ended as %q with %d bytes", one.reason, len(one.text))
	}
	wanted := 10*time.Millisecond + 200*backend.DefaultEngineProfile().DecodeBase
	if one.endedAt < wanted || one.endedAt > wanted+time.Second {
		t.Errorf("a stream alone took %v, want about %v", one.endedAt, wanted)
	}
	last := streams[31]
	if last.endedAt <= one.endedAt*5/4 || last.endedAt >= one.endedAt*8 {
		t.Errorf("a batch of 32 took %v, a stream alone %v", last.endedAt, one.endedAt)
	}
}

func TestSwapInMidStreamNamesBothVersions(t *testing.T) {
	e, k := newEngine(nil)
	h := start(e, k, 0, nil)
	k.Run(time.Second)
	if r := e.Order(machine.OrderEngine{Fence: machine.Fence{Epoch: 2}, Model: "m", Version: 2}); !r.Accepted {
		t.Fatalf("order gave %+v", r)
	}
	if r := e.Order(machine.OrderEngine{Fence: machine.Fence{Epoch: 1, Sequence: 9}, Model: "m", Version: 1}); !r.Stale {
		t.Errorf("an order with a lower fence gave %+v", r)
	}
	k.Run(time.Minute)
	if len(h.versions) != 2 || h.versions[0] != 1 || h.versions[1] != 2 || len(h.text) != 200*backend.TokenBytes {
		t.Errorf("versions %v, %d bytes", h.versions, len(h.text))
	}
}

func TestResumeByIDAndByText(t *testing.T) {
	e, k := newEngine(nil)
	first := start(e, k, 0, nil)
	k.Run(time.Second)
	e.Detach(machine.AttemptID{Step: "s", Attempt: 1}, first)
	second := start(e, k, 0, func(s *machine.StartAttempt) { s.ResumeFrom = 10 })
	other := start(e, k, 1, func(s *machine.StartAttempt) {
		s.ResumeFrom, s.ResumeText = 50, backend.Text("p", 1, 0, 50)
	})
	unknown := start(e, k, 2, func(s *machine.StartAttempt) { s.ResumeFrom = 5 })
	k.Run(time.Minute)
	if second.text != backend.Text("p", 1, 10, 200) || second.reason != machine.EndComplete {
		t.Errorf("resume by id gave %d bytes, %q", len(second.text), second.reason)
	}
	if other.text != backend.Text("p", 1, 50, 200) {
		t.Errorf("resume by text gave %d bytes", len(other.text))
	}
	if unknown.reason != machine.EndUnknownRequest {
		t.Errorf("resume of an unknown request ended as %q", unknown.reason)
	}
}

func TestMemoryAndPriorityDecideWhoRuns(t *testing.T) {
	e, k := newEngine(func(p *backend.EngineProfile) { p.Slots, p.KVCapacity = 2, 400 })
	var streams []*heard
	for i := range 4 {
		streams = append(streams, start(e, k, i, func(s *machine.StartAttempt) { s.Priority = i }))
	}
	k.Run(time.Hour)
	for i, h := range streams {
		if h.reason != machine.EndComplete || h.text != backend.Text("p", 1, 0, 200) {
			t.Errorf("stream %d ended as %q with %d bytes", i, h.reason, len(h.text))
		}
	}
	if streams[3].endedAt >= streams[0].endedAt {
		t.Errorf("the highest priority ended at %v, the lowest at %v", streams[3].endedAt, streams[0].endedAt)
	}
	if e.Counts().Preempted == 0 {
		t.Error("nothing was preempted for want of memory or for priority")
	}
}

func TestCrashBreaksStreamsAndForgets(t *testing.T) {
	e, k := newEngine(nil)
	h := start(e, k, 0, nil)
	k.Run(time.Second)
	e.Crash()
	e.Restart()
	if h.reason != machine.EndCut {
		t.Errorf("the stream ended as %q", h.reason)
	}
	if again := start(e, k, 0, func(s *machine.StartAttempt) { s.ResumeFrom = 1 }); again.reason != machine.EndUnknownRequest {
		t.Errorf("a resume after the crash ended as %q", again.reason)
	}
}
