package planner_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/planner"
	"dalehook/internal/record"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

var lima = time.FixedZone("", -5*60*60)

// backends returns count back ends spread over zones.
func backends(kind cluster.BackendKind, pool string, count int, model cluster.ModelName, version cluster.Version, zones ...cluster.ZoneName) []planner.Backend {
	var list []planner.Backend
	for i := range count {
		list = append(list, planner.Backend{
			ID: cluster.BackendID(fmt.Sprintf("%s-%02d", pool, i+1)), Kind: kind, Pool: pool,
			Zone: zones[i%len(zones)], Model: model, Version: version,
		})
	}
	return list
}

func hearing() record.Event {
	return record.Event{
		Name: "council-hearing", Start: time.Date(2026, 3, 2, 10, 0, 0, 0, lima),
		Duration: record.Duration(2 * time.Hour), Crowd: 1500, Arrival: record.Duration(30 * time.Second),
		Services: []record.ServiceDemand{
			{Service: "directory", Class: "lookups", RequestsPerCaller: 3, ServiceTime: record.Duration(25 * time.Millisecond), Importance: 10},
			{Service: "directory", Class: "profiles", RequestsPerCaller: 0.5, ServiceTime: record.Duration(200 * time.Millisecond), Importance: 5},
		},
		Rollouts: []record.RolloutDemand{
			{Trainer: "captions", Pool: "language", Model: "captioner", SamplesPerStep: 512, MeanTokens: 60, MaxTokens: 400,
				StepEvery: record.Duration(2 * time.Minute), StalenessBound: 1, Importance: 8},
			{Trainer: "minutes", Pool: "language", Model: "summarizer", SamplesPerStep: 256, MeanTokens: 700, MaxTokens: 15000,
				StepEvery: record.Duration(2 * time.Minute), StalenessBound: 2, Importance: 3},
		},
	}
}

func arequipa() planner.Snapshot {
	zones := []cluster.ZoneName{"cercado", "yanahuara", "cayma"}
	list := backends(cluster.KindEngine, "language", 9, "captioner", 41, zones...)
	for i := range list[6:] {
		list[6+i].Model, list[6+i].Version = "summarizer", 17
	}
	return planner.Snapshot{
		Now: time.Date(2026, 3, 2, 9, 0, 0, 0, lima), Revision: 12,
		Backends: append(list, backends(cluster.KindService, "directory", 3, "", 0, zones...)...),
		Versions: []record.ModelVersion{{Model: "captioner", Version: 41}, {Model: "summarizer", Version: 18}},
	}
}

func exam() record.Event {
	return record.Event{
		Name: "exam-week-monday", Start: time.Date(2026, 3, 2, 9, 0, 0, 0, lima),
		Duration: record.Duration(3 * time.Hour), Crowd: 4000, Arrival: record.Duration(time.Minute),
		Services: []record.ServiceDemand{
			{Service: "portal", Class: "saves", RequestsPerCaller: 120, ServiceTime: record.Duration(40 * time.Millisecond), Importance: 10},
			{Service: "portal", Class: "sessions", RequestsPerCaller: 12, ServiceTime: record.Duration(15 * time.Millisecond), Importance: 7},
		},
		Rollouts: []record.RolloutDemand{
			{Trainer: "marker", Pool: "marking", Model: "marking", SamplesPerStep: 1024, MeanTokens: 900, MaxTokens: 6000,
				StepEvery: record.Duration(7 * time.Minute), StalenessBound: 1, Importance: 5},
		},
	}
}

func medellin() planner.Snapshot {
	zones := []cluster.ZoneName{"poblado", "rionegro", "itagui"}
	return planner.Snapshot{
		Now: time.Date(2026, 3, 2, 8, 0, 0, 0, lima), Revision: 30,
		Backends: append(backends(cluster.KindEngine, "marking", 11, "marking", 6, zones...),
			backends(cluster.KindService, "portal", 3, "", 0, zones...)...),
		Versions: []record.ModelVersion{{Model: "marking", Version: 7}},
	}
}

func TestPlans(t *testing.T) {
	tight, late := medellin(), medellin()
	tight.Now = exam().Start.Add(-40 * time.Second)
	late.Now = exam().Start.Add(-5 * time.Second)
	unmet := exam()
	unmet.Crowd = 400_000
	unmet.Rollouts[0].SamplesPerStep = 8192
	unmet.Rollouts[0].MaxTokens = 90_000
	unmet.Rollouts = append(unmet.Rollouts, record.RolloutDemand{Trainer: "new", Pool: "marking", Model: "unborn", SamplesPerStep: 10, MeanTokens: 10, MaxTokens: 10, StepEvery: record.Duration(time.Minute)})
	unreported := medellin()
	for i := range unreported.Backends[:8] {
		unreported.Backends[i].Model, unreported.Backends[i].Version = "", 0
	}
	overlapping := arequipa()
	board := hearing()
	board.Name = "water-board"
	board.Start = board.Start.Add(time.Hour)
	overlapping.Events = []record.ConfirmedEvent{
		{Plan: record.Plan{Event: board}},
		{Plan: record.Plan{Event: hearing()}},
		{Plan: record.Plan{Event: record.Event{Name: "tomorrow", Start: board.Start.Add(24 * time.Hour), Duration: record.Duration(time.Hour), Services: board.Services, Crowd: 100}}},
	}
	cases := []struct {
		name     string
		snapshot planner.Snapshot
		event    record.Event
	}{
		{"arequipa_hearing", arequipa(), hearing()},
		{"medellin_exam", medellin(), exam()},
		{"tight", tight, exam()},
		{"late", late, exam()},
		{"unmet", medellin(), unmet},
		{"unreported", unreported, exam()},
		{"overlap", overlapping, hearing()},
		{"nothing_live", planner.Snapshot{Now: exam().Start.Add(-time.Hour)}, exam()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if faults := planner.Check(c.event); len(faults) > 0 {
				t.Fatalf("faults: %v", faults)
			}
			plan := planner.Make(c.snapshot, c.event)
			goldie.New(t).Assert(t, c.name, []byte(planner.Render(plan)))
		})
	}
}

func TestDigestSurvivesJSONAndGob(t *testing.T) {
	plan := planner.Make(medellin(), exam())
	text, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	var fromJSON, fromGob record.Plan
	if err := json.Unmarshal(text, &fromJSON); err != nil {
		t.Fatal(err)
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(plan); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buffer).Decode(&fromGob); err != nil {
		t.Fatal(err)
	}
	if !planner.Intact(plan) || !planner.Intact(fromJSON) || !planner.Intact(fromGob) {
		t.Errorf("digests: %s, JSON %s, gob %s", plan.Digest, planner.Digest(fromJSON), planner.Digest(fromGob))
	}
	fromJSON.Limits[0].Rate++
	if planner.Intact(fromJSON) {
		t.Error("a changed plan is intact")
	}
}

func drawEvent(t *rapid.T) record.Event {
	event := record.Event{
		Name: "e", Start: time.Date(2026, 3, 2, 9, 0, 0, 0, lima),
		Duration: record.Duration(time.Duration(rapid.IntRange(1, 300).Draw(t, "minutes")) * time.Minute),
		Crowd:    rapid.IntRange(0, 100_000).Draw(t, "crowd"),
		Arrival:  record.Duration(time.Duration(rapid.IntRange(0, 60).Draw(t, "arrival")) * time.Second),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		event.Services = append(event.Services, record.ServiceDemand{
			Service: rapid.SampledFrom([]string{"portal", "directory"}).Draw(t, "service"), Class: fmt.Sprintf("class%d", i),
			RequestsPerCaller: rapid.Float64Range(0, 50).Draw(t, "requests"), Importance: rapid.IntRange(0, 3).Draw(t, "importance"),
			ServiceTime: record.Duration(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "rollouts") {
		event.Rollouts = append(event.Rollouts, record.RolloutDemand{
			Trainer: fmt.Sprintf("trainer%d", i), Pool: "marking", Model: rapid.SampledFrom([]cluster.ModelName{"marking", "other"}).Draw(t, "model"),
			SamplesPerStep: rapid.IntRange(1, 2000).Draw(t, "samples"), MeanTokens: 100, MaxTokens: rapid.IntRange(100, 100_000).Draw(t, "max"),
			StepEvery: record.Duration(time.Duration(rapid.IntRange(1, 600).Draw(t, "every")) * time.Second), StalenessBound: 1,
		})
	}
	return event
}

// TestPlanProperties checks what holds for every event that passes Check.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := drawEvent(t)
		if faults := planner.Check(event); len(faults) > 0 {
			t.Fatalf("faults: %v", faults)
		}
		snapshot := medellin()
		snapshot.Backends = append(snapshot.Backends, backends(cluster.KindEngine, "big", rapid.IntRange(0, 40).Draw(t, "more"), "", 0, "a", "b")...)
		for i := range snapshot.Backends {
			if snapshot.Backends[i].Pool == "big" {
				snapshot.Backends[i].Pool = "marking"
			}
		}
		plan := planner.Make(snapshot, event)
		shuffled := snapshot
		shuffled.Backends = slices.Clone(snapshot.Backends)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		random.Shuffle(len(shuffled.Backends), func(i, j int) {
			shuffled.Backends[i], shuffled.Backends[j] = shuffled.Backends[j], shuffled.Backends[i]
		})
		if diff := cmp.Diff(plan, planner.Make(shuffled, event)); diff != "" {
			t.Fatalf("the snapshot's order shows:\n%s", diff)
		}
		checkPlan(t, snapshot, plan)
	})
}

func checkPlan(t *rapid.T, snapshot planner.Snapshot, plan record.Plan) {
	warm := map[cluster.BackendID]bool{}
	for _, backend := range plan.Warm {
		if warm[backend.Backend] {
			t.Fatalf("%s is warmed twice", backend.Backend)
		}
		warm[backend.Backend] = true
	}
	last := plan.Event.Start.Add(-planner.DefaultLoadMargin - planner.DefaultLoadTime)
	spacing := time.Second / planner.DefaultStoreLoadsPerSecond
	for i, load := range plan.Loads {
		if load.At.After(last) {
			t.Fatalf("load %d at %v ends too late", i, load.At)
		}
		if i > 0 && load.At.Sub(plan.Loads[i-1].At) < spacing-time.Millisecond {
			t.Fatalf("loads %d and %d break the store's rate", i-1, i)
		}
		if !warm[load.Engine] {
			t.Fatalf("%s is loaded but not planned", load.Engine)
		}
	}
	if len(plan.ShedOrder) != len(plan.Limits) {
		t.Fatalf("%d classes to shed, %d limits", len(plan.ShedOrder), len(plan.Limits))
	}
	for _, limit := range plan.Limits {
		if limit.Rate < 0 || math.IsNaN(limit.Rate) || math.IsInf(limit.Rate, 0) || limit.Concurrent <= 0 {
			t.Fatalf("limit %+v", limit)
		}
	}
	late := len(plan.Loads) > 0 && snapshot.Now.Sub(plan.Loads[0].At) > planner.DefaultLoadMargin+time.Second
	if late && len(plan.Missing) == 0 {
		t.Fatal("loads come after the start and nothing is missing")
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*record.Event)
		want   string
	}{
		{"fine", func(*record.Event) {}, ""},
		{"no name", func(e *record.Event) { e.Name = "" }, "name: is required"},
		{"bad name", func(e *record.Event) { e.Name = "a/b" }, "name: only letters, digits, spaces, '.', '_' and '-', at most 64"},
		{"name with a space", func(e *record.Event) { e.Name = "exam week" }, ""},
		{"no start", func(e *record.Event) { e.Start = time.Time{} }, "start: is required"},
		{"no duration", func(e *record.Event) { e.Duration, e.Arrival = 0, 0 }, "duration: must be more than 0"},
		{"long", func(e *record.Event) { e.Duration = record.Duration(32 * 24 * time.Hour) }, "duration: between 0 and 744h0m0s"},
		{"arrival", func(e *record.Event) { e.Arrival = record.Duration(4 * time.Hour) }, "arrival: is longer than the event"},
		{"crowd", func(e *record.Event) { e.Crowd = -1 }, "crowd: must be gte 0"},
		{"large crowd", func(e *record.Event) { e.Crowd = planner.MaxCrowd + 1 }, "crowd: at most 10000000"},
		{"no demand", func(e *record.Event) { e.Services, e.Rollouts = nil, nil }, "services: the event asks for no service and no rollouts"},
		{"service name", func(e *record.Event) { e.Services[1].Service = "" }, "services[1].service: is required"},
		{"requests", func(e *record.Event) { e.Services[0].RequestsPerCaller = math.NaN() }, "services[0].requests_per_caller: must be gte 0"},
		{"infinite", func(e *record.Event) { e.Services[0].RequestsPerCaller = math.Inf(1) }, "services[0].requests_per_caller: at most 10000000"},
		{"class twice", func(e *record.Event) { e.Services[1].Class = "saves" }, `services[1].class: class "saves" of service "portal" stands twice`},
		{"step every", func(e *record.Event) { e.Rollouts[0].StepEvery = 0 }, "rollouts[0].step_every: must be more than 0"},
		{"mean tokens", func(e *record.Event) { e.Rollouts[0].MeanTokens = 0 }, "rollouts[0].mean_tokens: must be more than 0"},
		{"max tokens", func(e *record.Event) { e.Rollouts[0].MaxTokens = 1 }, "rollouts[0].max_tokens: is less than mean_tokens"},
		{"bound", func(e *record.Event) { e.Rollouts[0].StalenessBound = -1 }, "rollouts[0].staleness_bound: must be gte 0"},
		{"trainer twice", func(e *record.Event) { e.Rollouts = append(e.Rollouts, e.Rollouts[0]) }, `rollouts[1].trainer: trainer "marker" stands twice for this pool and model`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			event := exam()
			c.change(&event)
			var got []string
			for _, fault := range planner.Check(event) {
				got = append(got, fault.Error())
			}
			if joined := strings.Join(got, "\n"); joined != c.want {
				t.Errorf("got\n%s\nwant\n%s", joined, c.want)
			}
		})
	}
}
