package standin_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/standin"
)

const platformAddress = "platform:80"

func order(epoch uint64, version cluster.Version) machine.OrderEngine {
	return machine.OrderEngine{
		Engine:  "e1",
		Address: engineAddress,
		Fence:   machine.Fence{Epoch: epoch, Sequence: 1},
		Model:   model,
		Version: version,
	}
}

func TestSwapInMidStream(t *testing.T) {
	options := standin.EngineOptions{Version: 1, SwapTime: time.Minute}
	onVirtualTime(t, options, func(b *bench) {
		give := sync.OnceFunc(func() {
			if result := b.engine.Order(b.t.Context(), order(1, 2)); !result.Accepted {
				t.Errorf("order: %+v", result)
			}
		})
		start := attempt(0, 200)
		got := b.generateWatched(start, func(machine.AttemptChunk) { give() })
		if got.ended.Reason != machine.EndComplete || got.text != wholeText(start) {
			t.Errorf("ended %+v", got.ended)
		}
		if diff := cmp.Diff([]cluster.Version{1, 2}, got.versions); diff != "" {
			t.Error(diff)
		}
		if got.took < time.Minute {
			t.Errorf("the swap did not stop generation: took %v", got.took)
		}
	})
}

func TestFencesOrderTheOrders(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
		steps := []struct {
			name            string
			order           machine.OrderEngine
			accepted, stale bool
		}{
			{name: "first", order: order(5, 2), accepted: true},
			{name: "the same again, its answer was lost", order: order(5, 2), accepted: true},
			{name: "lower epoch", order: order(4, 3), stale: true},
			{name: "higher epoch, during the load", order: order(6, 4), accepted: true},
		}
		for _, step := range steps {
			got := b.engine.Order(b.t.Context(), step.order)
			if got.Accepted != step.accepted || got.Stale != step.stale || got.Err != "" {
				t.Errorf("%s: %+v", step.name, got)
			}
		}
		if loading := b.report().Loading; loading != 4 {
			t.Errorf("loading %d", loading)
		}
		time.Sleep(time.Hour)
		report := b.report()
		if report.Version != 4 || report.Loading != 0 || report.LastFence.Epoch != 6 {
			t.Errorf("report %+v", report)
		}
	})
}

func TestFailedSwaps(t *testing.T) {
	tests := []struct {
		fault   standin.FaultName
		version cluster.Version
		failed  bool
	}{
		{fault: standin.FaultSwapFail, version: 3, failed: true},
		{fault: standin.FaultSwapWrong, version: 6},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			onVirtualTime(t, standin.EngineOptions{Version: 3}, func(b *bench) {
				b.post(engineAddress, "/faults", fault(test.fault, "1"))
				b.engine.Order(b.t.Context(), order(1, 7))
				time.Sleep(time.Hour)
				report := b.report()
				if report.Version != test.version || (report.LoadError != "") != test.failed {
					t.Errorf("after the fault: %+v", report)
				}
				b.engine.Order(b.t.Context(), order(2, 7))
				time.Sleep(time.Hour)
				if report := b.report(); report.Version != 7 || report.LoadError != "" {
					t.Errorf("after a second order: %+v", report)
				}
			})
		})
	}
}

func TestReportLags(t *testing.T) {
	options := standin.EngineOptions{ReportLag: 10 * time.Second}
	onVirtualTime(t, options, func(b *bench) {
		time.Sleep(time.Minute)
		var during []int
		start := attempt(0, 4000)
		b.generateWatched(start, func(chunk machine.AttemptChunk) {
			if chunk.FromToken%1000 == 0 {
				during = append(during, b.report().Running)
			}
		})
		// Eight tokens take 80 ms, a thousand of them ten seconds.
		if diff := cmp.Diff([]int{0, 1, 1, 1}, during); diff != "" {
			t.Error(diff)
		}
		if running := b.report().Running; running != 1 {
			t.Errorf("%d run right after the end, by the report", running)
		}
		time.Sleep(11 * time.Second)
		if running := b.report().Running; running != 0 {
			t.Errorf("%d run, by the report after its lag", running)
		}
	})
}

func TestCacheEventsHaveGaps(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{CacheGroups: 2}, func(b *bench) {
		groups := []string{"a", "b", "c", "d", "e", "f"}
		for sample, group := range groups {
			start := attempt(sample, 1)
			start.Group = group
			b.generate(start)
		}
		got := b.report().Groups
		// The cache holds e and f; that e came is the seventh event and is lost.
		if want := []string{"f"}; !slices.Equal(got, want) {
			t.Errorf("groups %v, expected %v", got, want)
		}
	})
}

func TestWeightsAreFetchedInTurn(t *testing.T) {
	onVirtualTime(t, standin.EngineOptions{}, func(b *bench) {
		options := standin.PlatformOptions{WeightsRate: 0.1}
		weights := standin.NewPlatform(options)
		b.pipes.serve(b.t, platformAddress, weights.Handler())
		client := b.pipes.platformClient(b.t, platformAddress)
		if err := client.PutWeights(b.t.Context(), model, 2, []byte("w")); err != nil {
			t.Fatal(err)
		}
		got, err := client.GetWeights(b.t.Context(), model, 2)
		if err != nil || string(got) != "w" {
			t.Errorf("first fetch: %q, %v", got, err)
		}
		begun := time.Now()
		b.startEngine("fetching:80", standin.EngineOptions{
			WeightsURL: "http://" + platformAddress,
			SwapTime:   time.Second,
			Dial:       b.pipes.dial,
		})
		load := order(1, 2)
		load.Address = "fetching:80"
		b.engine.Order(b.t.Context(), load)
		for {
			report := b.engine.Report(b.t.Context(), machine.PollBackend{Address: "fetching:80"})
			if report.Version == 2 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(begun); took < 10*time.Second || took > 12*time.Second {
			t.Errorf("the load took %v behind a store that gives one fetch in ten seconds", took)
		}
		load.Version = 9
		load.Fence.Epoch = 2
		b.engine.Order(b.t.Context(), load)
		time.Sleep(time.Hour)
		report := b.engine.Report(b.t.Context(), machine.PollBackend{Address: "fetching:80"})
		if report.Version != 2 || report.LoadError == "" {
			t.Errorf("after an order for weights that are not there: %+v", report)
		}
	})
}
