package explain

import (
	"strings"
	"testing"
)

// The history of a quarantined request includes the server crashes that led to the
// quarantine, although other nodes logged them and some long before the request.
func TestHistoryOfAQuarantinedRequestIncludesServerCrashes(t *testing.T) {
	log := `{"level":"info","ts":"2026-12-02T10:00:00.000Z","logger":"quarantine","msg":"server ended under requests","node":"n1","server":"i-1","born":5,"evidence":"connections refused","fingerprints":["aabbccddeeff0011","1111111111111111"]}
{"level":"info","ts":"2026-12-02T10:00:01.000Z","logger":"quarantine","msg":"server ended under requests","node":"n2","server":"i-2","born":6,"evidence":"connections refused","fingerprints":["2222222222222222"]}
{"level":"warn","ts":"2026-12-02T10:00:05.000Z","logger":"quarantine","msg":"request held","node":"n3","fingerprint":"aabbccddeeff0011aabbccddeeff0011aabbccddeeff0011aabbccddeeff0011","servers":["i-1","i-3","i-4"]}
{"level":"info","ts":"2026-12-02T10:04:00.000Z","logger":"gateway","msg":"request answered","node":"n4","request":"r9","status":503,"reason":"held: servers ended under it","fingerprint":"aabbccddeeff0011"}
`
	entries, err := Read("log", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	history := Explain("r9", entries)
	if len(history.Entries) != 1 || len(history.Related) != 2 {
		t.Fatalf("got %d entries and %d related ones, want 1 and 2", len(history.Entries), len(history.Related))
	}
	if history.Related[0].Source != "n1" || history.Related[1].Message != "request held" {
		t.Errorf("related entries are %+v", history.Related)
	}
}
