package explain

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a refusal that is explained by a line about an overload of another node, of another
// service, or of another time, whose figures were not the inputs of the decision.
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
