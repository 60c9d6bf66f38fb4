package main

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/sourcegraph/conc"

	"dalehook/internal/client"
	"dalehook/internal/traffic"
)

// runTrainer posts and reads steps until all are delivered.
func runTrainer(ctx context.Context, nodes *traffic.NodeBalancer, ledger *traffic.Ledger, earlier, steps int) error {
	return traffic.NewTrainer(traffic.TrainerOptions{
		Event:  testEvent,
		Nodes:  nodes,
		Ledger: ledger,
		Workload: traffic.Workload{
			Trainer: "captions", StepOffset: earlier, Steps: steps,
			SamplesPerStep: 24, MinTokens: 16, MinLongTokens: 400, MaxTokens: 600, LongSampleInterval: 8, StalenessBound: 2,
		},
	}).Run(ctx)
}

// TestProcesses runs the whole path as separate processes. One node gets
// SIGTERM in the middle of the work and cuts nothing; another is killed and
// started again, and the configuration stays in force.
func TestProcesses(t *testing.T) {
	f := newFleet(t)
	f.startPlatform()
	for number := range 3 {
		f.startEngine(number)
	}
	servers := []*client.Client{f.startService(0), f.startService(1)}
	var nodes []*node
	var addresses []string
	peers := []string{}
	for number := range 3 {
		n := f.startNode(number, slices.Clone(peers))
		nodes = append(nodes, n)
		addresses = append(addresses, n.client)
		peers = append(peers, n.peer)
	}
	for _, n := range nodes {
		f.awaitReady(n)
	}

	ledger := traffic.NewLedger()
	f.announce(ledger, 1)
	revision := f.planAndConfirm(nodes[0], nodes[1])
	for _, n := range nodes {
		f.awaitRevision(n, revision)
	}

	directory := traffic.NewNodeBalancer(addresses)
	working, stop := context.WithCancel(t.Context())
	var background, work conc.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { directory.Run(working) })
	callers := traffic.NewCallers(traffic.CallersOptions{
		Service: testService, Nodes: directory, Servers: servers, Workers: 6, Requests: 1200, MaxAttempts: 1,
	})
	work.Go(func() { callers.Run(t.Context()) })
	work.Go(func() {
		if err := runTrainer(t.Context(), directory, ledger, 0, 3); err != nil {
			t.Error(err)
		}
	})

	f.await("work under way", func() error {
		if callers.SuccessCount() < 100 || ledger.Counts().Delivered == 0 {
			return fmt.Errorf("%d requests answered, samples: %+v", callers.SuccessCount(), ledger.Counts())
		}
		return nil
	})
	f.announce(ledger, 2)
	leaving := nodes[0]
	leaving.signal(t, syscall.SIGTERM)
	<-leaving.ended
	if leaving.status != 0 {
		t.Errorf("the node that left ended with %d", leaving.status)
	}
	work.Wait()
	checkRequests(t, callers, 1200)
	checkSamples(t, ledger, 3)

	killed := nodes[1]
	killed.signal(t, syscall.SIGKILL)
	<-killed.ended
	killed.process = f.start(killed.id+" again", "node", "-settings", killed.settings)
	f.awaitReady(killed)
	f.awaitRevision(killed, revision)
	if err := runTrainer(t.Context(), traffic.NewNodeBalancer([]string{killed.client}), ledger, 3, 1); err != nil {
		t.Error(err)
	}
	checkSamples(t, ledger, 4)
}

func checkRequests(t *testing.T, callers *traffic.Callers, sent int) {
	t.Helper()
	counts, err := callers.Audit(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if counts.Sent != sent || counts.Succeeded != sent || counts.Duplicated != 0 || len(counts.Errors) > 0 {
		t.Errorf("%d requests sent, %d answered, %d doubled:\n%s",
			counts.Sent, counts.Succeeded, counts.Duplicated, strings.Join(counts.Errors, "\n"))
	}
}

func checkSamples(t *testing.T, ledger *traffic.Ledger, steps int) {
	t.Helper()
	counts := ledger.Counts()
	if counts.Steps != steps || counts.Delivered != counts.Samples || counts.Duplicated != 0 || counts.Stale != 0 || len(counts.Errors) > 0 {
		t.Errorf("samples: %+v", counts)
	}
}

// TestSecondSignalStopsAtOnce sends SIGTERM twice to a node that would wait an
// hour for its callers.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	f := newFleet(t)
	f.startPlatform()
	p := f.start("node", "node", "-node.id", "node-1", "-node.zone", "cayma", "-zones", "cayma", "-limits.leave_grace", "1h",
		"-platform.log", f.platform, "-platform.weights", f.platform, "-platform.machines", f.platform)
	f.printedAddress(p, `"client_address": "([0-9.:]+)"`)
	p.signal(t, syscall.SIGTERM)
	f.await("the first signal to be taken", func() error {
		if !strings.Contains(p.printed(), "node: Signal received.") {
			return errors.New(p.printed())
		}
		return nil
	})
	p.signal(t, syscall.SIGTERM)
	<-p.ended
	if p.status != 1 {
		t.Errorf("the node ended with %d, want 1", p.status)
	}
}

// TestExitCodes runs subcommands that fail as processes.
func TestExitCodes(t *testing.T) {
	f := newFleet(t)
	faulty := filepath.Join("..", "..", "internal", "settings", "testdata", "faulty.yaml")
	tests := []struct {
		name      string
		arguments []string
		want      int
	}{
		{"help", []string{"help"}, 0},
		{"check of an example", []string{"check", "-settings", filepath.Join("..", "..", "examples", "medellin", "itagui.yaml")}, 0},
		{"node that nobody listens for", []string{"status", "-node", "127.0.0.1:1"}, 1},
		{"check of faulty settings", []string{"check", "-settings", faulty}, 2},
		{"node with faulty settings", []string{"node", "-settings", faulty}, 2},
		{"unknown flag", []string{"-colour"}, 2},
		{"unknown subcommand", []string{"launch"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			command := exec.Command(f.binary, test.arguments...)
			output, _ := command.CombinedOutput()
			if got := command.ProcessState.ExitCode(); got != test.want {
				t.Errorf("ended with %d, want %d:\n%s", got, test.want, output)
			}
		})
	}
}
