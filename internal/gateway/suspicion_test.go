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

// deadlyPool is a backend whose servers end under each attempt with a deadly body.
type deadlyPool struct {
	mutex sync.Mutex
	ended map[string]bool
	tried []string
}

func (p *deadlyPool) Send(_ context.Context, attempt Attempt) (*Answer, *SendError) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tried = append(p.tried, attempt.Server.ID)
	if p.ended[attempt.Server.Address] {
		return nil, &SendError{Cause: errors.New("connection refused")}
	}
	if string(attempt.Request.Body) != "deadly" {
		return whole(200, eventOne)(context.Background(), attempt)
	}
	p.ended[attempt.Server.Address] = true
	return nil, &SendError{Cause: errors.New("EOF"), Sent: true}
}

func (p *deadlyPool) probe(_ context.Context, address string) crashwatch.Reach {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended[address] {
		return crashwatch.ReachRefused
	}
	return crashwatch.ReachOpen
}

// gatewayOf returns a gateway before eight servers, each with a quarantine of its own.
func gatewayOf(t *testing.T, pool *deadlyPool, kind routetable.Kind) func(body string) *httptest.ResponseRecorder {
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
	gateway := NewGateway(Options{Backend: pool, Directory: list, Quarantine: tracker, Logger: zap.NewNop()})
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

// The third server's end is waited for before a fourth gets the request; from then on it is
// refused at once, for as long as the hold lasts.
func TestAHeldRequestIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe, routetable.KindStream} {
		pool := &deadlyPool{ended: make(map[string]bool)}
		send := gatewayOf(t, pool, kind)
		for pool.endedCount() < 3 {
			if recorder := send("deadly"); recorder.Code != http.StatusBadGateway {
				t.Fatalf("%v: status %d after %d ends", kind, recorder.Code, pool.endedCount())
			}
			time.Sleep(200 * time.Millisecond)
		}
		began := time.Now()
		recorder := send("deadly")
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("%v: refused after %v", kind, took)
		}
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if recorder.Code != http.StatusServiceUnavailable || err != nil || after < 500 {
			t.Errorf("%v: status %d, Retry-After %q", kind, recorder.Code, recorder.Header().Get("Retry-After"))
		}
		if ended := pool.endedCount(); ended != 3 {
			t.Errorf("%v: %d servers ended", kind, ended)
		}
		if recorder := send("harmless"); recorder.Code != http.StatusOK {
			t.Errorf("%v: the harmless one: status %d", kind, recorder.Code)
		}
	}
}

func (p *deadlyPool) endedCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.ended)
}

// All nodes choose the same server for a suspected request, and another one after the next end.
func TestNodesRankServersAlike(t *testing.T) {
	var servers []*directory.Server
	for i := range 8 {
		servers = append(servers, &directory.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i)})
	}
	fingerprint := quarantine.FingerprintOf(quarantine.Identity{Target: "/p"})
	first := rank(fingerprint, 1, servers)
	backwards := make([]*directory.Server, len(servers))
	for i, server := range servers {
		backwards[len(servers)-1-i] = server
	}
	for i, server := range rank(fingerprint, 1, backwards) {
		if server != first[i] {
			t.Fatalf("another order of the list gives another rank at %d", i)
		}
	}
	firsts := make(map[string]bool)
	for ends := range 20 {
		firsts[rank(fingerprint, ends, servers)[0].ID] = true
	}
	if len(firsts) < 4 {
		t.Errorf("of 20 ranks the first is one of %v", firsts)
	}
}
