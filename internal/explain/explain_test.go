package explain

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

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
