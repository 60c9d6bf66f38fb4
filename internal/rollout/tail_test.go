package rollout

import (
	"slices"
	"testing"
	"time"

	"dalehook/internal/cluster"
)

func TestTailEngines(t *testing.T) {
	running := func(engine cluster.BackendID) *sample { return &sample{state: sampleRunning, engine: engine} }
	done, waiting := &sample{state: sampleCommitted}, &sample{}
	cases := []struct {
		name    string
		samples []*sample
		pool    int
		want    []cluster.BackendID
	}{
		{"too many are left", []*sample{running("a"), running("b"), running("c"), running("d")}, 9, nil},
		{"a third of the engines are left", []*sample{done, running("b"), running("a"), running("a")}, 9, []cluster.BackendID{"a", "b"}},
		{"one that waits counts and has no engine", []*sample{running("a"), waiting}, 6, []cluster.BackendID{"a"}},
		{"all are done", []*sample{done, done}, 9, nil},
		{"a small pool spares no engine", []*sample{running("a")}, 2, nil},
	}
	for _, c := range cases {
		if got := tailEngines(c.samples, c.pool); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestTailIsForgotten(t *testing.T) {
	w := newWorld(t, 1, 1)
	m := w.nodes["n1"].machine
	m.handleTail(w.now, TailRunning{Step: "one", Engines: []cluster.BackendID{"e1"}})
	cases := []struct {
		name   string
		after  time.Duration
		engine cluster.BackendID
		want   bool
	}{
		{"at once", 0, "e1", true},
		{"another engine", 0, "e2", false},
		{"as long as it holds", tailLifetime, "e1", true},
		{"later", tailLifetime + time.Millisecond, "e1", false},
	}
	for _, c := range cases {
		if got := m.RunsTail(w.now.Add(c.after), c.engine); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
