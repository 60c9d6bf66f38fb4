package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/overload"
	"dalehook/internal/routetable"
)

// overloadFixture is a gateway in front of five servers.
type overloadFixture struct {
	gateway *Gateway
	list    *directory.Directory
	route   *routetable.Route
	backend *scriptedBackend

	mutex    sync.Mutex
	outcomes []Outcome
}

func newOverloadFixture(kind routetable.Kind, options OverloadOptions, response responseFunc) *overloadFixture {
	f := &overloadFixture{
		list:    directory.NewDirectory(),
		backend: &scriptedBackend{responses: []responseFunc{response}},
		route: &routetable.Route{
			Name: "r", Kind: kind, MaxAttempts: 3, LatencyTarget: 100 * time.Millisecond,
			Targets: []routetable.Target{{Service: "svc", Weight: 1}},
		},
	}
	for i := range 5 {
		put := directory.Server{ID: fmt.Sprint("s", i), Service: "svc", Slots: 6}
		f.list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
	}
	f.gateway = NewGateway(Options{
		Backend: f.backend, Directory: f.list, Logger: zap.NewNop(), Overload: options,
		Observe: func(outcome Outcome) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.outcomes = append(f.outcomes, outcome)
		},
	})
	return f
}

// send sends a request and returns its response and outcome.
func (f *overloadFixture) send(remaining time.Duration) (*httptest.ResponseRecorder, Outcome) {
	table := routetable.NewTable(1, []routetable.Route{*f.route}, nil, routetable.Limits{})
	recorder := httptest.NewRecorder()
	now := clock.Now()
	f.gateway.Serve(context.Background(), recorder, table, f.route, &Request{
		ID: "id", Method: http.MethodPost, Target: "/p", Received: now, Deadline: now.Add(remaining),
	})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return recorder, f.outcomes[len(f.outcomes)-1]
}

// addOverload adds evidence of overload for which the throttle refuses the given share of requests.
func (f *overloadFixture) addOverload(share float64) {
	const attempts = 1000
	service := f.gateway.services.get("svc")
	service.mutex.Lock()
	defer service.mutex.Unlock()
	now := clock.Now()
	for i := range attempts {
		service.state.Throttle.Observe(now, overload.Sample{
			Server: fmt.Sprint("s", i%5), Rejected: float64(i) >= (1-share)*attempts, Target: f.route.LatencyTarget, Utilization: -1,
		})
	}
}

// respondWithLoad responds after a time, and states a load.
func respondWithLoad(after time.Duration, load Load) responseFunc {
	return func(context.Context, Attempt) (*Response, *SendError) {
		time.Sleep(after)
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Length: 2, Load: &load}, nil
	}
}

// Guards against a budget that denies hedges while there is no load: a server of five that hangs
// makes up to a fifth of all requests need one.
func TestHangingServerAmongIdleOnesCostsNoRequests(t *testing.T) {
	for name, answer := range map[string]responseFunc{
		"load stated": respondWithLoad(time.Millisecond, Load{Running: 1, Slots: 6}), "load not stated": respondWith(200, "ok"),
	} {
		f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
			if attempt.Server.ID == "s0" {
				return hang(ctx, attempt)
			}
			return answer(ctx, attempt)
		})
		const requests = 300
		var running sync.WaitGroup
		for i := range requests {
			running.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				f.send(5 * time.Second)
			})
		}
		running.Wait()
		failed, hedges, denied := 0, 0, 0
		for _, outcome := range f.outcomes {
			hedges += outcome.Hedges
			denied += outcome.DeniedHedges
			if outcome.Status != http.StatusOK {
				failed++
			}
		}
		if len(f.outcomes) != requests || failed > requests/100 || hedges == 0 || denied > 0 {
			t.Errorf("%s: %d of %d requests failed, %d hedges, %d denied", name, failed, len(f.outcomes), hedges, denied)
		}
	}
}

// Guards against refusals and denied retries because one server rejects all requests while the others are
// idle. It is chosen first, since its unknown latency is assumed to be shorter than that of the others.
func TestRejectingServerAmongIdleOnesCostsNoRequests(t *testing.T) {
	answer := respondWith(200, "ok")
	for name, gap := range map[string]time.Duration{"many requests": 5 * time.Millisecond, "few requests": 100 * time.Millisecond} {
		f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
			if attempt.Server.ID == "s0" {
				return respondNotExecuted(ctx, attempt)
			}
			time.Sleep(2 * initialLatency)
			return answer(ctx, attempt)
		})
		// Answers come before a hedge is due.
		f.route.LatencyTarget = time.Second
		f.send(5 * time.Second)
		const requests = 30
		var running sync.WaitGroup
		for i := range requests {
			running.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				f.send(5 * time.Second)
			})
		}
		running.Wait()
		for _, outcome := range f.outcomes {
			if outcome.Status != http.StatusOK {
				t.Errorf("%s: %+v", name, outcome)
			}
		}
		if attempts := f.backend.attemptCount(); attempts > requests*3/2 {
			t.Errorf("%s: %d attempts for %d requests", name, attempts, requests+1)
		}
	}
}

// Guards against hedges that add load to overloaded servers.
func TestNoHedgeUnderOverload(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWithLoad(80*time.Millisecond, Load{Running: 6, Slots: 6}))
	for range 5 {
		f.addOverload(0.05)
		if recorder, outcome := f.send(10 * time.Second); recorder.Code != http.StatusOK || outcome.Hedges != 0 || outcome.DeniedHedges != 1 {
			t.Errorf("status %d, outcome %+v", recorder.Code, outcome)
		}
	}
	if count := f.backend.attemptCount(); count != 5 {
		t.Errorf("%d attempts for 5 requests", count)
	}
}

// Guards against refused requests that are sent nonetheless, refusals without Retry-After, and refusals
// after the overload.
func TestRefusedRequestIsNotSent(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe, routetable.KindStream} {
		f := newOverloadFixture(kind, OverloadOptions{}, respondWith(200, eventOne))
		f.addOverload(1)
		const requests = 100
		sent := 0
		for range requests {
			before := f.backend.attemptCount()
			recorder, outcome := f.send(3 * time.Second)
			if recorder.Code == http.StatusOK {
				sent++
				continue
			}
			after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
			if recorder.Code != http.StatusServiceUnavailable || outcome.Reason != ReasonOverloaded || outcome.Service != "svc" ||
				err != nil || after < 0.05 || after > 1 {
				t.Fatalf("%v: status %d, Retry-After %q, outcome %+v", kind, recorder.Code, recorder.Header().Get("Retry-After"), outcome)
			}
			if outcome.Attempts != 0 || f.backend.attemptCount() != before {
				t.Fatalf("%v: a refused request was sent", kind)
			}
		}
		if sent > requests/5 {
			t.Errorf("%v: %d of %d requests were sent", kind, sent, requests)
		}
		states := f.gateway.Overload(clock.Now())
		if len(states) != 1 || states[0].Service != "svc" || states[0].RefusedShare < 0.5 || states[0].EvidenceAge < 0 || states[0].Offered == 0 {
			t.Errorf("%v: state %+v", kind, states)
		}
		afterRecovery(t, f, kind)
	}
}

// afterRecovery checks that nothing is refused a second after the last evidence.
func afterRecovery(t *testing.T, f *overloadFixture, kind routetable.Kind) {
	t.Helper()
	clock.AddSuspension(time.Second)
	defer clock.AddSuspension(-time.Second)
	for range 50 {
		if recorder, outcome := f.send(3 * time.Second); recorder.Code != http.StatusOK {
			t.Fatalf("%v: status %d a second after the last evidence, %+v", kind, recorder.Code, outcome)
		}
	}
}

// Guards against refusals where there is no reason for them: a server has a free slot, the request is
// internal, the route has no latency target, or the protection is off.
func TestNotRefusedUnderOverload(t *testing.T) {
	// A stated load would make a free slot known, which is a reason of its own.
	answer := respondWith(200, "ok")
	cases := []struct {
		name    string
		options OverloadOptions
		change  func(f *overloadFixture)
	}{
		{"free slot", OverloadOptions{}, func(f *overloadFixture) {
			server := f.list.Snapshot().Ready("svc")[2]
			f.gateway.balancer.recordLoad(clock.Now(), server, Load{Running: 1, Slots: 6}, false)
		}},
		{"no latency target", OverloadOptions{}, func(f *overloadFixture) { f.route.LatencyTarget = 0 }},
		{"off", OverloadOptions{Off: true}, func(*overloadFixture) {}},
	}
	for _, c := range cases {
		f := newOverloadFixture(routetable.KindSafe, c.options, answer)
		f.addOverload(1)
		for range 50 {
			c.change(f)
			if recorder, outcome := f.send(3 * time.Second); recorder.Code != http.StatusOK {
				t.Fatalf("%s: status %d, %+v", c.name, recorder.Code, outcome)
			}
		}
	}
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondSigned(200, "ok"))
	f.addOverload(1)
	for range 50 {
		result := f.gateway.SendInternal(context.Background(), InternalRequest{
			Request: &Request{ID: "id", Received: clock.Now(), Deadline: clock.Now().Add(3 * time.Second)}, Route: f.route, Service: "svc",
		})
		if result.Signature == "" {
			t.Fatalf("internal request: %+v", result)
		}
	}
}

// Guards against retries that multiply the load of servers which reject requests, and against a
// refusal after a rejection that has no Retry-After.
func TestRetriesAfterRejectionsAreBounded(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindUnsafe, routetable.KindStream} {
		f := newOverloadFixture(kind, OverloadOptions{RetryShare: 0.5}, respondNotExecuted)
		f.addOverload(0.05)
		retries, denied := 0, 0
		const requests = 60
		for range requests {
			recorder, outcome := f.send(3 * time.Second)
			retries += outcome.Retries
			denied += outcome.DeniedRetries
			if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
				t.Fatalf("%v: status %d, Retry-After %q", kind, recorder.Code, recorder.Header().Get("Retry-After"))
			}
			if outcome.DeniedRetries > 0 && outcome.Reason != ReasonRetryBudget {
				t.Fatalf("%v: %+v", kind, outcome)
			}
		}
		if retries < 5 || retries > requests/2+3 || denied == 0 || f.backend.attemptCount() > requests+retries {
			t.Errorf("%v: %d retries, %d denied, %d attempts for %d requests", kind, retries, denied, f.backend.attemptCount(), requests)
		}
	}
}

// Guards against requests that are sent although they can't be answered in time.
func TestRequestThatIsTooLateIsRefused(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWithLoad(30*time.Millisecond, Load{Running: 1, Slots: 6}))
	for range 5 {
		f.send(10 * time.Second)
	}
	recorder, outcome := f.send(20 * time.Millisecond)
	if recorder.Code != http.StatusServiceUnavailable || outcome.Reason != ReasonTooLate || outcome.Attempts != 0 {
		t.Errorf("status %d, outcome %+v", recorder.Code, outcome)
	}
	if got := recorder.Header().Get("Retry-After"); got != "0.05" {
		t.Errorf("Retry-After %q", got)
	}
}

// Guards against requests that count as too late because those of a route without a latency target,
// which may be of another kind, take longer.
func TestTooLateIsNotJudgedByRoutesWithoutLatencyTarget(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWithLoad(30*time.Millisecond, Load{Running: 1, Slots: 6}))
	target := f.route.LatencyTarget
	f.route.LatencyTarget = 0
	for range 5 {
		f.send(10 * time.Second)
	}
	f.route.LatencyTarget = target
	if _, outcome := f.send(20 * time.Millisecond); outcome.Reason == ReasonTooLate {
		t.Errorf("%+v", outcome)
	}
}

// Guards against requests that count as too late because those of another route of the service take
// longer.
func TestTooLateIsJudgedByRoute(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWithLoad(30*time.Millisecond, Load{Running: 1, Slots: 6}))
	for range 5 {
		f.send(10 * time.Second)
	}
	f.route.Name = "other"
	if _, outcome := f.send(20 * time.Millisecond); outcome.Reason == ReasonTooLate {
		t.Errorf("%+v", outcome)
	}
	f.route.Name = "r"
	if _, outcome := f.send(20 * time.Millisecond); outcome.Reason != ReasonTooLate {
		t.Errorf("%+v", outcome)
	}
}

// Guards against an attempt that counts towards this node's limit forever, and keeps the state of its
// server, after the body of an error response to a request for a stream broke off.
func TestBrokenErrorResponseToStreamRequestEndsAttempt(t *testing.T) {
	f := newOverloadFixture(routetable.KindStream, OverloadOptions{}, func(context.Context, Attempt) (*Response, *SendError) {
		return &Response{Status: http.StatusNotFound, Header: http.Header{}, Body: io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF)), Length: 2}, nil
	})
	func() {
		defer func() {
			if recovered := recover(); recovered != http.ErrAbortHandler {
				t.Errorf("recovered %v", recovered)
			}
		}()
		f.send(time.Second)
	}()
	for _, server := range f.list.Snapshot().Ready("svc") {
		if open := f.gateway.balancer.state(server).load.Limiter.InFlight(); open != 0 {
			t.Errorf("%d requests are open at %s", open, server.ID)
		}
	}
	if len(f.outcomes) != 1 || f.outcomes[0].Status != 0 {
		t.Errorf("outcomes %+v", f.outcomes)
	}
}

// Guards against requests that wait for, or are sent to, a server at this node's limit while another
// is below its own, and against a limit that makes a request wait.
func TestServerAtItsLimitIsPassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	full := &directory.Server{ID: "a", Service: "s", Slots: 2}
	slow := &directory.Server{ID: "b", Service: "s", Slots: 2}
	servers := []*directory.Server{full, slow}
	for _, unlimited := range []bool{false, true} {
		b := newOverloadFixture(routetable.KindSafe, OverloadOptions{Off: unlimited}, respondWith(200, "ok")).gateway.balancer
		b.recordSend(now, candidates{}, slow)
		b.recordResult(now, slow, attemptEnd{chosenAt: now, answered: true, latency: 5 * initialLatency})
		for range 2 {
			b.recordSend(now, candidates{}, full)
		}
		if got := b.choose(now, candidates{servers: servers}); (got == slow) == unlimited {
			t.Errorf("unlimited %v: chose %s", unlimited, got.ID)
		}
		for range 10 {
			if b.choose(now, candidates{servers: servers}) == nil {
				t.Fatal("no server was chosen")
			}
		}
	}
}

// Guards against a server choice that overload.off changes only in part. With overload.off the cost is
// (1 + load / slots) x average latency, whatever the queue, the age in flight, the time between
// samples, the limit and the last response.
func TestServerChoiceWhileOff(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newOverloadFixture(routetable.KindSafe, OverloadOptions{Off: true}, respondWith(200, "ok")).gateway.balancer
	server := &directory.Server{ID: "a", Service: "s", Slots: 4}
	check := func(step string, load int, latency time.Duration) {
		t.Helper()
		want := (1 + float64(load)/float64(server.Slots)) * latency.Seconds()
		if got := b.cost(now, server); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s: cost %v, want %v", step, got, want)
		}
	}
	record := func(latency time.Duration, load Load) {
		b.recordSend(now, candidates{}, server)
		b.recordResult(now, server, attemptEnd{chosenAt: now, answered: true, latency: latency, load: &load, loadAt: now})
	}
	record(100*time.Millisecond, Load{Running: 4, Waiting: 4, Slots: 4})
	check("with a queue", 9, 100*time.Millisecond)
	now = now.Add(10 * time.Second)
	record(200*time.Millisecond, Load{Slots: 4})
	check("10 s later", 1, 115*time.Millisecond)
	for range 5 {
		b.recordSend(now, candidates{}, server)
	}
	now = now.Add(10 * time.Second)
	check("above its slots for 10 s", 6, 115*time.Millisecond)
	b.recordResult(now, server, attemptEnd{chosenAt: now, rejected: true})
	check("after a rejection", 5, 115*time.Millisecond)
}

// Guards against state of services that are no longer listed.
func TestStateOfUnlistedServicesIsDropped(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWith(200, "ok"))
	f.send(time.Second)
	f.gateway.Prune()
	if states := f.gateway.Overload(clock.Now()); len(states) != 1 || states[0].EvidenceAge >= 0 {
		t.Errorf("while listed: %+v", states)
	}
	for i := range 5 {
		f.list.Apply([]directory.Change{{ID: fmt.Sprint("s", i)}})
	}
	f.gateway.Prune()
	if states := f.gateway.Overload(clock.Now()); len(states) != 0 {
		t.Errorf("afterwards: %+v", states)
	}
}

// Guards against a stream in flight whose age counts as service time, and against long streams that
// lower the limit of their server.
func TestLongStreamsDoNotLowerTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	server := &directory.Server{ID: "a", Service: "s", Slots: 6}
	b := newBalancer("n", "")
	b.recordSend(now, candidates{stream: true}, server)
	load := b.state(server).load
	if got := load.ServiceTime(now.Add(time.Minute), initialLatency); got != initialLatency {
		t.Errorf("service time %v with a stream that began a minute ago", got)
	}
	b.recordResult(now, server, attemptEnd{chosenAt: now, stream: true})
	record := func(stream bool, from time.Time, latency time.Duration) {
		for i := range 100 {
			at := from.Add(time.Duration(i) * 50 * time.Millisecond)
			for range server.Slots {
				b.recordSend(at, candidates{stream: stream}, server)
			}
			for range server.Slots {
				b.recordResult(at, server, attemptEnd{chosenAt: at, answered: true, latency: latency, stream: stream})
			}
		}
	}
	record(false, now, initialLatency)
	if record(true, now.Add(10*time.Second), time.Minute); load.Limiter.Limit() != server.Slots {
		t.Errorf("limit %d after long streams", load.Limiter.Limit())
	}
}

// Guards against one long stream, or one long request without a latency target, that replaces the average
// service time of its server once it has ended.
func TestLongAnswersDoNotReplaceTheServiceTime(t *testing.T) {
	for _, end := range []attemptEnd{{stream: true}, {noTarget: true}} {
		now := time.Unix(1000, 0)
		server := &directory.Server{ID: "a", Service: "s", Slots: 6}
		b := newBalancer("n", "")
		record := func(at time.Time, ended attemptEnd, latency time.Duration) {
			b.recordSend(at, candidates{stream: ended.stream, noTarget: ended.noTarget}, server)
			ended.chosenAt, ended.answered, ended.latency = at, true, latency
			b.recordResult(at, server, ended)
		}
		record(now, attemptEnd{}, 25*time.Millisecond)
		record(now.Add(time.Minute), end, 30*time.Second)
		if got := b.state(server).load.ServiceTime(now.Add(time.Minute), 0); got > 5*time.Second {
			t.Errorf("stream %t, no target %t: service time %v", end.stream, end.noTarget, got)
		}
		record(now.Add(2*time.Minute), attemptEnd{}, 25*time.Millisecond)
		if got := b.state(server).load.ServiceTime(now.Add(2*time.Minute), 0); got > 26*time.Millisecond {
			t.Errorf("stream %t, no target %t: service time %v a minute later", end.stream, end.noTarget, got)
		}
	}
}

// Guards against requests of routes without a latency target that fill a server's limit, or make it
// look slow to the requests of other routes while they are in flight.
func TestRequestsWithoutLatencyTargetCountAsLoadOnly(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindStream} {
		ended := make(chan struct{})
		f := newOverloadFixture(kind, OverloadOptions{}, func(ctx context.Context, attempt Attempt) (*Response, *SendError) {
			<-ended
			return respondWith(200, eventOne)(ctx, attempt)
		})
		f.route.LatencyTarget = 0
		b := f.gateway.balancer
		servers := f.list.Snapshot().Ready("svc")
		slots := servers[0].Slots
		var running sync.WaitGroup
		for range slots * len(servers) {
			running.Go(func() { f.send(time.Minute) })
		}
		inFlight := func() int {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			sum := 0
			for _, server := range servers {
				sum += b.state(server).load.InFlight()
			}
			return sum
		}
		for inFlight() < slots*len(servers) {
			time.Sleep(time.Millisecond)
		}
		b.mutex.Lock()
		later := clock.Now().Add(25 * time.Second)
		for _, server := range servers {
			state := b.state(server)
			if got := state.load.ServiceTime(later, initialLatency); got != initialLatency {
				t.Errorf("%v: service time %v after 25 s", kind, got)
			}
			if b.isAtLimit(later, state) || state.load.InFlight() != slots {
				t.Errorf("%v: %s is at its limit, or has not %d requests in flight", kind, server.ID, slots)
			}
		}
		b.mutex.Unlock()
		close(ended)
		running.Wait()
		if got := inFlight(); got != 0 {
			t.Errorf("%v: %d requests in flight after their end", kind, got)
		}
	}
}

// Guards against a limit that keeps the slots that a server was first listed with.
func TestLimitFollowsTheListedSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer("n", "")
	server := &directory.Server{ID: "a", Service: "s", Slots: 2}
	b.recordSend(now, candidates{}, server)
	grown := *server
	grown.Slots = 6
	b.recordSend(now, candidates{}, &grown)
	if got := b.state(&grown).load.Limiter.Limit(); got != grown.Slots {
		t.Errorf("limit %d, want %d", got, grown.Slots)
	}
}

// Guards against internal requests that take retries from the budget without paying for any.
func TestInternalRequestsPayForRetries(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{RetryShare: 1}, respondSigned(200, "ok"))
	f.addOverload(0.5)
	service := f.gateway.services.get("svc")
	for service.state.AllowRetry(clock.Now(), false) {
	}
	f.gateway.SendInternal(context.Background(), InternalRequest{
		Request: &Request{ID: "id", Received: clock.Now(), Deadline: clock.Now().Add(3 * time.Second)}, Route: f.route, Service: "svc",
	})
	if !service.state.AllowRetry(clock.Now(), false) {
		t.Error("no retry is allowed after an internal request")
	}
}

// Guards against a log line for each refusal of a loaded node.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	f := newOverloadFixture(routetable.KindSafe, OverloadOptions{}, respondWith(200, "ok"))
	service := f.gateway.services.get("svc")
	now := clock.Now()
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {refusalLogInterval - 1, 0}, {refusalLogInterval, 1}} {
		at := now.Add(step.after)
		for i := range 1000 {
			service.state.Throttle.Observe(at, overload.Sample{Server: fmt.Sprint("s", i%5), Rejected: true, Target: f.route.LatencyTarget, Utilization: -1})
		}
		lines := 0
		for range 100 {
			if _, logFields := service.admit(at, overload.Request{Remaining: time.Second}); logFields != nil {
				lines++
			}
		}
		if lines != step.want {
			t.Errorf("%d lines after %v, want %d", lines, step.after, step.want)
		}
	}
}
