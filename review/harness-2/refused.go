package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases[6] = failureAfterRun }

const (
	saveHost   = "hwrr6.example"
	savePrefix = "/save/"
	saves      = "portal"
	// greyShare is the share of its requests that the grey server fails.
	greyShare  = 0.4
	saveCount  = 90
	savePause  = 50 * time.Millisecond
	saveAnswer = "1500"
)

// failureAfterRun: one server in seven fails a part of its requests at the end of their work, and answers 503. It does not
// say that they were not executed.
func failureAfterRun(w *world) error {
	route := object{
		"name": "save", "host": saveHost, "pathPrefix": savePrefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 150,
		"priority": 0, "service": saves, "maxAttempts": 2,
	}
	if err := w.putConfiguration(1, []object{route}, []object{{"name": saves, "maxConnections": 96}}); err != nil {
		return err
	}
	var servers []*server
	for i := range 7 {
		s := &server{id: fmt.Sprint("i-portal-", i+1), service: saves, slots: 6}
		if err := w.startServer(s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	if w.trouble {
		servers[0].setGrey(greyShare)
	}
	for number := range saveCount {
		w.save(number, servers)
		if err := w.sleep(savePause); err != nil {
			return err
		}
	}
	return nil
}

// save sends an unsafe request and checks that it has not run if the answer promises so.
func (w *world) save(number int, servers []*server) {
	n, id := w.nodes[number%len(w.nodes)], fmt.Sprintf("5ab1c07be2a3%04x", number)
	got := w.call(n, http.MethodPost, saveHost, savePrefix+"2f", http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {saveAnswer}}, []byte("an answer"))
	w.note("%s sent to %s: answered %d", id, n.name, got.status)
	switch got.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return
	}
	for _, s := range servers {
		if s.hasRun(id) {
			w.violate("REFUSED: %s is not idempotent and was answered %d, yet it has run at %s", id, got.status, s.id)
		}
	}
}
