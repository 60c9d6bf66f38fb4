package command

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
	"github.com/sebdah/goldie/v2"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// runResult is the exit status and the output of a command line.
type runResult struct {
	status subcommands.ExitStatus
	output string
	errors string
}

// runCommandLine executes one command line.
func runCommandLine(t *testing.T, arguments ...string) runResult {
	t.Helper()
	var output, errorOutput bytes.Buffer
	flags := flag.NewFlagSet("dalehook", flag.ContinueOnError)
	flags.SetOutput(&errorOutput)
	commander := NewCommander(flags, "dalehook", Streams{Output: &output, Error: &errorOutput})
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	status := commander.Execute(t.Context())
	return runResult{status: status, output: output.String(), errors: errorOutput.String()}
}

func TestHelpText(t *testing.T) {
	for _, name := range []string{"", "node", "check", "plan", "confirm", "status", "demo", "load", "withdraw"} {
		t.Run("help "+name, func(t *testing.T) {
			got := runCommandLine(t, strings.Fields("help "+name)...)
			if got.status != subcommands.ExitSuccess {
				t.Errorf("help ended with %d: %s", got.status, got.errors)
			}
			goldie.New(t).Assert(t, strings.Join(strings.Fields("help "+name), "-"), []byte(got.output))
		})
	}
}

func TestUsageErrorsExitWithStatusTwo(t *testing.T) {
	directory := t.TempDir()
	unknownKey := writeFile(t, directory, "key.yaml", "name: exam\nstart: 2026-12-07T09:00:00Z\nduration: 30m\nseats: 3\n")
	wrongUnit := writeFile(t, directory, "unit.yaml", "name: exam\nstart: 2026-12-07T09:00:00Z\nduration: 30\n")
	tests := []struct {
		name      string
		arguments []string
		want      string
	}{
		{"no subcommand", nil, "Usage:"},
		{"unknown subcommand", []string{"launch"}, "Usage:"},
		{"unknown flag", []string{"check", "-colour", "red"}, "check -settings FILE"},
		{"argument", []string{"check", "node.yaml"}, `unexpected argument "node.yaml"`},
		{"faulty settings", []string{"check", "-node.id", "a b"}, `node.id: "a b" is no name`},
		{"faulty settings of a node", []string{"node", "-limits.body", "8"}, "wrong unit"},
		{"no node", []string{"status"}, "-node is required"},
		{"no operator", []string{"confirm", "-node", "127.0.0.1:1", "-digest", "d"}, "-operator is required"},
		{"no digest", []string{"confirm", "-node", "127.0.0.1:1", "-operator", "ana"}, "-digest or -plan is required"},
		{"no name", []string{"plan", "-node", "127.0.0.1:1", "-start", "2026-12-07T09:00:00Z"}, "name: is required"},
		{"unknown key in the event", []string{"plan", "-node", "127.0.0.1:1", "-event", unknownKey}, "line 4: field seats not found"},
		{"wrong unit in the event", []string{"plan", "-node", "127.0.0.1:1", "-event", wrongUnit}, `parse duration "30"`},
		{"negative crowd", []string{"plan", "-node", "127.0.0.1:1", "-name", "exam", "-start", "2026-12-07T09:00:00Z", "-crowd", "-3"}, "crowd: fails the rule gte"},
		{"unknown key in a flag", []string{"plan", "-node", "127.0.0.1:1", "-service", "service=portal,rate=3"}, "plan -node ADDRESS"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := runCommandLine(t, test.arguments...)
			if got.status != subcommands.ExitUsageError {
				t.Errorf("ended with %d, want %d", got.status, subcommands.ExitUsageError)
			}
			if !strings.Contains(got.errors, test.want) {
				t.Errorf("errors are %q, want %q in them", got.errors, test.want)
			}
		})
	}
}

func writeFile(t *testing.T, directory, name, content string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAppendFromPairsReportsTheInvalidPair(t *testing.T) {
	tests := []struct{ text, want string }{
		{"service=portal,rate=3", "field rate not found"},
		{"service", `"service" is no key=value`},
		{"service=portal,service_time=12", `parse duration "12"`},
	}
	for _, test := range tests {
		var services []record.ServiceDemand
		err := appendFromPairs(&services, test.text)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q gave %v, want %q in it", test.text, err, test.want)
		}
	}
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no examples: %v", err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(content, []byte("\nnode:")) {
			if _, err := (&eventFlags{path: file}).load(); err != nil {
				t.Errorf("%s: %v", file, err)
			}
			continue
		}
		if got := runCommandLine(t, "check", "-settings", file); got.status != subcommands.ExitSuccess {
			t.Errorf("%s: %s", file, got.errors)
		}
	}
}

func TestEventFilesOfRehearsalsCanBePlanned(t *testing.T) {
	files, err := filepath.Glob("../../docs/operators/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no event files (%v)", err)
	}
	for _, file := range files {
		event, err := (&eventFlags{path: file}).load()
		if err != nil || event.Name == "" || len(event.Rollouts) == 0 {
			t.Errorf("%s: %v, event %+v", file, err, event)
		}
	}
}

func TestPlanSendsTheSameEventFromFileAndFlags(t *testing.T) {
	var events []record.Event
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var event record.Event
		if err := json.NewDecoder(r.Body).Decode(&event); err != nil {
			t.Errorf("decode the event: %v", err)
		}
		events = append(events, event)
		_ = json.NewEncoder(w).Encode(client.PlanResponse{Plan: record.Plan{Digest: "d1", Base: 3, Event: event}})
	}))
	defer node.Close()

	fromFile := runCommandLine(t, "plan", "-node", node.URL, "-event", "../../examples/medellin/exam-week.yaml")
	replaced := runCommandLine(t, "plan", "-node", node.URL, "-event", "../../examples/medellin/exam-week.yaml", "-crowd", "17")
	fromFlags := runCommandLine(t, "plan", "-node", node.URL, "-json",
		"-name", "exam week", "-start", "2026-12-07T09:00:00-05:00", "-duration", "4h", "-crowd", "4000", "-arrival", "5m",
		"-service", "service=portal,class=saves,requests_per_caller=40,service_time=12ms,importance=10",
		"-rollout", "trainer=marking,pool=marking,model=marking,samples_per_step=128,mean_tokens=250,max_tokens=3000,step_every=7m,staleness_bound=3,importance=5")
	if fromFile.status != subcommands.ExitSuccess || replaced.status != subcommands.ExitSuccess || fromFlags.status != subcommands.ExitSuccess {
		t.Fatalf("plan failed: %s%s", fromFile.errors, fromFlags.errors)
	}
	if events[1].Crowd != 17 || events[1].Name != "exam week" {
		t.Errorf("with -crowd 17 the event is %+v", events[1])
	}
	if diff := cmp.Diff(events[0], events[2]); diff != "" {
		t.Errorf("events differ (-file +flags):\n%s", diff)
	}
	if want := "confirm -node " + node.URL + " -digest d1 -revision 3"; !strings.Contains(fromFile.output, want) {
		t.Errorf("output lacks %q:\n%s", want, fromFile.output)
	}

	path := writeFile(t, t.TempDir(), "plan.json", fromFlags.output)
	confirm := newConfirmCommand(Streams{Output: io.Discard, Error: io.Discard})
	confirm.operatorName, confirm.planPath = "ana", path
	confirmation, err := confirm.confirmation()
	if err != nil {
		t.Fatal(err)
	}
	if confirmation.Digest != "d1" || confirmation.Revision != 3 || confirmation.Plan == nil {
		t.Errorf("confirmation from the plan's file is %+v", confirmation)
	}
}

func TestConfirmReportsTheConflictingPlan(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"code":"revision_conflict","message":"plan d2 of luis is in force at revision 9","peer":"cayma-1","not_run":true,"retry_after_ms":250}}`)
	}))
	defer node.Close()
	got := runCommandLine(t, "confirm", "-node", node.URL, "-digest", "d1", "-revision", "3", "-operator", "ana")
	want := "confirm: revision_conflict: plan d2 of luis is in force at revision 9 (peer cayma-1)\nTry again in 250ms.\n"
	if got.status != subcommands.ExitFailure || got.errors != want {
		t.Errorf("ended with %d and %q, want 1 and %q", got.status, got.errors, want)
	}
}

func TestStatusTables(t *testing.T) {
	report := machine.StatusReport{
		Node:          cluster.Node{ID: "cercado-1", Zone: "cercado"},
		Revision:      12,
		ControlOffset: 40,
		View:          cluster.View{Number: 9, Members: []cluster.Node{{ID: "cercado-1"}, {ID: "cayma-1"}}},
		StoreDown:     true,
		Members:       []machine.MemberStatus{{ID: "cayma-1", Incarnation: 7, Zone: "cayma", State: "alive"}},
		Backends: []machine.BackendStatus{
			{ID: "engine-1", Kind: cluster.KindEngine, Pool: "language", Zone: "cayma", State: cluster.StateLive, Running: 3, Waiting: 1, Model: "captions", Version: 4},
			{ID: "engine-2", Kind: cluster.KindEngine, Pool: "language", Zone: "cercado", State: cluster.StateLive, Unreported: true},
			{ID: "engine-3", Kind: cluster.KindEngine, Pool: "language", Zone: "cercado", State: cluster.StateLive},
			{ID: "bridge-1", Kind: cluster.KindService, Pool: "bridge", Zone: "cercado", State: cluster.StateLeaving},
		},
		Events: []machine.EventStatus{{Name: "council hearing", Digest: "d1", Revision: 12, Start: time.Date(2026, 12, 7, 10, 0, 0, 0, time.UTC)}},
		Steps:  []machine.StepStatus{{Step: "captions-1", Epoch: 3, Samples: 64, Committed: 10, Running: 12}},
	}
	var output bytes.Buffer
	renderStatus(&output, report)
	goldie.New(t).Assert(t, "status", output.Bytes())
}
