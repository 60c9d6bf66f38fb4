package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/crashwatch"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/routetable"
)

// crashingPool is a backend whose servers crash on each attempt with the body "deadly".
type crashingPool struct {
	mutex   sync.Mutex
	crashed map[string]bool
	tried   []string
}

func (p *crashingPool) Send(_ context.Context, attempt Attempt) (*Response, *SendError) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tried = append(p.tried, attempt.Server.ID)
	if p.crashed[attempt.Server.Address] {
		return nil, &SendError{Cause: errors.New("connection refused")}
	}
	if string(attempt.Request.Body) != "deadly" {
		return respondWith(200, eventOne)(context.Background(), attempt)
	}
	p.crashed[attempt.Server.Address] = true
	return nil, &SendError{Cause: errors.New("EOF"), Sent: true}
}

func (p *crashingPool) probe(_ context.Context, address string) crashwatch.ProbeResult {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.crashed[address] {
		return crashwatch.ProbeRefused
	}
	return crashwatch.ProbeOpen
}

// newTestGateway returns a function that sends requests through a gateway with a tracker of its
// own, in front of eight servers.
func newTestGateway(t *testing.T, pool *crashingPool, kind routetable.Kind) func(body string) *httptest.ResponseRecorder {
	list := directory.NewDirectory()
	for i := range 8 {
		put := directory.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: fmt.Sprint("a", i), Slots: 4}
		list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
	}
	tracker := crashwatch.NewTracker(crashwatch.Options{Directory: list, Probe: pool.probe})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { tracker.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	gateway := NewGateway(Options{Backend: pool, Directory: list, CrashTracker: tracker, Logger: zap.NewNop()})
	route := &routetable.Route{Kind: kind, Resumable: true, MaxAttempts: 2, LatencyTarget: 50 * time.Millisecond, Targets: []routetable.Target{{Service: "svc", Weight: 1}}}
	table := routetable.NewTable(1, []routetable.Route{*route}, nil, routetable.Limits{})
	return func(body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		gateway.Serve(context.Background(), recorder, table, route, &Request{
			ID: "id", Method: http.MethodPost, Target: "/p", Body: []byte(body), Received: clock.Now(), Deadline: clock.Now().Add(2 * time.Second),
		})
		return recorder
	}
}

// After the third server ended, the request is refused at once until the hold ends: it waits for
// the probe of the third server before it would go to a fourth.
func TestHeldRequestIsRefusedImmediately(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe, routetable.KindStream} {
		pool := &crashingPool{crashed: make(map[string]bool)}
		send := newTestGateway(t, pool, kind)
		for pool.crashCount() < 3 {
			if recorder := send("deadly"); recorder.Code != http.StatusBadGateway {
				t.Fatalf("%v: status %d after %d ends", kind, recorder.Code, pool.crashCount())
			}
			time.Sleep(200 * time.Millisecond)
		}
		began := time.Now()
		recorder := send("deadly")
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("%v: refusal took %v", kind, took)
		}
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if recorder.Code != http.StatusServiceUnavailable || err != nil || after < 500 {
			t.Errorf("%v: status %d, Retry-After %q", kind, recorder.Code, recorder.Header().Get("Retry-After"))
		}
		if ended := pool.crashCount(); ended != 3 {
			t.Errorf("%v: %d servers ended", kind, ended)
		}
		if recorder := send("harmless"); recorder.Code != http.StatusOK {
			t.Errorf("%v: harmless request: status %d", kind, recorder.Code)
		}
	}
}

func (p *crashingPool) crashCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.crashed)
}

// All nodes choose the same server for a suspected request, and a different one after the next end.
func TestAllNodesRankServersEqually(t *testing.T) {
	var servers []*directory.Server
	for i := range 8 {
		servers = append(servers, &directory.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i)})
	}
	fingerprint := quarantine.FingerprintOf(quarantine.Identity{Target: "/p"})
	first := rankForSuspect(fingerprint, 1, servers)
	backwards := make([]*directory.Server, len(servers))
	for i, server := range servers {
		backwards[len(servers)-1-i] = server
	}
	for i, server := range rankForSuspect(fingerprint, 1, backwards) {
		if server != first[i] {
			t.Fatalf("rank %d depends on the order of the list", i)
		}
	}
	firsts := make(map[string]bool)
	for ends := range 20 {
		firsts[rankForSuspect(fingerprint, ends, servers)[0].ID] = true
	}
	if len(firsts) < 4 {
		t.Errorf("20 rankings have only these first servers: %v", firsts)
	}
}
