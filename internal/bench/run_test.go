package bench

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// allowedBytes is half of what the control plane of a node may send a second.
const allowedBytes = 1500

func TestRunOfASmallCluster(t *testing.T) {
	result, err := Run(Options{Nodes: 20, Servers: 60, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Phases) != 5 || result.Formed == 0 || result.Healed == 0 {
		t.Fatalf("%d phases, formed %s, healed %s", len(result.Phases), result.Formed, result.Healed)
	}
	for _, phase := range result.Phases {
		if phase.Unseen != 0 {
			t.Errorf("%s: %d observations did not end", phase.Phase, phase.Unseen)
		}
		if phase.Phase != PhaseCut && (phase.Refuted != 0 || phase.Revived != 0) {
			t.Errorf("%s: %d false suspicions, %d false deaths", phase.Phase, phase.Refuted, phase.Revived)
		}
		if largest := phase.Configuration.Largest; largest > 5*time.Second {
			t.Errorf("%s: a configuration took %s", phase.Phase, largest)
		}
		for _, spread := range []Spread{phase.LeavingServer, phase.DeadServer} {
			if spread.Largest > 3*time.Second {
				t.Errorf("%s: a back end's state took %s", phase.Phase, spread.Largest)
			}
		}
	}
	steady := result.Phases[0].Roles[0]
	if steady.WireBytes > allowedBytes {
		t.Errorf("steady %.0f bytes/s with headers, half of the allowance is %d", steady.WireBytes, allowedBytes)
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	var outputs []string
	for range 2 {
		world := NewWorld(12, 48, 7)
		if err := world.runUntil(epoch.Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		for _, node := range world.nodes {
			spent := node.usage
			spent.busy = 0
			text.WriteString(strings.TrimSpace(string(node.self.ID)))
			text.WriteString(decimal(float64(spent.sentBytes), 0) + "/" + decimal(float64(spent.receivedBytes), 0) + ";")
		}
		outputs = append(outputs, text.String())
	}
	if outputs[0] != outputs[1] {
		t.Errorf("two runs of one seed differ:\n%s\n%s", outputs[0], outputs[1])
	}
}

func TestReportNamesEveryPhaseAndRole(t *testing.T) {
	results := []Result{{Nodes: 20, Servers: 60, Formed: 2 * time.Second, Phases: []PhaseResult{{
		Phase: PhaseSteady, Duration: time.Minute,
		Roles:         []RoleCost{{Nodes: 20, Messages: 8, Bytes: 270}, {Role: RoleReader, Nodes: 8}},
		Configuration: Spread{Observed: 20, Median: time.Second, Largest: 2 * time.Second},
	}}}}
	var table, lines bytes.Buffer
	WriteTables(&table, results)
	if err := WriteCSV(&lines, results); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"steady", "log-reader", "1.00 / 2.00"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
	if got := strings.Count(lines.String(), "\n"); got != 3 {
		t.Errorf("%d lines of CSV, want 3", got)
	}
	if names, err := WritePlots(t.TempDir(), results); err != nil || len(names) != 4 {
		t.Errorf("plots %v: %v", names, err)
	}
}

func TestFitFindsALine(t *testing.T) {
	fit, ok := fitLine([]float64{20, 40, 80}, []float64{12, 22, 42})
	if !ok || fit.Residual > 1e-9 || fit.Base < 1.99 || fit.Base > 2.01 || fit.PerNode < 0.499 || fit.PerNode > 0.501 {
		t.Errorf("fit %+v, want 2 + 0.5 a node", fit)
	}
	if _, ok := fitLine([]float64{20, 40}, []float64{1, 2}); ok {
		t.Error("a line through two points has no residual to speak of")
	}
}
