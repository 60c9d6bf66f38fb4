package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases[7] = encodedSlash }

// The services and the prefixes of the case of routes. splitPrefix is split off wholePrefix by the second configuration.
const (
	lookups      = "puente"
	archive      = "archivo"
	lookupHost   = "wuno96.example"
	wholePrefix  = "/lohu930/"
	splitPrefix  = "/lohu930/old/"
	configApply  = 2 * time.Second
	lookupPause  = 100 * time.Millisecond
	lookupLength = 6 * time.Second
)

func lookupRoute(name, prefix, service string) object {
	return object{
		"name": name, "host": lookupHost, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 150,
		"priority": 2, "service": service, "maxAttempts": 4,
	}
}

// encodedSlash: a route is split. Requests whose path does not begin with the new prefix, since it has an encoded slash
// there, still belong to the old service.
func encodedSlash(w *world) error {
	services := []object{{"name": lookups, "maxConnections": 100}, {"name": archive, "maxConnections": 100}}
	whole := lookupRoute("lookup", wholePrefix, lookups)
	if err := w.putConfiguration(1, []object{whole}, services); err != nil {
		return err
	}
	for _, service := range []string{lookups, archive} {
		for i := range 2 {
			if err := w.startServer(&server{id: fmt.Sprint("i-", service, "-", i+1), service: service, slots: 6}); err != nil {
				return err
			}
		}
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	if w.trouble {
		split := lookupRoute("old-lookup", splitPrefix, archive)
		if err := w.putConfiguration(2, []object{whole, split}, services); err != nil {
			return err
		}
	}
	if err := w.sleep(configApply); err != nil {
		return err
	}
	for number, end := 0, time.Now().Add(lookupLength); time.Now().Before(end); number++ {
		w.lookUp(number)
		if err := w.sleep(lookupPause); err != nil {
			return err
		}
	}
	return nil
}

// lookUp sends a request and checks which service has answered it.
func (w *world) lookUp(number int) {
	path, allowed := wholePrefix+"2f", lookups
	switch number % 3 {
	case 1:
		path = wholePrefix + "old%2F2f"
	case 2:
		path = splitPrefix + "2f"
		if w.trouble {
			allowed = archive
		}
	}
	n, id := w.nodes[number%len(w.nodes)], fmt.Sprintf("9c41d07be2a3%04x", number)
	got := w.call(n, http.MethodPost, lookupHost, path, http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"1500"}}, []byte("a resident"))
	w.note("%s sent to %s: POST %s answered %d %q", id, n.name, path, got.status, got.body)
	if want := allowed + " " + id; got.status == http.StatusOK && string(got.body) != want {
		w.violate("ROUTE: %s ran as %q, while all configurations so far allow %s only at %s", id, got.body, path, allowed)
	}
}
