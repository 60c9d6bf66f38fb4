package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dalehook/internal/cluster"
)

// engineWith returns an idle engine after some changes.
func engineWith(id string, changes ...func(*Engine)) Engine {
	e := Engine{ID: cluster.BackendID(id), Version: 5, Slots: 4, KVCapacity: 10_000}
	for _, change := range changes {
		change(&e)
	}
	return e
}

// chosen lists "sample@engine" in the order of the placements.
func chosen(placements []Placement) []string {
	var list []string
	for _, p := range placements {
		list = append(list, fmt.Sprintf("%d@%s", p.Sample, p.Engine))
	}
	return list
}

func TestDalehookPlaces(t *testing.T) {
	running := func(n int) func(*Engine) { return func(e *Engine) { e.Running = n } }
	cases := []struct {
		name    string
		engines []Engine
		waiting []Work
		want    []string
	}{
		{"longest first, spread over engines",
			[]Engine{engineWith("a"), engineWith("b")},
			[]Work{{Sample: 0, Expected: 10}, {Sample: 1, Expected: 900}, {Sample: 2, Expected: 800}},
			[]string{"1@a", "2@b", "0@b"}},
		{"no free slot, nothing placed",
			[]Engine{engineWith("a", running(4))},
			[]Work{{Sample: 0, Expected: 10}},
			nil},
		{"memory limits before slots do",
			[]Engine{engineWith("a", running(1), func(e *Engine) { e.KVTokens = 8000 })},
			[]Work{{Sample: 0, Expected: 2000}, {Sample: 1, Expected: 100}},
			[]string{"1@a"}},
		{"an idle engine takes what is larger than its memory",
			[]Engine{engineWith("a")},
			[]Work{{Sample: 0, Expected: 50_000}},
			[]string{"0@a"}},
		{"the prefix decides between equals",
			[]Engine{engineWith("a"), engineWith("b", func(e *Engine) { e.Groups = []string{"g"} })},
			[]Work{{Sample: 0, Group: "g", Prompt: 2000, Expected: 100}},
			[]string{"0@b"}},
		{"load outweighs the prefix",
			[]Engine{engineWith("a"), engineWith("b", running(3), func(e *Engine) { e.Groups = []string{"g"} })},
			[]Work{{Sample: 0, Group: "g", Prompt: 100, Expected: 1000}},
			[]string{"0@a"}},
		{"the newest version first",
			[]Engine{engineWith("a", func(e *Engine) { e.Version = 4 }), engineWith("b", running(2))},
			[]Work{{Sample: 0, Expected: 100}},
			[]string{"0@b"}},
		{"not where a swap is coming",
			[]Engine{engineWith("a", func(e *Engine) { e.Loading = 6 }), engineWith("b", running(1))},
			[]Work{{Sample: 0, Expected: 100}},
			[]string{"0@b"}},
		{"never over the bound, never on a leaving engine",
			[]Engine{engineWith("a", func(e *Engine) { e.Version = 3 }), engineWith("b", func(e *Engine) { e.Leaving = true })},
			[]Work{{Sample: 0, Expected: 100}},
			nil},
	}
	for _, c := range cases {
		policy, err := NewEnginePolicy("", 1)
		if err != nil {
			t.Fatal(err)
		}
		got := chosen(policy.Place(PlaceRequest{
			Engines: c.engines, Waiting: c.waiting, Unfinished: len(c.waiting), Newest: 5, Bound: 1,
		}))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: placed %v, want %v", c.name, got, c.want)
		}
	}
}

func TestDalehookMovesStragglers(t *testing.T) {
	slow := Running{Work: Work{Sample: 3, Held: 500, Expected: 1000}, Engine: "a", Speed: 10}
	cases := []struct {
		name    string
		change  func(*MoveRequest)
		want    []string
		running Running
	}{
		{"ends sooner elsewhere", func(*MoveRequest) {}, []string{"3@b"}, slow},
		{"samples still wait", func(r *MoveRequest) { r.Waiting = 1 }, nil, slow},
		{"moved twice already", func(r *MoveRequest) { r.Running[0].Moves = maxMoves }, nil, slow},
		{"speed not known yet", func(r *MoveRequest) { r.Running[0].Speed = 0 }, nil, slow},
		{"nearly done", func(r *MoveRequest) { r.Running[0].Expected = 3 }, nil, slow},
		{"no other engine", func(r *MoveRequest) { r.Engines = r.Engines[:1] }, nil, slow},
	}
	for _, c := range cases {
		request := MoveRequest{
			Engines: []Engine{engineWith("a"), engineWith("b")},
			Running: []Running{c.running},
			Newest:  5, Bound: 1,
		}
		c.change(&request)
		policy, _ := NewEnginePolicy(PolicyDalehook, 1)
		if got := chosen(policy.Move(request)); !slices.Equal(got, c.want) {
			t.Errorf("%s: moved %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBaselines(t *testing.T) {
	waiting := []Work{{Sample: 0}, {Sample: 1}, {Sample: 2}}
	engines := []Engine{
		engineWith("a", func(e *Engine) { e.Running = 2 }),
		engineWith("b"),
		engineWith("c", func(e *Engine) { e.Version = 1 }), // over the bound
	}
	cases := []struct {
		policy string
		want   []string
	}{
		{PolicyRoundRobin, []string{"0@a", "1@b", "2@a"}},
		{PolicyLeastLoaded, []string{"0@b", "1@b", "2@a"}},
	}
	for _, c := range cases {
		policy, _ := NewEnginePolicy(c.policy, 1)
		got := chosen(policy.Place(PlaceRequest{Engines: engines, Waiting: waiting, Newest: 5, Bound: 1}))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: placed %v, want %v", c.policy, got, c.want)
		}
	}
	first, _ := NewEnginePolicy(PolicyRandomOfTwo, 9)
	second, _ := NewEnginePolicy(PolicyRandomOfTwo, 9)
	request := PlaceRequest{Engines: engines, Waiting: waiting, Newest: 5, Bound: 1}
	if a, b := chosen(first.Place(request)), chosen(second.Place(request)); len(a) != 3 || !slices.Equal(a, b) {
		t.Errorf("%s: placed %v and %v from one seed", PolicyRandomOfTwo, a, b)
	}
	if _, err := NewEnginePolicy("nothing", 1); err == nil {
		t.Error("an unknown policy was made")
	}
}

func TestStopEarly(t *testing.T) {
	base := BoundForecast{
		Oldest: 4, Newest: 5, Bound: 1, VersionEvery: time.Minute,
		SinceNewest: 40 * time.Second, Remaining: 60 * time.Second, Restart: 30 * time.Second,
	}
	cases := []struct {
		name   string
		change func(*BoundForecast)
		want   bool
	}{
		{"will miss the bound", func(*BoundForecast) {}, true},
		{"ends before the next version", func(f *BoundForecast) { f.Remaining = 10 * time.Second }, false},
		{"on the newest version", func(f *BoundForecast) { f.Oldest = 5 }, false},
		{"a new attempt would miss it too", func(f *BoundForecast) { f.Restart = 3 * time.Minute }, false},
		{"no cadence known", func(f *BoundForecast) { f.VersionEvery = 0 }, false},
	}
	for _, c := range cases {
		forecast := base
		c.change(&forecast)
		if got := StopEarly(forecast); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// BenchmarkPlaceLargePool places a step's samples on 600 engines, some of them
// loaded.
func BenchmarkPlaceLargePool(b *testing.B) {
	var request PlaceRequest
	for i := range 600 {
		request.Engines = append(request.Engines, engineWith(fmt.Sprintf("e%03d", i), func(e *Engine) { e.Slots = 64; e.KVCapacity = 200_000 }))
	}
	for i := range 1024 {
		request.Waiting = append(request.Waiting, Work{Sample: i, Group: fmt.Sprint(i / 8), Prompt: 200, Expected: 300})
	}
	request.Unfinished, request.Newest, request.Bound = 1024, 5, 1
	policy, _ := NewEnginePolicy(PolicyDalehook, 1)
	for b.Loop() {
		policy.Place(request)
	}
}
