package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// callTimeout bounds a call of a client, callPause is the time between two.
const (
	callTimeout = 2500 * time.Millisecond
	callPause   = 500 * time.Millisecond
	retryPause  = 100 * time.Millisecond
)

// client calls are made on a connection each.
var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// answer is the answer to a call; its status is 0 if there was none.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call makes a call to a node.
func (w *world) call(n *node, method, host, path string, header http.Header, body []byte) answer {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.requests+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := callClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, header: response.Header, body: text}
}

// job is a batch job of a trainer.
type job struct {
	id, host, path, model string
	step                  int
	minVersion            int64
	groups                map[string][]string
	wanted                int
	// results are in the order of their positions.
	results []result
}

// result is a result as a client reads it.
type result struct {
	ID       string
	State    string
	Text     string
	Versions []int64
	Score    string
}

func (j *job) body() []byte {
	var items []object
	for _, group := range sortedKeys(j.groups) {
		for _, id := range j.groups[group] {
			items = append(items, object{
				"id": id, "path": j.path + id, "headers": object{"X-Model": j.model, "X-Token-Usage": "16,400"},
				"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), "tokenCount": 416, "group": group,
			})
		}
	}
	text, err := json.Marshal(object{
		"step": j.step, "model": j.model, "minVersion": j.minVersion, "desiredCount": j.wanted, "requests": items,
	})
	if err != nil {
		panic(err) // the job holds only text and numbers
	}
	return text
}

func sortedKeys[V any](values map[string]V) []string {
	var keys []string
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// submit sends a job to one node after the other until it is accepted.
func (w *world) submit(j *job) error {
	for try := 0; ; try++ {
		n := w.nodes[try%len(w.nodes)]
		got := w.call(n, http.MethodPost, j.host, j.path+j.id, http.Header{"X-Request-Id": {j.id}, "Content-Type": {"application/json"}}, j.body())
		w.note("job %s sent to %s: %d", j.id, n.name, got.status)
		if got.status == http.StatusAccepted {
			return nil
		}
		if err := w.sleep(retryPause); err != nil {
			return err
		}
	}
}

// read reads the next results of a job at a node, and reports whether the node answered.
func (w *world) read(n *node, j *job) bool {
	got := w.call(n, http.MethodGet, j.host, fmt.Sprint("/-/lots/", j.id, "?afterRevision=", len(j.results)), http.Header{"X-Wait-Ms": {"1000"}}, nil)
	if got.status != http.StatusOK {
		w.note("results of %s from %d at %s: %d", j.id, len(j.results), n.name, got.status)
		return false
	}
	var page struct{ Results []result }
	if err := json.Unmarshal(got.body, &page); err != nil {
		return false
	}
	for _, read := range page.Results {
		w.note("result %d of %s at %s: %s %s, %d events, versions %v", len(j.results), j.id, n.name, read.ID, read.State, countEvents(read.Text), read.Versions)
		j.results = append(j.results, read)
	}
	return true
}

func countEvents(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, "\n") + 1
}

// readUntil reads a job's results until a time, or until done reports true.
func (w *world) readUntil(j *job, until time.Time, done func() bool) error {
	for try := 0; time.Now().Before(until) && !done(); try++ {
		w.read(w.nodes[try%len(w.nodes)], j)
		if err := w.sleepUntil(earlier(time.Now().Add(callPause), until)); err != nil {
			return err
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// end ends a job: a client repeats the call at one node after the other until it is acknowledged.
func (w *world) end(j *job, client int, acknowledged <-chan struct{}) bool {
	for try := client; w.ctx.Err() == nil; try++ {
		n := w.nodes[try%len(w.nodes)]
		got := w.call(n, http.MethodDelete, j.host, "/-/lots/"+j.id, nil, nil)
		w.note("client %d ends %s at %s: %d", client, j.id, n.name, got.status)
		if got.status == http.StatusOK {
			return true
		}
		select {
		case <-acknowledged:
			return false
		case <-time.After(retryPause):
		}
	}
	return false
}

// whole reports whether all items of a group are listed.
func (j *job) whole(group string) bool {
	listed := make(map[string]bool)
	for _, read := range j.results {
		listed[read.ID] = true
	}
	for _, id := range j.groups[group] {
		if !listed[id] {
			return false
		}
	}
	return true
}

// unfinished returns the groups of which an item is not listed.
func (j *job) unfinished() map[string][]string {
	groups := make(map[string][]string)
	for group, items := range j.groups {
		if !j.whole(group) {
			groups[group] = items
		}
	}
	return groups
}

// checkTexts checks that each completed result has the whole output of its item.
func (w *world) checkTexts(j *job, events func(id string) int) {
	for position, read := range j.results {
		if read.State != "completed" {
			continue
		}
		if err := checkText(read, events(read.ID)); err != nil {
			w.violate("MIXED: result %d of job %s is completed, but %v", position, j.id, err)
		}
	}
}

func checkText(read result, events int) error {
	lines := strings.Split(read.Text, "\n")
	if read.Text == "" {
		lines = nil
	}
	for i, line := range lines {
		if want := fmt.Sprintf("%s.%d@", read.ID, i+1); !strings.HasPrefix(line, want) {
			return fmt.Errorf("line %d of %d of the text of %s is %q, where event %d of %d belongs", i+1, len(lines), read.ID, line, i+1, events)
		}
	}
	if len(lines) != events {
		return fmt.Errorf("the text of %s has %d of %d events", read.ID, len(lines), events)
	}
	return nil
}
