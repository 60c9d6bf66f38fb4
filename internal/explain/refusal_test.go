package explain

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The log holds refusals at two nodes. A line about an overload explains only refusals of its own node and
// service, and only near ones: another line would give wrong inputs.
func TestRefusals(t *testing.T) {
	file, err := os.Open("testdata/refusals.log")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries, err := Read("refusals.log", file)
	if err != nil {
		t.Fatal(err)
	}
	for name, id := range map[string]string{
		"refused_overloaded": "r1", "refused_too_late": "r2", "refused_retry_budget": "r3", "refused_without_overload_line": "r4",
		"refused_held": "r5", "refused_twice": "r6", "refused_earlier_build": "r7", "answered_late": "r8", "refused_after_rejection": "r9",
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			if err := Explain(id, entries).Write(&text); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, text.Bytes())
		})
	}
}
