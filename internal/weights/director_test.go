package weights_test

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/weights"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

// warmed returns a pool whose director has got over its takeover.
func warmed(size int) *testPool {
	p := newTestPool(size, weights.Parameters{})
	p.advance(weights.DefaultTakeoverWait + 2*pollEvery)
	return p
}

// TestVersionOnSixHundredEngines measures a whole wave at the target size.
func TestVersionOnSixHundredEngines(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*testPool)
		// within bounds the virtual time until the last engine has the version.
		within time.Duration
	}{
		{"without faults", func(*testPool) {}, 40 * time.Second},
		{"2% failed and 1% wrong swaps, 1% lost orders and answers", func(p *testPool) {
			p.failSwap, p.wrongSwap, p.loseOrder, p.loseAnswer = 0.02, 0.01, 0.01, 0.01
		}, 50 * time.Second},
		{"store at half the assumed rate", func(p *testPool) { p.storeRate = 10 }, 70 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := warmed(600)
			c.setup(p)
			p.newest = 2
			took, done := p.until(10*time.Minute, p.allOn(2))
			t.Logf("%v until all, lowest serving %d, lowest not loading %d, %d orders, %d refusals by the store",
				took, p.lowestServing, p.lowestIdle, p.count(), p.refusals)
			if !done || took > c.within {
				t.Errorf("took %v (done %v), want at most %v", took, done, c.within)
			}
			if floor := 450; p.lowestIdle < floor {
				t.Errorf("%d engines not loading, the floor is %d", p.lowestIdle, floor)
			}
		})
	}
}

func TestSmallPoolsSwapOneAtATime(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 11} {
		p := warmed(size)
		p.newest = 2
		took, done := p.until(5*time.Minute, p.allOn(2))
		atOnce := max(1, size/4)
		if !done || p.lowestServing < size-atOnce || p.lowestIdle < size-max(atOnce, (size+1)/2) {
			t.Errorf("%d engines: done %v, lowest serving %d, lowest not loading %d", size, done, p.lowestServing, p.lowestIdle)
		}
		t.Logf("%d engines: %v until all, lowest serving %d, lowest not loading %d", size, took, p.lowestServing, p.lowestIdle)
	}
}

func TestNeededEnginesStayInService(t *testing.T) {
	p := warmed(20)
	p.needed = 18
	p.newest = 2
	if _, done := p.until(5*time.Minute, p.allOn(2)); !done || p.lowestServing < 18 || p.lowestIdle < 10 {
		t.Errorf("done %v, lowest serving %d, lowest not loading %d", done, p.lowestServing, p.lowestIdle)
	}
}

// TestFetchesOverlap covers a pool whose fetches take long: engines serve while
// they fetch, so the next ones do not wait for the end of a load.
func TestFetchesOverlap(t *testing.T) {
	cases := []struct {
		size   int
		within time.Duration
	}{{9, 30 * time.Second}, {11, 34 * time.Second}}
	for _, c := range cases {
		p := warmed(c.size)
		for _, engine := range p.engines {
			engine.fetchTime = 10 * time.Second
		}
		p.newest = 2
		took, done := p.until(5*time.Minute, p.allOn(2))
		t.Logf("%d engines: %v until all, lowest serving %d", c.size, took, p.lowestServing)
		if !done || took > c.within {
			t.Errorf("%d engines: done %v after %v, want at most %v", c.size, done, took, c.within)
		}
		if floor := c.size - c.size/4; p.lowestServing < floor {
			t.Errorf("%d engines: %d served at the lowest, want %d", c.size, p.lowestServing, floor)
		}
	}
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	p := warmed(8)
	p.holds = false
	p.newest = 2
	p.advance(time.Minute)
	if p.count() != 0 {
		t.Errorf("%d orders", p.count())
	}
}

func TestUrgentEnginesGoFirstAndTheTailLast(t *testing.T) {
	p := warmed(12)
	// The zones are e000 to e002, e003 to e005, e006 to e008 and e009 to e011.
	p.demands["e007"] = weights.Demand{Bounded: true, Slack: 0, Tail: true}
	p.demands["e008"] = weights.Demand{Bounded: true, Slack: 1}
	p.demands["e000"] = weights.Demand{Bounded: true, Slack: 3, Tail: true}
	p.engines[1].report.Running = 9
	p.engines[9].report.Version = 0
	p.advance(2 * pollEvery)
	p.newest = 2
	p.until(5*time.Minute, p.allOn(2))
	order := firsts(p.given)
	first := map[cluster.BackendID]bool{order[0]: true, order[1]: true, order[2]: true}
	if !first["e009"] || !first["e007"] || !first["e008"] {
		t.Errorf("order %v", order)
	}
	if order[11] != "e000" {
		t.Errorf("the tail is at %v", order)
	}
	if busy := indexOf(order, "e001"); busy < indexOf(order, "e002") {
		t.Errorf("the busy engine of the zone goes before an idle one: %v", order)
	}
}

// firsts returns the first mention of each engine.
func firsts(given []cluster.BackendID) []cluster.BackendID {
	var order []cluster.BackendID
	for _, id := range given {
		if !contains(order, id) {
			order = append(order, id)
		}
	}
	return order
}

func contains(list []cluster.BackendID, id cluster.BackendID) bool { return indexOf(list, id) >= 0 }

func indexOf(list []cluster.BackendID, id cluster.BackendID) int {
	for i, known := range list {
		if known == id {
			return i
		}
	}
	return -1
}

func TestTailIsSparedForAWhileUnlessItIsUrgent(t *testing.T) {
	p := warmed(2)
	p.demands["e000"] = weights.Demand{Bounded: true, Slack: 2, Tail: true}
	p.demands["e001"] = weights.Demand{Bounded: true, Slack: 0, Tail: true}
	p.newest = 2
	p.advance(weights.DefaultTailWait - 2*pollEvery)
	if len(p.orders["e001"]) != 1 || len(p.orders["e000"]) != 0 {
		t.Errorf("orders %v", p.orders)
	}
	if _, done := p.until(time.Minute, p.allOn(2)); !done {
		t.Error("the tail is spared for ever")
	}
}

func TestRefusedOrdersSlowThePoolDown(t *testing.T) {
	p := warmed(200)
	p.refuse = true
	p.newest = 2
	p.advance(time.Minute)
	if count := p.count(); count > 300 {
		t.Errorf("%d orders in a minute of refusals", count)
	}
	p.refuse = false
	if _, done := p.until(3*time.Minute, p.allOn(2)); !done {
		t.Error("not done")
	}
}

func TestWaveTakesTheZonesInTurn(t *testing.T) {
	p := warmed(80)
	p.newest = 2
	p.until(time.Minute, func() bool { return p.count() >= 20 })
	perZone := map[cluster.ZoneName]int{}
	for _, engine := range p.reports {
		perZone[engine.Zone] += len(p.orders[engine.ID])
	}
	for _, zone := range zones {
		if count := perZone[zone]; count < 4 || count > 6 {
			t.Errorf("zone %s got %d of 20 orders: %v", zone, count, perZone)
		}
	}
}

// ordersOnce fails for engines that were ordered more than once.
func ordersOnce(t *testing.T, p *testPool) {
	t.Helper()
	for _, engine := range p.engines {
		if orders := p.orders[engine.id]; len(orders) > 1 {
			t.Errorf("%s was ordered %d times: %+v", engine.id, len(orders), orders)
		}
	}
}

func TestNewDirectorDoesNotRepeatWhatIsLoading(t *testing.T) {
	for _, every := range []time.Duration{pollEvery, 4 * time.Second} {
		p := warmed(40)
		p.newest = 2
		p.until(time.Minute, p.allOn(2))
		p.pollEvery = every
		p.advance(every)
		clear(p.orders)
		p.newest = 3
		p.until(time.Minute, func() bool { return p.count() > 4 })
		p.epoch = 9
		p.newDirector(weights.Parameters{})
		before := p.count()
		p.advance(weights.DefaultTakeoverWait - machine.TickInterval)
		if p.count() != before {
			t.Errorf("%d orders before the wait is over", p.count()-before)
		}
		if _, done := p.until(2*time.Minute, p.allOn(3)); !done {
			t.Error("not done")
		}
		ordersOnce(t, p)
	}
}

func TestNewPoolIsLoadedWithoutWaiting(t *testing.T) {
	p := newTestPool(9, weights.Parameters{})
	for _, engine := range p.engines {
		engine.report.Version = 0
	}
	if took, done := p.until(time.Minute, p.allOn(1)); !done || took > 2*pollEvery+fetchTime+swapTime {
		t.Errorf("done %v after %v", done, took)
	}
	ordersOnce(t, p)
}

func TestLostAnswerIsNotOrderedTwice(t *testing.T) {
	p := warmed(40)
	p.loseAnswer = 1
	p.newest = 2
	if _, done := p.until(2*time.Minute, p.allOn(2)); !done {
		t.Error("not done")
	}
	ordersOnce(t, p)
}

func TestOrderThatNoReportShowsIsGivenAgain(t *testing.T) {
	p := warmed(1)
	p.newest = 2
	// The order and its answer are lost without a word to the director.
	p.swallow = true
	p.until(time.Minute, func() bool { return p.count() == 1 })
	p.swallow = false
	took, done := p.until(2*time.Minute, p.allOn(2))
	if limit := weights.DefaultOrderTimeout + 4*pollEvery + fetchTime + swapTime; !done || took > limit {
		t.Errorf("done %v after %v, want at most %v", done, took, limit)
	}
}

func TestOldDirectorStopsWhenItSeesAHigherEpoch(t *testing.T) {
	p := warmed(8)
	for _, engine := range p.engines[:1] {
		engine.report.LastFence = machine.Fence{Epoch: 6, Sequence: 1}
	}
	p.advance(2 * pollEvery)
	p.newest = 2
	p.advance(time.Minute)
	if p.count() != 0 {
		t.Errorf("%d orders after a higher epoch was seen", p.count())
	}
	p.epoch = 7
	if _, done := p.until(time.Minute, p.allOn(2)); !done {
		t.Error("the director does not go on under a higher epoch")
	}
}

func TestSequenceIsRaisedAboveTheEnginesFence(t *testing.T) {
	p := warmed(4)
	p.newest = 2
	for _, engine := range p.engines {
		engine.report.LastFence = machine.Fence{Epoch: uint64(p.epoch), Sequence: 70}
	}
	if _, done := p.until(time.Minute, p.allOn(2)); !done {
		t.Error("not done")
	}
}

func TestUnintendedVersionsAreCorrected(t *testing.T) {
	cases := []struct {
		name    string
		version cluster.Version
		within  time.Duration
	}{
		{"earlier", 3, 15 * time.Second},
		{"later, by a stranger's hand", 77, weights.DefaultUnintendedWait + 15*time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := warmed(8)
			p.newest = 5
			p.until(time.Minute, p.allOn(5))
			p.engines[3].report.Version = c.version
			p.engines[3].report.LastFence.Sequence += 100
			if took, done := p.until(time.Minute, p.allOn(5)); !done || took > c.within {
				t.Errorf("done %v after %v", done, took)
			}
		})
	}
}

func TestEngineAheadOfThisNodeIsLeftAlone(t *testing.T) {
	p := warmed(8)
	p.engines[3].report.Version = 2
	p.advance(weights.DefaultUnintendedWait - 2*pollEvery)
	if orders := p.orders["e003"]; len(orders) != 0 {
		t.Fatalf("ordered back to %d", orders[0].Version)
	}
	p.newest = 2
	p.until(time.Minute, p.allOn(2))
	if len(p.orders["e003"]) != 0 {
		t.Error("the engine with the newest version was ordered to load it")
	}
}

func TestFailedSwapIsOrderedAgainWithAHigherFence(t *testing.T) {
	p := warmed(1)
	p.failSwap = 1
	p.newest = 2
	p.advance(5 * time.Minute)
	// With a load of 4 s and a backoff of up to 20 s.
	if count := p.count(); count > 20 {
		t.Errorf("%d orders in 5 minutes of failures", count)
	}
	p.failSwap = 0
	if _, done := p.until(time.Minute, p.allOn(2)); !done {
		t.Fatal("not done")
	}
	orders := p.orders["e000"]
	if len(orders) < 2 {
		t.Fatalf("%d orders", len(orders))
	}
	for i := 1; i < len(orders); i++ {
		if !orders[i-1].Fence.Less(orders[i].Fence) {
			t.Errorf("fence %v after %v", orders[i].Fence, orders[i-1].Fence)
		}
	}
}

func TestHungLoadDoesNotHoldUpTheOthers(t *testing.T) {
	p := warmed(4)
	p.engines[2].hung = true
	p.newest = 2
	others := func() bool {
		for i, engine := range p.engines {
			if i != 2 && engine.report.Version != 2 {
				return false
			}
		}
		return true
	}
	took, done := p.until(3*time.Minute, others)
	if limit := weights.DefaultSlowLoad + 4*(fetchTime+swapTime+pollEvery); !done || took > limit {
		t.Errorf("done %v after %v, want at most %v", done, took, limit)
	}
}

func TestStoreThatHangsDoesNotTakeTheWholePool(t *testing.T) {
	p := warmed(8)
	for _, engine := range p.engines {
		engine.hung = true
	}
	p.newest = 2
	p.advance(10 * time.Minute)
	if p.lowestIdle < 4 {
		t.Errorf("%d of 8 engines were not loading at the lowest", p.lowestIdle)
	}
}

func TestHungLoadOfAnOwnOrderIsOrderedAgain(t *testing.T) {
	p := warmed(4)
	p.engines[2].hung = true
	p.newest = 2
	p.until(time.Minute, func() bool { return len(p.orders["e002"]) == 1 })
	p.engines[2].hung = false
	p.engines[2].fetched = start.Add(time.Hour)
	took, done := p.until(3*time.Minute, p.allOn(2))
	if limit := weights.DefaultLoadTimeout + 10*time.Second; !done || took > limit {
		t.Errorf("done %v after %v", done, took)
	}
}

func TestHungLoadIsOrderedAgain(t *testing.T) {
	p := warmed(4)
	p.engines[2].report.Loading = 9
	p.engines[2].fetched = start.Add(time.Hour)
	p.newest = 2
	if took, done := p.until(3*time.Minute, p.allOn(2)); !done || took < weights.DefaultLoadTimeout/2 {
		t.Errorf("done %v after %v", done, took)
	}
}

func TestPlannedLoads(t *testing.T) {
	p := warmed(4)
	at := p.now.Add(10 * time.Second)
	p.planned = []record.LoadVersion{
		{Engine: "e001", Model: "minutes", Version: 1, At: at},
		{Engine: "e002", Model: "captions", Version: 3, At: at},
	}
	p.advance(9 * time.Second)
	if p.count() != 0 {
		t.Fatalf("%d orders before the time", p.count())
	}
	p.advance(20 * time.Second)
	if orders := p.orders["e001"]; len(orders) != 1 || orders[0].Model != "minutes" {
		t.Errorf("orders of e001: %+v", orders)
	}
	if orders := p.orders["e002"]; len(orders) != 1 || orders[0].Version != 3 {
		t.Errorf("orders of e002: %+v", orders)
	}
	if p.count() != 2 {
		t.Errorf("%d orders", p.count())
	}
}

// TestPoolConverges runs faults and changes of the director; the rules on orders
// hold throughout, and once the faults end all engines have the newest version.
func TestPoolConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := warmed(rapid.IntRange(1, 24).Draw(t, "engines"))
		p.failSwap = rapid.Float64Range(0, 0.3).Draw(t, "fail")
		p.wrongSwap = rapid.Float64Range(0, 0.3).Draw(t, "wrong")
		p.loseOrder = rapid.Float64Range(0, 0.3).Draw(t, "lose order")
		p.loseAnswer = rapid.Float64Range(0, 0.3).Draw(t, "lose answer")
		p.storeRate = rapid.Float64Range(0.5, 20).Draw(t, "store rate")
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.newest++
			case 1:
				p.epoch += 3
				p.newDirector(weights.Parameters{})
			case 2:
				p.holds = !p.holds
			default:
				engine := p.engines[rapid.IntRange(0, len(p.engines)-1).Draw(t, "engine")]
				engine.dead = !engine.dead
			}
			p.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ticks")) * machine.TickInterval)
		}
		p.failSwap, p.wrongSwap, p.loseOrder, p.loseAnswer, p.holds = 0, 0, 0, 0, true
		if _, done := p.until(5*time.Minute, p.allOn(p.newest)); !done {
			t.Fatalf("not all engines have version %d", p.newest)
		}
		for id, orders := range p.orders {
			for i := 1; i < len(orders); i++ {
				if !orders[i-1].Fence.Less(orders[i].Fence) {
					t.Fatalf("%s: fence %v after %v", id, orders[i].Fence, orders[i-1].Fence)
				}
				if orders[i].Version < orders[i-1].Version {
					t.Fatalf("%s: version %d ordered after %d", id, orders[i].Version, orders[i-1].Version)
				}
			}
		}
	})
}

// BenchmarkLook measures one look at a pool of 600 engines with nothing to do.
func BenchmarkLook(b *testing.B) {
	p := warmed(600)
	b.ReportAllocs()
	for b.Loop() {
		p.now = p.now.Add(weights.DefaultInterval)
		p.director.Tick(p.now)
	}
}

// A director that loses its lease and regains it under the same epoch gives no
// fence twice, though no engine has seen its last ones.
func TestRegainedLeaseGoesOnWithItsFences(t *testing.T) {
	p := warmed(4)
	p.loseOrder = 1
	p.newest = 2
	p.advance(time.Minute)
	p.holds = false
	p.advance(machine.TickInterval)
	p.holds, p.loseOrder = true, 0
	if _, done := p.until(5*time.Minute, p.allOn(2)); !done {
		t.Fatal("not all engines have version 2")
	}
	seen := make(map[machine.Fence]bool)
	for id, orders := range p.orders {
		for i, order := range orders {
			if seen[order.Fence] || i > 0 && !orders[i-1].Fence.Less(order.Fence) {
				t.Errorf("%s: fence %v was used before", id, order.Fence)
			}
			seen[order.Fence] = true
		}
	}
}
