package explain

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

func TestRepeatedEntriesAreCollapsedAndNameTheirNodes(t *testing.T) {
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	entry := func(after time.Duration, source, message string) Entry {
		return Entry{Time: start.Add(after), Source: source, Logger: "election", Message: message, Fields: map[string]any{"offset": 7}}
	}
	entries := []Entry{
		entry(0, "node-1", "store lost"),
		entry(10*time.Millisecond, "node-2", "store lost"),
		entry(20*time.Millisecond, "node-3", "lease lost"),
		entry(30*time.Millisecond, "node-1", "store lost"),
		entry(40*time.Millisecond, "node-4", "stopped"),
		entry(50*time.Millisecond, "node-5", "stopped"),
		entry(3*time.Second, "node-1", "store lost"),
	}
	var text bytes.Buffer
	if err := writeGroups(&text, "meanwhile", collapseRepeated(entries)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "collapsed", text.Bytes())
}

func TestSourceOfAnEntryIsItsNode(t *testing.T) {
	entries, err := Read("all.log", bytes.NewReader([]byte(
		`{"ts":"2026-12-02T10:00:01.200Z","logger":"node","msg":"stopped","node":"node-7"}`+"\n"+
			`{"ts":"2026-12-02T10:00:01.200Z","logger":"node","msg":"stopped"}`+"\n")))
	if err != nil || len(entries) != 2 || entries[0].Source != "node-7" || entries[1].Source != "all.log" {
		t.Errorf("%+v, %v", entries, err)
	}
}
