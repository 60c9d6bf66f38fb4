package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dalehook/internal/store"
)

func init() { cases[5] = usageAfterRemoval }

// The store keeps its history for historyLength. The node that reports usage is killed every killInterval.
const (
	historyLength  = 20 * time.Second
	historySample  = 100 * time.Millisecond
	firstKill      = 32 * time.Second
	killInterval   = 24 * time.Second
	kills          = 3
	restartDelay   = time.Second
	usageWindow    = 5
	usageLateness  = 10
	usageCallPause = 60 * time.Millisecond
)

// provider is a stand-in of the service that takes usage reports.
type provider struct {
	world *world

	mutex   sync.Mutex
	holder  string
	fence   int64
	reports map[int64]map[string]int
}

// ServeHTTP implements http.Handler.
func (p *provider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct {
		WindowIndex int64
		Counts      map[string]int
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&report) != nil || holder == "" || token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if token < p.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.holder, p.fence = holder, token
	p.world.note("%s reports window %d: %v (token %d)", holder, report.WindowIndex, report.Counts, token)
	known, reported := p.reports[report.WindowIndex]
	if reported && !maps.Equal(known, report.Counts) {
		p.world.violate("ONE: two reports of window %d carry different counts: %v, then %v of %s", report.WindowIndex, known, report.Counts, holder)
	}
	if !reported {
		p.reports[report.WindowIndex] = report.Counts
	}
}

func (p *provider) lastHolder() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.holder
}

// removeOldRecords removes the records of the nodes' topics that are older than the store's history.
func (w *world) removeOldRecords() {
	type mark struct {
		at  time.Time
		end int64
	}
	marks := make(map[store.Partition][]mark)
	for w.sleep(historySample) == nil {
		now := time.Now()
		for _, topic := range []store.Topic{store.TopicJobs, store.TopicJobIndex, store.TopicProgress, store.TopicLeases, store.TopicUsage} {
			for number := range storePartitions {
				at := store.Partition{Topic: topic, Number: number}
				known := append(marks[at], mark{at: now, end: w.store.Memory.End(at)})
				for len(known) > 1 && now.Sub(known[1].at) > historyLength {
					known = known[1:]
				}
				if now.Sub(known[0].at) > historyLength {
					_ = w.store.Memory.Trim(context.Background(), at, known[0].end)
				}
				marks[at] = known
			}
		}
	}
}

// usageAfterRemoval: the node that holds the duty is killed, one at a time, and started again. The next holder reports the
// last windows once more.
func usageAfterRemoval(w *world) error {
	reports := &provider{world: w, reports: make(map[int64]map[string]int)}
	address, err := w.serve(reports)
	if err != nil {
		return err
	}
	w.provider = address
	var tenants []object
	for i := range 4 {
		tenants = append(tenants, object{"name": fmt.Sprint("tenant-", i), "apiKeys": []string{fmt.Sprint("key-", i)}})
	}
	w.tenants = tenants
	if err := w.putConfiguration(1, []object{lookupRoute("lookup", wholePrefix, lookups)}, []object{{"name": lookups, "maxConnections": 100}}); err != nil {
		return err
	}
	for i := range 3 {
		if err := w.startServer(&server{id: fmt.Sprint("i-puente-", i+1), service: lookups, slots: 6}); err != nil {
			return err
		}
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	go w.removeOldRecords()
	began := time.Now()
	go w.callAsTenants()
	for number := range kills {
		if err := w.sleepUntil(began.Add(firstKill + time.Duration(number)*killInterval)); err != nil {
			return err
		}
		if w.trouble {
			if err := w.killAndRestart(reports.lastHolder()); err != nil {
				return err
			}
		}
	}
	return w.sleepUntil(began.Add(firstKill + kills*killInterval))
}

// callAsTenants sends lookups with the keys of the tenants in turn until the play ends.
func (w *world) callAsTenants() {
	for number := 0; w.sleep(usageCallPause) == nil; number++ {
		id := fmt.Sprintf("7d41c07be2a3%06x", number)
		header := http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"1500"}, "Authorization": {fmt.Sprint("Bearer key-", number%4)}}
		w.call(w.nodeAt(number), http.MethodPost, lookupHost, wholePrefix+"2f", header, nil)
	}
}

// killAndRestart kills a node and starts it again a moment later.
func (w *world) killAndRestart(name string) error {
	for i, n := range w.nodes {
		if n.name != name {
			continue
		}
		w.note("%s is killed", name)
		n.kill()
		if err := w.sleep(restartDelay); err != nil {
			return err
		}
		fresh, err := w.launch(name)
		if err != nil {
			return err
		}
		w.mutex.Lock()
		w.nodes[i] = fresh
		w.mutex.Unlock()
		return nil
	}
	return fmt.Errorf("no node %q holds the duty", name)
}
