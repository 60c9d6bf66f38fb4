package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/platform"
	"dalehook/internal/record"
	"dalehook/internal/standin"
	"dalehook/internal/traffic"
)

const (
	// patience bounds each wait of a failure test, so that its processes are
	// ended also when a condition never holds. It is no verdict on speed.
	patience = time.Minute
	// probeTimeout bounds one look at a node, callTimeout one call of a trainer
	// or a caller.
	probeTimeout = time.Second
	callTimeout  = 6 * time.Second
	// announceEvery is the time between two weight versions.
	announceEvery = 2500 * time.Millisecond
)

// builtDirectory holds the binary once it is built.
var builtDirectory string

// builtBinary builds the binary once for all failure tests.
var builtBinary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "dalehook-failure-")
	if err != nil {
		return "", err
	}
	builtDirectory = directory
	path := filepath.Join(directory, "dalehook")
	output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("build the binary: %w\n%s", err, output)
	}
	return path, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if builtDirectory != "" {
		_ = os.RemoveAll(builtDirectory)
	}
	os.Exit(code)
}

// backendProcess is a stand-in of a back end. The tap is nil where the nodes
// speak to it directly.
type backendProcess struct {
	*process
	address string
	tap     *tap
}

// worldOptions configure a world.
type worldOptions struct {
	// tapServices puts a tap before the services too. It repeats a lookup whose
	// connection broke, as net/http does, so it is not for faults of services.
	tapServices bool
}

// clusterNode is a node under watch.
type clusterNode struct {
	*node
	probe *client.Client
	ready atomic.Bool
	// replaced is set when the node is not to come back.
	replaced atomic.Bool
}

// world is a cluster of processes under load, with what was seen from outside.
type world struct {
	*fleet
	ctx      context.Context
	cancel   context.CancelFunc
	engines  []*backendProcess
	services []*backendProcess
	store    *platform.Client
	tags     *versionTags
	ledger   *traffic.Ledger
	watching conc.WaitGroup

	mu       sync.Mutex
	nodes    []*clusterNode
	accepted record.Revision
	faults   []string
}

// newWorld starts a platform, 4 engines, 3 services and 4 nodes in 3 zones, and
// puts an event in force.
func newWorld(t *testing.T, options worldOptions) *world {
	t.Helper()
	binary, err := builtBinary()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		fleet:  &fleet{t: t, directory: t.TempDir(), binary: binary},
		tags:   newVersionTags(),
		ledger: traffic.NewLedger(),
	}
	t.Cleanup(w.end)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() { w.cancel(); w.watching.Wait() })
	w.startPlatform()
	w.store = platform.NewClient(platform.Options{LogURL: w.platform})
	t.Cleanup(w.store.Close)
	for number := range 4 {
		w.engines = append(w.engines, w.startBackend("engine", testPool, number, true, "-weights", w.platform, "-token-time", "3ms", "-swap-time", "50ms"))
	}
	for number := range 3 {
		w.services = append(w.services, w.startBackend("service", testService, number, options.tapServices, "-service-time", "5ms"))
	}
	for number := range 4 {
		w.addNode(number)
	}
	for _, n := range w.live() {
		w.awaitReady(n)
	}
	w.must(w.announceVersion(1))
	live := w.live()
	w.accept(w.planAndConfirm(live[0].node, live[1].node))
	w.awaitInForce()
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// startBackend starts a stand-in; a tapped one has its tap on the machine list.
func (w *world) startBackend(kind, pool string, number int, tapped bool, arguments ...string) *backendProcess {
	w.t.Helper()
	name := fmt.Sprintf("%s-%d", pool, number+1)
	b := &backendProcess{}
	arguments = append([]string{"-id", name, "-pool", pool, "-zone", testZones[number%len(testZones)], "-platform", w.platform}, arguments...)
	if tapped {
		b.tap = newTap(w.tags)
		w.t.Cleanup(b.tap.close)
		arguments = append(arguments, "-advertise", b.tap.address())
	}
	b.address = w.startStandin(kind, name, arguments...)
	if tapped {
		b.tap.target.Store("http://" + b.address)
	}
	b.process = w.started[len(w.started)-1]
	return b
}

// kill ends a process at once.
func (w *world) kill(p *process) {
	w.t.Helper()
	p.signal(w.t, syscall.SIGKILL)
	<-p.ended
}

// addNode starts a node that knows the peers of those that live.
func (w *world) addNode(number int) *clusterNode {
	w.t.Helper()
	peers := []string{}
	for _, n := range w.live() {
		peers = append(peers, n.peer)
	}
	n := &clusterNode{node: w.startNode(number, peers)}
	n.probe = client.New(client.Options{Node: n.client, HTTP: newHTTPClient(probeTimeout)})
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.watching.Go(func() { w.watch(n) })
	return n
}

// restart starts a dead node again with its id and addresses.
func (w *world) restart(n *clusterNode) {
	w.t.Helper()
	n.process = w.start(n.id+" again", "node", "-settings", n.settings)
}

func newHTTPClient(timeout time.Duration) *http.Client {
	created := client.NewHTTPClient()
	created.Timeout = timeout
	return created
}

// watch follows a node as a caller's list does. From its readiness on, its
// revision must be no older than what was accepted before and never go back.
func (w *world) watch(n *clusterNode) {
	highest := record.Revision(0)
	for w.ctx.Err() == nil && !n.replaced.Load() {
		answer, err := n.probe.CallDirect(w.ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
		ready := err == nil && answer.Status == http.StatusOK
		n.ready.Store(ready)
		if ready {
			if status, err := n.probe.Status(w.ctx); err == nil {
				if status.Revision < highest {
					w.fault("%s went back from revision %d to %d", n.id, highest, status.Revision)
				}
				highest = max(highest, status.Revision)
			}
		}
		traffic.Sleep(w.ctx, 50*time.Millisecond)
	}
	n.ready.Store(false)
}

// fault notes a broken promise.
func (w *world) fault(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, arguments...))
}

// live returns the nodes that were not replaced.
func (w *world) live() []*clusterNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *clusterNode) bool { return n.replaced.Load() })
}

// pick returns one of the nodes that said that they take calls.
func (w *world) pick(turn int) *clusterNode {
	all := w.live()
	ready := slices.DeleteFunc(slices.Clone(all), func(n *clusterNode) bool { return !n.ready.Load() })
	if len(ready) == 0 {
		ready = all
	}
	return ready[turn%len(ready)]
}

// others returns the live nodes but those given.
func (w *world) others(but ...*clusterNode) []*clusterNode {
	return slices.DeleteFunc(w.live(), func(n *clusterNode) bool { return slices.Contains(but, n) })
}

// await polls until a condition holds.
func (w *world) await(what string, condition func() error) time.Duration {
	w.t.Helper()
	start := time.Now()
	for {
		err := condition()
		took := time.Since(start)
		if err == nil {
			return took
		}
		if took > patience {
			w.t.Fatalf("wait for %s: %v", what, err)
		}
		traffic.Sleep(w.ctx, 10*time.Millisecond)
	}
}

func (w *world) awaitReady(n *clusterNode) time.Duration {
	w.t.Helper()
	return w.await(n.id+" to be ready", func() error {
		answer, err := n.probe.CallDirect(w.ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
		if err == nil && answer.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", answer.Status, answer.Body)
		}
		return err
	})
}

// accept notes a revision that an operator got as an answer.
func (w *world) accept(revision record.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = max(w.accepted, revision)
}

// awaitInForce waits until all live nodes have the accepted revision in force.
func (w *world) awaitInForce() {
	w.t.Helper()
	w.mu.Lock()
	accepted := w.accepted
	w.mu.Unlock()
	took := w.await(fmt.Sprintf("revision %d on all live nodes", accepted), func() error {
		for _, n := range w.live() {
			status, err := n.probe.Status(w.ctx)
			if err != nil {
				return err
			}
			if status.Revision < accepted || len(status.Events) == 0 {
				return fmt.Errorf("%s has revision %d", n.id, status.Revision)
			}
		}
		return nil
	})
	w.t.Logf("revision %d seen in force on %d nodes after %v", accepted, len(w.live()), took.Round(time.Millisecond))
}

// awaitOwner returns the node that owns a step which is half done.
func (w *world) awaitOwner() (owner *clusterNode, step machine.StepStatus) {
	w.t.Helper()
	w.await("a step half done", func() error {
		for _, n := range w.live() {
			status, err := n.probe.Status(w.ctx)
			if err != nil {
				return err
			}
			for _, step = range status.Steps {
				if step.Committed > 0 && step.Running > 0 {
					owner = n
					return nil
				}
			}
		}
		return errors.New("no node owns one")
	})
	return owner, step
}

// setFault switches a fault on in a stand-in, when it is up again.
func (w *world) setFault(address string, name standin.FaultName, value float64) {
	w.t.Helper()
	w.postTo(address, "/faults", map[string]any{"name": name, "value": value})
}

func (w *world) postTo(address, path string, body any) {
	w.t.Helper()
	encoded, err := json.Marshal(body)
	w.must(err)
	w.await("an answer to POST "+path, func() error {
		response, err := http.Post("http://"+strings.TrimPrefix(address, "http://")+path, "application/json", bytes.NewReader(encoded))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode >= http.StatusBadRequest {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	})
}

// announceVersion puts a version into the weight store and announces it.
// Announcing it again is harmless: the record has the same id.
func (w *world) announceVersion(version cluster.Version) error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	if err := w.store.PutWeights(ctx, testModel, version, []byte("weights")); err != nil {
		return err
	}
	payload, err := record.Encode(record.Record{
		ID:   record.ID(fmt.Sprintf("test-version-%d", version)),
		Body: record.VersionAnnounced{Model: testModel, Version: version, At: time.Now()},
	})
	if err != nil {
		return err
	}
	if _, _, err = w.store.Append(ctx, record.ControlLog, payload); err != nil {
		return err
	}
	w.ledger.RecordAnnouncement(version)
	return nil
}

// event returns an event that touches the service and the trainer.
func (w *world) event(name string) record.Event {
	return record.Event{
		Name: name, Start: time.Now().Add(time.Hour).UTC().Truncate(time.Second), Duration: record.Duration(time.Hour),
		Crowd: 50, Arrival: record.Duration(time.Minute),
		Services: []record.ServiceDemand{{Service: testService, RequestsPerCaller: 2, ServiceTime: record.Duration(5 * time.Millisecond), Importance: 10}},
	}
}

// apiWithin returns a client of the node whose calls are bounded.
func (n *clusterNode) apiWithin(timeout time.Duration) *client.Client {
	return client.New(client.Options{Node: n.client, HTTP: newHTTPClient(timeout)})
}
