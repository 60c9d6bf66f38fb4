package rehearse_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/rehearse"
)

func loadSmall(t *testing.T) rehearse.File {
	t.Helper()
	file, err := rehearse.Load("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestPoliciesGetTheSameWork(t *testing.T) {
	options := rehearse.Options{File: loadSmall(t), Seed: 3, Seeds: 2}
	result, err := rehearse.Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	again, err := rehearse.Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(result, again); diff != "" {
		t.Errorf("the same seeds gave other figures:\n%s", diff)
	}
	if len(result.Policies) != len(rehearse.Policies()) {
		t.Fatalf("%d policies were rehearsed", len(result.Policies))
	}
	for _, p := range result.Policies {
		for i, m := range p.Runs {
			first := result.Policies[0].Runs[i]
			if m.Floor != first.Floor || m.Requests != first.Requests {
				t.Errorf("%s, run %d: floor %v and %v requests, %s had %v and %v", p.Policy, i, m.Floor, m.Requests, result.Policies[0].Policy, first.Floor, first.Requests)
			}
			if m.Delivered != 64 || m.Unfinished != 0 || m.OverBound != 0 || m.OverFloor < 1 || m.Requests == 0 || m.Answered != m.Requests {
				t.Errorf("%s, run %d: %+v", p.Policy, i, m)
			}
		}
	}
}

func TestReportIsWrittenAsTableJSONAndPlot(t *testing.T) {
	result, err := rehearse.Run(t.Context(), rehearse.Options{File: loadSmall(t), Policies: []string{"dalehook", "round_robin"}, Seed: 1, Seeds: 1})
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	result.WriteTable(&table)
	for _, wanted := range []string{"trainer idle time, s", "ROUND_ROBIN", "step time / floor", "dalehook over each baseline"} {
		if !strings.Contains(table.String(), wanted) {
			t.Errorf("the table lacks %q:\n%s", wanted, table.String())
		}
	}
	if _, err := json.Marshal(result); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := result.WritePlot(path); err != nil {
		t.Fatal(err)
	}
	if content, err := os.ReadFile(path); err != nil || !bytes.Contains(content, []byte("<svg")) {
		t.Errorf("the plot is no SVG file: %v", err)
	}
}

func TestBadFilesAreRefused(t *testing.T) {
	content, err := os.ReadFile("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, message string }{
		{"lead: 30s", "lead: 30s\n  colour: red", "colour not found"},
		{"deployment: medellin", "deployment: lima", "oneof"},
		{"    - trainer: marker\n      steps", "    - trainer: other\n      steps", `"other" has no rollout`},
		{"duration: 20s", "duration: 20", "missing unit"},
	} {
		_, err := rehearse.Parse([]byte(strings.Replace(string(content), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%q gave %v", c.new, err)
		}
	}
}

func TestEventsOfTheOperatorsPageLoad(t *testing.T) {
	files, err := filepath.Glob("../../docs/operators/*.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, path := range files {
		file, err := rehearse.Load(path)
		if err == nil {
			err = rehearse.Options{File: file, Seeds: 1}.Check()
		}
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
