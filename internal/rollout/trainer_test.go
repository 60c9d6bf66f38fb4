package rollout

import (
	"fmt"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// body returns a step of n samples of the given length.
func body(step string, n, tokens int) record.StepBody {
	b := record.StepBody{Event: "exam", Trainer: "trainer", Step: step, Digest: "digest-" + step}
	for i := range n {
		b.Samples = append(b.Samples, record.Sample{ID: fmt.Sprintf("s%d", i), Prompt: "mark this", MaxTokens: tokens, Group: "g"})
	}
	return b
}

// post sends a step to a node and returns the call.
func (w *world) post(n *worldNode, b record.StepBody) machine.CallID {
	w.calls++
	call := w.calls
	n.deliver(func() { n.machine.HandlePost(w.now, machine.PostStep{Call: call, Body: b}) })
	return call
}

// accept posts a step and waits for 202.
func (w *world) accept(n *worldNode, b record.StepBody) {
	w.t.Helper()
	call := w.post(n, b)
	w.runUntil(5*time.Second, "step accepted", func() bool { return w.answers[call] != nil })
	if _, ok := w.answers[call].(machine.StepAccepted); !ok {
		w.t.Fatalf("post answered %+v", w.answers[call])
	}
}

func (w *world) read(n *worldNode, step, after string, wait time.Duration, version cluster.Version) machine.CallID {
	w.calls++
	call := w.calls
	n.deliver(func() {
		n.machine.HandleRead(w.now, machine.ReadSamples{Call: call, Step: step, After: after, Wait: wait, Version: version})
	})
	return call
}

// trainer reads a step to its end, at one node after the other.
type trainer struct {
	world   *world
	step    string
	cursor  string
	samples map[string]machine.SampleView
	done    bool
	// failures counts reads that ended with an error.
	failures int
	version  cluster.Version
}

func (w *world) trainer(step string) *trainer {
	return &trainer{world: w, step: step, samples: map[string]machine.SampleView{}}
}

// readOnce makes one read at a live node and takes the answer.
func (r *trainer) readOnce(n *worldNode, wait time.Duration) {
	w := r.world
	w.t.Helper()
	call := w.read(n, r.step, r.cursor, wait, r.version)
	w.runUntil(wait+20*time.Second, "read answered", func() bool { return w.answers[call] != nil || n.dead })
	answer, ok := w.answers[call].(machine.SamplesRead)
	if !ok {
		r.failures++
		w.run(200 * time.Millisecond)
		return
	}
	for _, view := range answer.Samples {
		if _, twice := r.samples[view.ID]; twice {
			w.t.Fatalf("sample %s was delivered twice", view.ID)
		}
		r.samples[view.ID] = view
		checkSegments(w.t, view)
	}
	r.cursor = answer.Cursor
	r.done = answer.Done
}

// readAll reads until the step is done.
func (r *trainer) readAll(limit time.Duration) {
	r.world.t.Helper()
	end := r.world.now.Add(limit)
	for round := 0; !r.done; round++ {
		if r.world.now.After(end) {
			r.world.t.Fatalf("%d samples within %v\n%s", len(r.samples), limit, r.world.dump())
		}
		nodes := r.world.sorted()
		n := nodes[round%len(nodes)]
		if n.dead || n.paused {
			continue
		}
		r.readOnce(n, time.Second)
	}
}

// checkSegments compares the versions that a sample names with those that the
// engine wrote into each token.
func checkSegments(t tester, view machine.SampleView) {
	t.Helper()
	if view.Error != nil {
		return
	}
	var index, tokens int
	_, err := fmt.Sscanf(view.ID, "s%d", &index)
	if err != nil {
		t.Fatal(err)
	}
	want := ""
	for _, segment := range view.Versions {
		if segment.FromToken != tokens {
			t.Fatalf("sample %s: segment %+v does not begin at %d", view.ID, segment, tokens)
		}
		for ; tokens < segment.ToToken; tokens++ {
			want += token(machine.AttemptID{Sample: index}, tokens, segment.Version)
		}
	}
	if want != view.Text {
		t.Fatalf("sample %s: text %q, its versions say %q", view.ID, view.Text, want)
	}
}
