package serverlist

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"dalehook/internal/directory"
	"dalehook/internal/logs"
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
		var noted []string
		decoded.dropInvalid(func(id string, _ error) { noted = append(noted, id) })
		if diff := cmp.Diff([]string{name}, noted); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if diff := cmp.Diff([]relayEntry{sound}, decoded.Put); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if diff := cmp.Diff([]string{name}, decoded.Removed); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Entries that are left out are counted each, and logged once a second at most with a part of what they state.
func TestInvalidEntriesAreCountedAndLoggedWithinBounds(t *testing.T) {
	core, logged := observer.New(zapcore.ErrorLevel)
	counted := 0
	invalid := invalidEntries{logger: zap.New(core), observe: func() { counted++ }}
	for range 100 {
		invalid.note("odd", errors.New(strings.Repeat("x", 100_000)))
	}
	if counted != 100 || logged.Len() == 0 || logged.Len() > 2 {
		t.Errorf("%d counted, %d logged", counted, logged.Len())
	}
	if text := logged.All()[0].ContextMap()["error"].(string); len(text) != logs.MaxQuotedErrorBytes {
		t.Errorf("an error of %d bytes is logged", len(text))
	}
}
