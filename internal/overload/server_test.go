package overload

import (
	"testing"
	"time"
)

// Guards against queueing that counts twice, in the service time and in the load.
func TestServiceTimeExcludesTheQueue(t *testing.T) {
	server := NewServer(modelSlots)
	queue := Load{Running: 6, Waiting: 12, Slots: 6}
	server.ObserveLatency(start, 75*time.Millisecond, queue)
	if got := server.ServiceTime(start, time.Second); got != 25*time.Millisecond {
		t.Errorf("service time %v", got)
	}
	if got := server.PredictedLatency(queue); got != 75*time.Millisecond {
		t.Errorf("predicted latency %v", got)
	}
	if got := server.PredictedWait(queue); got != 50*time.Millisecond {
		t.Errorf("predicted wait %v", got)
	}
	if got := server.PredictedLatency(Load{Running: 6, Slots: 6}); got != 0 {
		t.Errorf("predicted latency without a queue %v", got)
	}
}

// Guards against an average that keeps a slow minute for seconds after it is over, and against one
// that follows a single slow response among many.
func TestServiceTimeFollowsRareSamples(t *testing.T) {
	server := NewServer(modelSlots)
	server.ObserveLatency(start, 100*time.Millisecond, Load{})
	server.ObserveLatency(start.Add(5*time.Second), 20*time.Millisecond, Load{})
	if got := server.ServiceTime(start, 0); got > 21*time.Millisecond {
		t.Errorf("service time %v five seconds later", got)
	}
	server.ObserveLatency(start.Add(5010*time.Millisecond), 120*time.Millisecond, Load{})
	if got := server.ServiceTime(start, 0); got > 36*time.Millisecond {
		t.Errorf("service time %v after one slow response", got)
	}
}

// Guards against a hanging server that is chosen until its first response, or that hides behind
// requests which end.
func TestServiceTimeIsAtLeastTheAgeInFlight(t *testing.T) {
	server := NewServer(modelSlots)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	server.Start(at(10))
	server.Start(at(0))
	server.Start(at(10))
	for _, step := range []struct {
		ended int
		want  time.Duration
	}{{10, 100 * time.Millisecond}, {99, 100 * time.Millisecond}, {0, 90 * time.Millisecond}, {10, 25 * time.Millisecond}} {
		server.End(at(step.ended))
		if got := server.ServiceTime(at(100), 25*time.Millisecond); got != step.want {
			t.Errorf("after the end of the attempt of %d ms: %v, want %v", step.ended, got, step.want)
		}
	}
}

// Guards against a free slot that was stated long ago, is taken by this node's own requests, or is of
// a server that rejects all requests, and against one that is overlooked since this node's requests
// count twice, as its own and as part of the stated load.
func TestFreeSlot(t *testing.T) {
	free := func(change func(server *Server)) bool {
		server := NewServer(modelSlots)
		server.ObserveLoad(start, Load{Running: 4, Slots: 6})
		change(server)
		return server.HasFreeSlot(start.Add(loadLifetime))
	}
	cases := []struct {
		name   string
		change func(server *Server)
		want   bool
	}{
		{"free slot", func(*Server) {}, true},
		{"no free slot", func(s *Server) { s.ObserveLoad(start, Load{Running: 6, Slots: 6}) }, false},
		{"queue", func(s *Server) { s.ObserveLoad(start, Load{Running: 5, Waiting: 1, Slots: 6}) }, false},
		{"older load", func(s *Server) { s.ObserveLoad(start.Add(-time.Second), Load{Running: 6, Slots: 6}) }, true},
		{"stale", func(s *Server) { s.loadAt = start.Add(-time.Millisecond) }, false},
		{"own request", func(s *Server) { s.Limiter.Acquire() }, true},
		{"own requests", func(s *Server) { s.Limiter.Acquire(); s.Limiter.Acquire() }, false},
		{"own requests that the load includes", func(s *Server) {
			for range 4 {
				s.Limiter.Acquire()
			}
			s.ObserveLoad(start, Load{Running: 4, Slots: 6})
			s.Limiter.Acquire()
		}, true},
		{"own requests that the load includes, and others", func(s *Server) {
			for range 4 {
				s.Limiter.Acquire()
			}
			s.ObserveLoad(start, Load{Running: 4, Slots: 6})
			s.Limiter.Acquire()
			s.Limiter.Acquire()
		}, false},
		{"rejecting", func(s *Server) { s.ObserveResponse(start, true) }, false},
		{"no longer rejecting", func(s *Server) { s.ObserveResponse(start, true); s.ObserveResponse(start, false) }, true},
	}
	for _, c := range cases {
		if got := free(c.change); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if NewServer(modelSlots).HasFreeSlot(start) {
		t.Error("a server of which nothing is known has a free slot")
	}
}
