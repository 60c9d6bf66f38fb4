package serverlist

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/directory"
)

// Guards against entries out of bounds that a node of an earlier build relays: they count as removed.
func TestRelayedEntriesOutOfBoundsAreNoServers(t *testing.T) {
	sound := relayEntry{ID: "sound", Service: "pool", Address: "127.0.0.1:9", Zone: "z", Slots: 4}
	odd := map[string]func(*relayEntry){
		"slots":   func(e *relayEntry) { e.Slots = 1 << 62 },
		"born":    func(e *relayEntry) { e.Born = -1 },
		"warming": func(e *relayEntry) { e.Warming = directory.MaxWarmUp + time.Second },
		"zone":    func(e *relayEntry) { e.Zone = string(make([]byte, directory.MaxNameBytes+1)) },
	}
	for name, change := range odd {
		entry := sound
		entry.ID = name
		change(&entry)
		var payload bytes.Buffer
		compressor, err := flate.NewWriter(&payload, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		if err := gob.NewEncoder(compressor).Encode(relayRecord{Put: []relayEntry{entry, sound}}); err != nil {
			t.Fatal(err)
		}
		if err := compressor.Close(); err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeRecord(payload.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]relayEntry{sound}, decoded.Put); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if diff := cmp.Diff([]string{name}, decoded.Removed); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
