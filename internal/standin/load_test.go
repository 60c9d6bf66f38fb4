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

func newOrder(epoch uint64, version cluster.Version) machine.OrderEngine {
	return machine.OrderEngine{
		Engine:  "e1",
		Address: engineAddress,
		Fence:   machine.Fence{Epoch: epoch, Sequence: 1},
		Model:   model,
		Version: version,
	}
}

func TestSwapDuringStream(t *testing.T) {
	options := standin.EngineOptions{Version: 1, SwapTime: time.Minute}
	withEngine(t, options, func(b *engineFixture) {
		sendOrder := sync.OnceFunc(func() {
			if result := b.engine.Order(b.t.Context(), newOrder(1, 2)); !result.Accepted {
				t.Errorf("order: %+v", result)
			}
		})
		start := newAttempt(0, 200)
		got := b.generateWithHook(start, func(machine.AttemptChunk) { sendOrder() })
		if got.end.Reason != machine.EndComplete || got.text != fullText(start) {
			t.Errorf("ended %+v", got.end)
		}
		if diff := cmp.Diff([]cluster.Version{1, 2}, got.versions); diff != "" {
			t.Error(diff)
		}
		if got.duration < time.Minute {
			t.Errorf("generation was not paused during the swap: duration %v", got.duration)
		}
	})
}

func TestStaleFenceIsRejected(t *testing.T) {
	withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
		steps := []struct {
			name            string
			order           machine.OrderEngine
			accepted, stale bool
		}{
			{name: "first", order: newOrder(5, 2), accepted: true},
			{name: "same order again after a lost response", order: newOrder(5, 2), accepted: true},
			{name: "lower epoch", order: newOrder(4, 3), stale: true},
			{name: "higher epoch during the load", order: newOrder(6, 4), accepted: true},
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
			withEngine(t, standin.EngineOptions{Version: 3}, func(b *engineFixture) {
				b.post(engineAddress, "/faults", newFault(test.fault, "1"))
				b.engine.Order(b.t.Context(), newOrder(1, 7))
				time.Sleep(time.Hour)
				report := b.report()
				if report.Version != test.version || (report.LoadError != "") != test.failed {
					t.Errorf("after the fault: %+v", report)
				}
				b.engine.Order(b.t.Context(), newOrder(2, 7))
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
	withEngine(t, options, func(b *engineFixture) {
		time.Sleep(time.Minute)
		var runningCounts []int
		start := newAttempt(0, 4000)
		b.generateWithHook(start, func(chunk machine.AttemptChunk) {
			if chunk.FromToken%1000 == 0 {
				runningCounts = append(runningCounts, b.report().Running)
			}
		})
		// Eight tokens take 80 ms, 1000 tokens take 10 s.
		if diff := cmp.Diff([]int{0, 1, 1, 1}, runningCounts); diff != "" {
			t.Error(diff)
		}
		if running := b.report().Running; running != 1 {
			t.Errorf("report right after the end has %d running requests, want 1", running)
		}
		time.Sleep(11 * time.Second)
		if running := b.report().Running; running != 0 {
			t.Errorf("report after the lag has %d running requests, want 0", running)
		}
	})
}

func TestCacheEventsHaveGaps(t *testing.T) {
	withEngine(t, standin.EngineOptions{CacheGroups: 2}, func(b *engineFixture) {
		groups := []string{"a", "b", "c", "d", "e", "f"}
		for sample, group := range groups {
			start := newAttempt(sample, 1)
			start.Group = group
			b.generate(start)
		}
		got := b.report().Groups
		// The cache holds e and f; storing e is the seventh event, which is dropped.
		if want := []string{"f"}; !slices.Equal(got, want) {
			t.Errorf("groups %v, want %v", got, want)
		}
	})
}

func TestWeightFetchIsRateLimited(t *testing.T) {
	withEngine(t, standin.EngineOptions{}, func(b *engineFixture) {
		options := standin.PlatformOptions{WeightsRate: 0.1}
		store := standin.NewPlatform(options)
		b.network.serve(b.t, platformAddress, store.Handler())
		client := b.network.platformClient(b.t, platformAddress)
		if err := client.PutWeights(b.t.Context(), model, 2, []byte("w")); err != nil {
			t.Fatal(err)
		}
		got, err := client.GetWeights(b.t.Context(), model, 2)
		if err != nil || string(got) != "w" {
			t.Errorf("first fetch: %q, %v", got, err)
		}
		started := time.Now()
		b.startEngine("fetching:80", standin.EngineOptions{
			WeightsURL: "http://" + platformAddress,
			SwapTime:   time.Second,
			Dial:       b.network.dial,
		})
		loadOrder := newOrder(1, 2)
		loadOrder.Address = "fetching:80"
		b.engine.Order(b.t.Context(), loadOrder)
		for {
			report := b.engine.Report(b.t.Context(), machine.PollBackend{Address: "fetching:80"})
			if report.Version == 2 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(started); took < 10*time.Second || took > 12*time.Second {
			t.Errorf("load duration %v with a store limited to one fetch in ten seconds", took)
		}
		loadOrder.Version = 9
		loadOrder.Fence.Epoch = 2
		b.engine.Order(b.t.Context(), loadOrder)
		time.Sleep(time.Hour)
		report := b.engine.Report(b.t.Context(), machine.PollBackend{Address: "fetching:80"})
		if report.Version != 2 || report.LoadError == "" {
			t.Errorf("after an order for missing weights: %+v", report)
		}
	})
}
