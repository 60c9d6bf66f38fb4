package explain

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

func TestEqualLinesAreFoldedAndNameTheirNodes(t *testing.T) {
	began := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	line := func(after time.Duration, source, message string) Line {
		return Line{Time: began.Add(after), Source: source, Part: "election", Message: message, Fields: map[string]any{"offset": 7}}
	}
	lines := []Line{
		line(0, "node-1", "store lost"),
		line(10*time.Millisecond, "node-2", "store lost"),
		line(20*time.Millisecond, "node-3", "lease lost"),
		line(30*time.Millisecond, "node-1", "store lost"),
		line(40*time.Millisecond, "node-4", "stopped"),
		line(50*time.Millisecond, "node-5", "stopped"),
		line(3*time.Second, "node-1", "store lost"),
	}
	var text bytes.Buffer
	if err := writeFolded(&text, "meanwhile", fold(lines)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "folded", text.Bytes())
}

func TestALineNamesItsNode(t *testing.T) {
	lines, err := Read("all.log", bytes.NewReader([]byte(
		`{"ts":"2026-12-02T10:00:01.200Z","logger":"node","msg":"stopped","node":"node-7"}`+"\n"+
			`{"ts":"2026-12-02T10:00:01.200Z","logger":"node","msg":"stopped"}`+"\n")))
	if err != nil || len(lines) != 2 || lines[0].Source != "node-7" || lines[1].Source != "all.log" {
		t.Errorf("%+v, %v", lines, err)
	}
}
