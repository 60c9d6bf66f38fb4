package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Names on the wire; every day has others.
const (
	callerHost   = "ficu95.example"
	rolloutPath  = "/pule252/"
	safePath     = "/pufi791/"
	unsafePath   = "/lohu930/"
	modelService = "huvo11a"
	plainService = "wuno96b"
)

// itemLifetime is the maxQueueS of the route of batch jobs: as long as a trainer waits for a step (12 s).
const itemLifetime = 12 * time.Second

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "lookup", "host": callerHost, "pathPrefix": safePath, "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": plainService, "maxAttempts": 4},
			{"name": "save", "host": callerHost, "pathPrefix": unsafePath, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": plainService, "maxAttempts": 4},
			{"name": "round", "host": callerHost, "pathPrefix": rolloutPath, "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": modelService,
				"maxAttempts": 3, "maxQueueS": itemLifetime.Seconds(), "resultDeadlineMs": 7500, "resumable": true, "stickySessions": true},
		},
		"services": []map[string]any{
			{"name": modelService, "healthPath": "/health", "maxConnections": 170, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kvCacheTokens": 83311, "kvTokenBytes": 327680, "linkMbps": 1400000.0, "migrations": true, "kvBackups": true, "stride": 52,
				"most": 12, "pinDurationMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": modelName}}}},
			{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startStore starts the store with a configuration.
func (t *trial) startStore(keep time.Duration) (store *standinStore, address string, err error) {
	if t.keep > 0 {
		keep = t.keep
	}
	store = newStandinStore(t.record, keep, t.seed)
	address, err = serveHTTP(store)
	store.put("keyed.op", "config", configuration())
	t.record.note("the store keeps records without a key for %v", keep)
	return store, address, err
}

// versions are the newest versions named by the trainer.
type versions struct {
	mutex  sync.Mutex
	newest int64
}

func (v *versions) get() int64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.newest
}

// name names the next version, and returns it.
func (t *trial) name(v *versions, store *standinStore) int64 {
	v.mutex.Lock()
	v.newest++
	next := v.newest
	v.mutex.Unlock()
	store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": next})
	t.record.note("the trainer names version %d", next)
	return next
}

// startEngines starts the engines.
func (t *trial) startEngines(count int, store *standinStore, v *versions) ([]*engine, error) {
	var engines []*engine
	weights := &weightStore{}
	for i := range count {
		e := newEngine(fmt.Sprintf("i-eng%02d", i+1), zones[i%len(zones)], store, t.record, weights)
		e.newest = v.get
		address, err := serveHTTP(e)
		if err != nil {
			return nil, err
		}
		e.address = address
		engines = append(engines, e)
		go e.beat(modelService)
	}
	return engines, nil
}

// item is an item of a batch job as it is sent.
type item struct {
	ID         string            `json:"id"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	TokenCount int               `json:"tokenCount"`
	Group      string            `json:"group"`
}

// newJob returns the body of a batch job.
func newJob(id string, step int, minVersion int64, groups, size int) []byte {
	var items []item
	for g := range groups {
		for i := range size {
			itemID := fmt.Sprintf("item-%s-%d-%d", id, g, i)
			items = append(items, item{
				ID: itemID, Path: rolloutPath + "3/" + itemID, Body: []byte("prompt of " + itemID), TokenCount: 1400, Group: fmt.Sprintf("g%s-%d", id, g),
				Headers: map[string]string{"X-Model": modelName, "X-Token-Usage": "1000,400", "X-Prompt-Prefix": fmt.Sprintf("%x:1000", 4096+g)},
			})
		}
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": modelName, "minVersion": minVersion, "desiredCount": groups - groups/10, "requests": items})
	if err != nil {
		panic(err)
	}
	return body
}

// callBound is how long a client waits for an answer about a batch job.
const callBound = 4 * time.Second

// jobCall makes a call about a batch job on a new connection; status 0 means that there was no answer.
func jobCall(method, address, path, id string, body []byte) (status int, answer []byte) {
	client := http.Client{Timeout: callBound, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = callerHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// results is a page of results.
type results struct {
	Total         int `json:"total"`
	NextPageToken int `json:"nextPageToken"`
	Results       []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}
