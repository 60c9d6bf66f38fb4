package explain

import "testing"

// Guards against an item that stands at no engine without a line that says why.
func TestExplainTellsWhyAnItemWaits(t *testing.T) {
	assertHistory(t, "item_waits", "a-1", readTestLog(t, "item_waits.log"))
}

func TestExplain(t *testing.T) {
	entries := readTestLog(t, "nodes.log")
	for name, id := range map[string]string{"request": "a1b2", "job": "j7", "item": "e5", "unknown": "zz"} {
		t.Run(name, func(t *testing.T) { assertHistory(t, name, id, entries) })
	}
}
