package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// stepLog is the log of a step that wants two of its three groups, and of a step that
// never completed. The last item of the wanted groups is b-1: it started late, moved
// to another server, and was logged as finished after its completion.
const stepLog = `
{"level":"info","ts":"2026-01-01T00:00:00.000Z","logger":"node","msg":"batch job submitted","node":"n","job":"j","model":"m","step":3,"wanted_groups":2}
{"level":"info","ts":"2026-01-01T00:00:02.000Z","logger":"coordinator","msg":"item attempt ended","node":"n","job":"j","item":"a-1","group":"a","events":40,"server":"s-1","reason":"completed","took":2000}
{"level":"info","ts":"2026-01-01T00:00:01.500Z","logger":"coordinator","msg":"item attempt ended","node":"n","job":"j","item":"b-1","group":"b","events":10,"server":"s-1","reason":"cancelled","took":1000}
{"level":"info","ts":"2026-01-01T00:00:04.000Z","logger":"coordinator","msg":"item attempt ended","node":"n","job":"j","item":"b-1","group":"b","events":40,"server":"s-2","reason":"completed","took":2200}
{"level":"info","ts":"2026-01-01T00:00:05.000Z","logger":"coordinator","msg":"item attempt ended","node":"n","job":"j","item":"c-1","group":"c","events":90,"server":"s-2","reason":"completed","took":5000}
{"level":"info","ts":"2026-01-01T00:00:04.300Z","logger":"coordinator","msg":"item finished","node":"n","job":"j","item":"b-1"}
{"level":"info","ts":"2026-01-01T00:00:04.800Z","logger":"node","msg":"batch job ended","node":"n","job":"j"}
{"level":"info","ts":"2026-01-01T00:00:05.000Z","logger":"node","msg":"batch job submitted","node":"n","job":"k","model":"m","step":4,"wanted_groups":1}
{"level":"info","ts":"2026-01-01T00:00:06.000Z","logger":"coordinator","msg":"item attempt ended","node":"n","job":"k","item":"d-1","group":"d","events":2,"server":"s-2","reason":"cancelled","took":500}
`

func TestSteps(t *testing.T) {
	entries, err := Read("n", strings.NewReader(stepLog))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := WriteSteps(&text, Steps(entries)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "steps", text.Bytes())
}

func TestWriteStepsWithoutSteps(t *testing.T) {
	var text bytes.Buffer
	if err := WriteSteps(&text, Steps(nil)); err != nil || !strings.Contains(text.String(), "no whole step") {
		t.Errorf("%q, %v", text.String(), err)
	}
}

// Guards against a table of steps without the item that a late step waited for, and against a history
// of that item without the decisions on its runs (docs/OPERATIONS.md, case 11).
func TestLateStep(t *testing.T) {
	entries := readTestLog(t, "late_step.log")
	var text bytes.Buffer
	timings := Steps(entries)
	if err := WriteSteps(&text, timings); err != nil {
		t.Fatal(err)
	}
	if len(timings) != 1 {
		t.Fatalf("%d steps", len(timings))
	}
	if err := Explain(timings[0].Last.Item, entries).Write(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "late_step", text.Bytes())
}
