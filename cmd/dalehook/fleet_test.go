package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/platform"
	"dalehook/internal/record"
	"dalehook/internal/traffic"
)

// The names that the processes of the test go by.
const (
	testEvent   = "council hearing"
	testModel   = cluster.ModelName("hearing")
	testPool    = "language"
	testService = "bridge"
)

var testZones = []string{"cercado", "yanahuara", "cayma"}

// process is a process that the test has started and will end.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed when the process has ended; status is its exit code then.
	ended  chan struct{}
	status int

	mu     sync.Mutex
	output bytes.Buffer
}

// Write takes what the process prints.
func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(text)
}

func (p *process) printed() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// signal sends a signal to the process by its id.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("send %v to %s: %v", signal, p.name, err)
	}
}

// fleet is the set of processes of one test.
type fleet struct {
	t         *testing.T
	binary    string
	directory string
	platform  string
	started   []*process
}

// newFleet builds the binary, unless another test has.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	binary, err := builtBinary()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, binary: binary, directory: t.TempDir()}
	t.Cleanup(f.end)
	return f
}

// end kills the processes that still run and shows their output on failure.
func (f *fleet) end() {
	for _, p := range f.started {
		select {
		case <-p.ended:
		default:
			_ = p.command.Process.Kill()
			<-p.ended
		}
		if f.t.Failed() {
			f.t.Logf("output of %s:\n%s", p.name, tail(p.printed()))
		}
	}
}

// tail returns the last lines of a text.
func tail(text string) string {
	const lines = 40
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// start starts a process of the binary.
func (f *fleet) start(name string, arguments ...string) *process {
	f.t.Helper()
	p := &process{name: name, command: exec.Command(f.binary, arguments...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = p, p
	if err := p.command.Start(); err != nil {
		f.t.Fatalf("start %s: %v", name, err)
	}
	f.started = append(f.started, p)
	go func() {
		_ = p.command.Wait()
		p.status = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	return p
}

// run runs a subcommand to its end and returns its output.
func (f *fleet) run(arguments ...string) string {
	f.t.Helper()
	var output, errorOutput bytes.Buffer
	command := exec.Command(f.binary, arguments...)
	command.Stdout, command.Stderr = &output, &errorOutput
	if err := command.Run(); err != nil {
		f.t.Fatalf("dalehook %s: %v\n%s", strings.Join(arguments, " "), err, errorOutput.String())
	}
	return output.String()
}

// await polls until a condition holds; the test's own time limit bounds it.
func (f *fleet) await(what string, condition func() error) {
	f.t.Helper()
	var last error
	for f.t.Context().Err() == nil {
		if last = condition(); last == nil {
			return
		}
		traffic.Sleep(f.t.Context(), 20*time.Millisecond)
	}
	f.t.Fatalf("wait for %s: %v", what, last)
}

// printedAddress waits until a process has printed an address.
func (f *fleet) printedAddress(p *process, pattern string) string {
	f.t.Helper()
	expression := regexp.MustCompile(pattern)
	address := ""
	f.await("the address of "+p.name, func() error {
		if match := expression.FindStringSubmatch(p.printed()); match != nil {
			address = match[1]
			return nil
		}
		select {
		case <-p.ended:
			f.t.Fatalf("%s ended with %d:\n%s", p.name, p.status, p.printed())
		default:
		}
		return fmt.Errorf("not printed yet: %s", p.printed())
	})
	return address
}

// startStandin starts a stand-in and returns its address.
func (f *fleet) startStandin(kind, name string, arguments ...string) string {
	f.t.Helper()
	p := f.start(name, append([]string{"standin", kind}, arguments...)...)
	return f.printedAddress(p, `listening ([0-9.:]+)`)
}

func (f *fleet) startPlatform() {
	f.t.Helper()
	f.platform = "http://" + f.startStandin("platform", "platform", "-list-lag", "500ms", "-weights-rate", "20")
}

func (f *fleet) startEngine(number int) {
	f.t.Helper()
	name := fmt.Sprintf("engine-%d", number+1)
	f.startStandin("engine", name, "-id", name, "-pool", testPool, "-zone", testZones[number%len(testZones)],
		"-platform", f.platform, "-weights", f.platform, "-token-time", "3ms", "-swap-time", "50ms")
}

func (f *fleet) startService(number int) *client.Client {
	f.t.Helper()
	name := fmt.Sprintf("bridge-%d", number+1)
	address := f.startStandin("service", name, "-id", name, "-pool", testService, "-zone", testZones[number%len(testZones)],
		"-platform", f.platform, "-service-time", "5ms")
	return client.New(client.Options{Node: address})
}

// node is a node process with the addresses that it listens on.
type node struct {
	*process
	id           string
	client, peer string
	settings     string
	api          *client.Client
}

// startNode writes a node's settings and starts it; the addresses stay the same
// when it is started again.
func (f *fleet) startNode(number int, peers []string) *node {
	f.t.Helper()
	n := &node{id: fmt.Sprintf("node-%d", number+1), client: "127.0.0.1:0", peer: "127.0.0.1:0"}
	n.settings = filepath.Join(f.directory, n.id+".yaml")
	f.writeSettings(n, testZones[number%len(testZones)], peers)
	n.process = f.start(n.id, "node", "-settings", n.settings)
	n.client = f.printedAddress(n.process, `"client_address": "([0-9.:]+)"`)
	n.peer = f.printedAddress(n.process, `"peer_address": "([0-9.:]+)"`)
	f.writeSettings(n, testZones[number%len(testZones)], peers)
	n.api = client.New(client.Options{Node: n.client})
	return n
}

func (f *fleet) writeSettings(n *node, zone string, peers []string) {
	f.t.Helper()
	quoted, err := json.Marshal(peers)
	if err != nil {
		f.t.Fatal(err)
	}
	content := fmt.Sprintf(`node: {id: %s, zone: %s, region: arequipa}
zones: [%s]
listen: {client: "%s", peer: "%s"}
peers: %s
platform: {log: "%s", weights: "%s", machines: "%s"}
limits: {leave_grace: 1s}
capacity: {load_time: 300ms, load_margin: 500ms}
log: {level: info}
`, n.id, zone, strings.Join(testZones, ", "), n.client, n.peer, quoted, f.platform, f.platform, f.platform)
	if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// awaitReady waits until a node takes calls.
func (f *fleet) awaitReady(n *node) {
	f.t.Helper()
	f.await(n.id+" to be ready", func() error {
		answer, err := n.api.CallDirect(f.t.Context(), client.Call{Method: http.MethodGet, Path: "/readyz"})
		if err == nil && answer.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", answer.Status, answer.Body)
		}
		return err
	})
}

// awaitRevision waits until a node has a revision in force.
func (f *fleet) awaitRevision(n *node, revision record.Revision) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d at %s", revision, n.id), func() error {
		status, err := n.api.Status(f.t.Context())
		if err != nil {
			return err
		}
		if status.Revision < revision {
			return fmt.Errorf("revision %d is in force", status.Revision)
		}
		if status.Revision > revision || len(status.Events) != 1 || status.Events[0].Name != testEvent {
			f.t.Fatalf("%s has revision %d and events %v, want revision %d with %q", n.id, status.Revision, status.Events, revision, testEvent)
		}
		return nil
	})
}

// announce puts a version into the weight store and announces it.
func (f *fleet) announce(ledger *traffic.Ledger, version cluster.Version) {
	f.t.Helper()
	store := platform.NewClient(platform.Options{LogURL: f.platform})
	defer store.Close()
	if err := store.PutWeights(f.t.Context(), testModel, version, []byte("weights")); err != nil {
		f.t.Fatal(err)
	}
	payload, err := record.Encode(record.Record{
		ID:   record.ID(fmt.Sprintf("test-version-%d", version)),
		Body: record.VersionAnnounced{Model: testModel, Version: version, At: time.Now()},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, _, err := store.Append(f.t.Context(), record.ControlLog, payload); err != nil {
		f.t.Fatal(err)
	}
	ledger.RecordAnnouncement(version)
}

// planAndConfirm plans through one node and confirms through another. It plans
// again until the node knows of the version and the back ends.
func (f *fleet) planAndConfirm(planning, confirming *node) record.Revision {
	f.t.Helper()
	path := filepath.Join(f.directory, "plan.json")
	f.await("a plan that can be met", func() error {
		output := f.run("plan", "-node", planning.client, "-json",
			"-name", testEvent, "-start", "+3s", "-duration", "1h", "-crowd", "100", "-arrival", "1m",
			"-service", "service="+testService+",requests_per_caller=3,service_time=5ms,importance=10",
			"-rollout", "trainer=captions,pool="+testPool+",model="+string(testModel)+
				",samples_per_step=24,mean_tokens=60,max_tokens=600,step_every=1m,staleness_bound=2,importance=5")
		var made client.PlanResponse
		if err := json.Unmarshal([]byte(output), &made); err != nil {
			return err
		}
		if len(made.Plan.Missing) > 0 {
			return fmt.Errorf("missing: %v", made.Plan.Missing)
		}
		return os.WriteFile(path, []byte(output), 0o600)
	})
	var confirmed client.ConfirmResponse
	output := f.run("confirm", "-node", confirming.client, "-plan", path, "-operator", "ana", "-json")
	if err := json.Unmarshal([]byte(output), &confirmed); err != nil {
		f.t.Fatalf("decode %s: %v", output, err)
	}
	return confirmed.Revision
}
