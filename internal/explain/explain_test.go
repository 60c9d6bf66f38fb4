package explain

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against an item that stands at no engine without a line that says why.
func TestExplainTellsWhyAnItemWaits(t *testing.T) {
	file, err := os.Open("testdata/item_waits.log")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries, err := Read("item_waits.log", file)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := Explain("a-1", entries).Write(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "item_waits", text.Bytes())
}

func TestExplain(t *testing.T) {
	file, err := os.Open("testdata/nodes.log")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries, err := Read("nodes.log", file)
	if err != nil {
		t.Fatal(err)
	}
	for name, id := range map[string]string{"request": "a1b2", "job": "j7", "item": "e5", "unknown": "zz"} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			if err := Explain(id, entries).Write(&text); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, text.Bytes())
		})
	}
}
