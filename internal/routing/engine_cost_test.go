package routing

import "testing"

func TestEstimateSpeeds(t *testing.T) {
	idle := Engine{ID: "idle"}
	usual := Engine{ID: "usual", Running: 1, TokensPerSecond: 81}
	busy := Engine{ID: "busy", Running: 48, TokensPerSecond: 48 * 44}
	slow := Engine{ID: "slow", Running: 1, TokensPerSecond: 16}
	cases := []struct {
		name    string
		engines []Engine
		want    []float64
	}{
		{"nothing measured", []Engine{idle, idle}, []float64{assumedStreamSpeed, assumedStreamSpeed}},
		{"an idle engine is like the others", []Engine{usual, idle, usual}, []float64{81, 81, 81}},
		{"a crowded engine is like the others", []Engine{usual, busy, usual}, []float64{81, 81, 81}},
		{"a slow engine is slow", []Engine{usual, slow, usual}, []float64{81, 16, 81}},
	}
	for _, c := range cases {
		estimateSpeeds(c.engines)
		for i, engine := range c.engines {
			if engine.alone != c.want[i] {
				t.Errorf("%s: engine %d has %.1f, want %.1f", c.name, i, engine.alone, c.want[i])
			}
		}
	}
}

func TestPlaceCost(t *testing.T) {
	work := Work{Group: "g", Expected: 120}
	empty := Engine{alone: 80, Version: 2}
	with := func(change func(*Engine)) Engine {
		engine := empty
		change(&engine)
		return engine
	}
	cases := []struct {
		name   string
		better Engine
		worse  Engine
	}{
		{"an idle engine before a crowded one", empty, with(func(e *Engine) { e.Running = 20 })},
		{"few tokens before many, with as many requests",
			with(func(e *Engine) { e.Placed = Placed{Requests: 4, Remaining: 400, Longest: 100} }),
			with(func(e *Engine) { e.Placed = Placed{Requests: 4, Remaining: 4000, Longest: 100} })},
		{"the prompt's prefix before none", with(func(e *Engine) { e.Groups = []string{"g"} }), empty},
		{"one sample more before a prefix that has to be read",
			with(func(e *Engine) {
				e.Groups = []string{"g"}
				e.Placed = Placed{Requests: 1, Remaining: 120, Longest: 120}
			}), empty},
		{"a load far above the others outweighs a prefix", empty,
			with(func(e *Engine) { e.Groups, e.Running = []string{"g"}, 30 })},
		{"prompts that wait count", empty, with(func(e *Engine) { e.prefill = 1 })},
		{"no swap ahead before one", empty, with(func(e *Engine) { e.Loading = 3 })},
		{"the newest version before an old one", empty, with(func(e *Engine) { e.Version = 1 })},
		{"a fast engine before a slow one", empty, with(func(e *Engine) { e.alone = 16 })},
	}
	for _, c := range cases {
		if better, worse := placeCost(&c.better, work, 2), placeCost(&c.worse, work, 2); better >= worse {
			t.Errorf("%s: %.3f is not below %.3f", c.name, better, worse)
		}
	}
}
