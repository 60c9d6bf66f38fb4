package explain

import (
	"strings"
	"testing"
)

// A request that was held is explained by the ends of servers that had it held, which other nodes
// saw, some of them long before.
func TestAHeldRequestIsExplainedByTheEndsOfServers(t *testing.T) {
	log := `{"level":"info","ts":"2026-12-02T10:00:00.000Z","logger":"quarantine","msg":"server ended under requests","node":"n1","server":"i-1","born":5,"evidence":"connections refused","fingerprints":["aabbccddeeff0011","1111111111111111"]}
{"level":"info","ts":"2026-12-02T10:00:01.000Z","logger":"quarantine","msg":"server ended under requests","node":"n2","server":"i-2","born":6,"evidence":"connections refused","fingerprints":["2222222222222222"]}
{"level":"warn","ts":"2026-12-02T10:00:05.000Z","logger":"quarantine","msg":"request held","node":"n3","fingerprint":"aabbccddeeff0011aabbccddeeff0011aabbccddeeff0011aabbccddeeff0011","servers":["i-1","i-3","i-4"]}
{"level":"info","ts":"2026-12-02T10:04:00.000Z","logger":"gateway","msg":"request answered","node":"n4","request":"r9","status":503,"reason":"held: servers ended under it","fingerprint":"aabbccddeeff0011"}
`
	lines, err := Read("log", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	story := Explain("r9", lines)
	if len(story.Own) != 1 || len(story.Around) != 2 {
		t.Fatalf("%d own lines, %d around", len(story.Own), len(story.Around))
	}
	if story.Around[0].Source != "n1" || story.Around[1].Message != "request held" {
		t.Errorf("around: %+v", story.Around)
	}
}
