package overload

import (
	"fmt"
	"testing"
	"time"
)

var rejection = Sample{Rejected: true, Target: modelTarget, Utilization: -1}

// Guards against refusals for reasons that are no overload, and against evidence that is overlooked.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name   string
		sample Sample
		weight float64
		loaded bool
	}{
		{"rejection", rejection, 0, true},
		{"no queue", Sample{Target: modelTarget, Utilization: 0.9}, 1, false},
		{"short queue", Sample{Predicted: 75 * time.Millisecond, Target: modelTarget, Utilization: 2}, 1, false},
		{"longer queue", Sample{Predicted: 105 * time.Millisecond, Target: modelTarget, Utilization: 3}, 0.5, true},
		{"queue that makes requests late", Sample{Predicted: 140 * time.Millisecond, Target: modelTarget, Utilization: 5}, 0, true},
		{"rejection without a latency target", Sample{Rejected: true, Utilization: 5}, 0, false},
	}
	for _, c := range cases {
		throttle := NewThrottle(ThrottleOptions{})
		throttle.Observe(start, c.sample)
		if _, accepted, _ := throttle.Rates(start); accepted < c.weight/0.4-0.001 || accepted > c.weight/0.4+0.001 {
			t.Errorf("%s: %v accepted a second", c.name, accepted)
		}
		if throttle.Loaded(start.Add(999*time.Millisecond)) != c.loaded || throttle.Loaded(start.Add(time.Second)) {
			t.Errorf("%s: loaded %v", c.name, throttle.Loaded(start.Add(999*time.Millisecond)))
		}
		if utilization, known := throttle.Utilization(start); known != (c.sample.Utilization >= 0) || known && utilization != c.sample.Utilization {
			t.Errorf("%s: utilization %v, known %v", c.name, utilization, known)
		}
	}
}

// Guards against refusals because a single server rejects requests while others answer them, and against
// rejections by several servers, or by the only one, that are overlooked.
func TestRejectionsOfOneServerAreNoEvidence(t *testing.T) {
	cases := []struct {
		name   string
		others []Sample
		loaded bool
	}{
		{"nothing known of other servers", nil, true},
		{"answered before", []Sample{{Server: "a", Target: modelTarget, Utilization: -1}}, true},
		{"another one answers", []Sample{{Server: "b", Target: modelTarget, Utilization: -1}}, false},
		{"another one answers, and it did before", []Sample{
			{Server: "b", Target: modelTarget, Utilization: -1}, {Server: "a", Target: modelTarget, Utilization: -1},
		}, false},
		{"another one rejects", []Sample{
			{Server: "b", Target: modelTarget, Utilization: -1}, {Server: "c", Rejected: true, Target: modelTarget, Utilization: -1},
		}, true},
	}
	for _, c := range cases {
		throttle := NewThrottle(ThrottleOptions{})
		for _, other := range c.others {
			throttle.Observe(start, other)
		}
		now := start.Add(evidenceLifetime - time.Millisecond)
		throttle.Observe(now, Sample{Server: "a", Rejected: true, Target: modelTarget, Utilization: -1})
		if got := throttle.evidenceAt.Equal(now); got != c.loaded {
			t.Errorf("%s: evidence %v, want %v", c.name, got, c.loaded)
		}
	}
	throttle := NewThrottle(ThrottleOptions{})
	throttle.Observe(start, Sample{Server: "a", Rejected: true, Target: modelTarget, Utilization: -1})
	throttle.Observe(start, Sample{Server: "a", Target: modelTarget, Utilization: -1})
	if !throttle.Loaded(start) {
		t.Error("an answer of the same server discards a rejection")
	}
	if throttle.Observe(start, Sample{Server: "b", Target: modelTarget, Utilization: -1}); throttle.Loaded(start) {
		t.Error("an answer of another server does not discard a rejection")
	}
	throttle = NewThrottle(ThrottleOptions{})
	throttle.Observe(start, Sample{Server: "b", Target: modelTarget, Utilization: -1})
	throttle.Observe(start.Add(answerLifetime), Sample{Server: "a", Rejected: true, Target: modelTarget, Utilization: -1})
	if !throttle.Loaded(start.Add(answerLifetime)) {
		t.Error("an old answer of another server counts")
	}
}

// Guards against a share that probes for more or less than a tenth above the accepted requests, or
// that refuses some of a load that is accepted.
func TestRefusedShare(t *testing.T) {
	cases := []struct {
		accepted, rejected, refused int
		want                        float64
	}{{0, 1, 0, 0.5}, {10, 1, 0, 0}, {10, 9, 0, 0.4}, {10, 9, 30, 0.76}}
	for _, c := range cases {
		throttle := NewThrottle(ThrottleOptions{})
		for range c.accepted {
			throttle.Observe(start, Sample{Target: modelTarget, Utilization: -1})
		}
		if share := throttle.RefusedShare(start); share != 0 {
			t.Errorf("share %v without evidence", share)
		}
		for range c.rejected {
			throttle.Observe(start, rejection)
		}
		throttle.admittedAt = start
		for range c.refused {
			throttle.Admit(start, Request{}, 0.9999)
		}
		if share := throttle.RefusedShare(start); share < c.want-0.001 || share > c.want+0.001 {
			t.Errorf("%d accepted, %d rejected, %d refused: share %v, want %v", c.accepted, c.rejected, c.refused, share, c.want)
		}
	}
}

// Guards against a utilization that counts long after it was stated.
func TestUtilizationIsForgotten(t *testing.T) {
	throttle := NewThrottle(ThrottleOptions{})
	throttle.Observe(start, Sample{Utilization: 3})
	if utilization, known := throttle.Utilization(start.Add(500 * time.Millisecond)); !known || utilization < 2.99 {
		t.Errorf("after half a second: %v, known %v", utilization, known)
	}
	if utilization, known := throttle.Utilization(start.Add(time.Second)); known {
		t.Errorf("after a second: %v", utilization)
	}
}

// overloadedThrottle returns a throttle that refuses nearly everything.
func overloadedThrottle() *Throttle {
	throttle := NewThrottle(ThrottleOptions{})
	for range 100 {
		throttle.Observe(start, rejection)
	}
	return throttle
}

// Guards against refusals while a server has a free slot, and against a throttle that refuses
// everything for more than a second while there is evidence.
func TestAdmittedInSpiteOfOverload(t *testing.T) {
	const refusedDraw = 0.999
	throttle := overloadedThrottle()
	throttle.Admit(start, Request{}, 0)
	if decision := throttle.Admit(start, Request{}, refusedDraw); decision.Admitted {
		t.Fatal("the throttle refuses nothing")
	}
	if decision := throttle.Admit(start, Request{HasFreeSlot: true}, refusedDraw); !decision.Admitted {
		t.Error("refused although a server has a free slot")
	}
	admitted := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		throttle.Observe(start.Add(at), rejection)
		if throttle.Admit(start.Add(at), Request{Remaining: time.Second}, refusedDraw).Admitted {
			admitted++
		}
	}
	if admitted != 9 {
		t.Errorf("%d requests admitted in 10 s, want one a second", admitted)
	}
}

// Guards against callers that come back at once, all at the same time, or after their deadline.
func TestRetryAfter(t *testing.T) {
	cases := []struct {
		name               string
		refused, accepted  float64
		remaining          time.Duration
		shortest, jittered time.Duration
	}{
		{"little refused", 1, 20, time.Second, 50 * time.Millisecond, 75 * time.Millisecond},
		{"five times the service rate refused in 400 ms", 10, 20, 10 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond},
		{"at most a third of the remaining time with jitter", 1000, 1, 900 * time.Millisecond, 150 * time.Millisecond, 225 * time.Millisecond},
		{"at least 50 ms", 1000, 1, 60 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond},
		{"nothing accepted", 1, 0, time.Minute, 800 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		throttle := NewThrottle(ThrottleOptions{})
		throttle.refused, throttle.accepted, throttle.updatedAt = c.refused, c.accepted, start
		if got := throttle.RetryAfter(start, c.remaining, 0); got != c.shortest {
			t.Errorf("%s: %v, want %v", c.name, got, c.shortest)
		}
		if got := throttle.RetryAfter(start, c.remaining, 0.5); got != c.jittered {
			t.Errorf("%s, jittered: %v, want %v", c.name, got, c.jittered)
		}
	}
}

// Guards against counts that grow when two goroutines report their moments out of order.
func TestEarlierMomentIsHarmless(t *testing.T) {
	throttle := NewThrottle(ThrottleOptions{})
	throttle.Observe(start.Add(time.Second), rejection)
	throttle.Observe(start, rejection)
	if offered, _, _ := throttle.Rates(start); offered > 2/0.4 {
		t.Errorf("%v attempts a second", offered)
	}
}

// Guards against a request that is refused for an old or a single slow answer.
func TestTooLateIsJudgedByRecentAnswers(t *testing.T) {
	service := NewService(ServiceOptions{})
	for i := range minAnswers {
		if service.IsTooLate(start, "r", time.Millisecond) {
			t.Errorf("too late after %d answers", i)
		}
		service.ObserveAnswer(start, "r", time.Duration(40+i)*time.Millisecond)
	}
	if !service.IsTooLate(start.Add(time.Second), "r", 39*time.Millisecond) || service.IsTooLate(start.Add(time.Second), "r", 40*time.Millisecond) {
		t.Error("not judged by the fastest answer of 40 ms")
	}
	if service.IsTooLate(start.Add(2*recentPeriod), "r", time.Millisecond) {
		t.Error("judged by an answer that is two seconds old")
	}
}

// Guards against a request that is refused for the slow answers of another route, and against state
// that grows with each route that ever had a request.
func TestTooLateIsJudgedByRoute(t *testing.T) {
	service := NewService(ServiceOptions{})
	for range minAnswers {
		service.ObserveAnswer(start, "slow", time.Second)
		service.ObserveAnswer(start, "fast", 10*time.Millisecond)
	}
	for route, want := range map[string]bool{"slow": true, "fast": false, "unknown": false} {
		if got := service.IsTooLate(start, route, 100*time.Millisecond); got != want {
			t.Errorf("%s: too late %v", route, got)
		}
	}
	for i := range 100 {
		service.ObserveAnswer(start.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), time.Second)
	}
	if most := int(routeLifetime/time.Second) + 2; len(service.answers) > most {
		t.Errorf("%d routes are kept, at most %d had a request lately", len(service.answers), most)
	}
}

// Guards against hedges and retries that need a budget without load, and that need none under it.
func TestBudgetsOfAService(t *testing.T) {
	spend := func(service *Service, allow func() bool) int {
		for range 100 {
			service.Earn()
		}
		spent := 0
		for spent < 50 && allow() {
			spent++
		}
		return spent
	}
	cases := []struct {
		name         string
		sample       Sample
		hedges, free int
		retries      int
	}{
		{"unknown", Sample{Utilization: -1}, 50, 50, 50},
		{"lightly used", Sample{Utilization: 0.4}, 50, 50, 50},
		{"half used", Sample{Utilization: 0.5}, 10, 50, 10},
		{"overloaded", rejection, 0, 50, 10},
	}
	for _, c := range cases {
		service := NewService(ServiceOptions{})
		service.Throttle.Observe(start, c.sample)
		if got := spend(service, func() bool { return service.AllowHedge(start) }); got != c.hedges {
			t.Errorf("%s: %d hedges, want %d", c.name, got, c.hedges)
		}
		if got := spend(service, func() bool { return service.AllowRetry(start, true) }); got != c.free {
			t.Errorf("%s, another server free: %d retries, want %d", c.name, got, c.free)
		}
		if got := spend(service, func() bool { return service.AllowRetry(start, false) }); got != c.retries {
			t.Errorf("%s: %d retries, want %d", c.name, got, c.retries)
		}
	}
}
