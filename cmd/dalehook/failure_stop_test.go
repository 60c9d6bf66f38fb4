package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/client"
	"dalehook/internal/record"
	"dalehook/internal/standin"
)

const (
	// openTimeout bounds a call that is open while its node leaves.
	openTimeout = 40 * time.Second
	openEach    = 3
	// slowService is added to requests, in milliseconds, so that they outlast a
	// node's leave_grace; slowEngine multiplies the time of a token.
	slowService, slowEngine = 2500, 3
)

// openWork is what is open at one node when it is told to leave.
type openWork struct {
	l *load
	// at is the node, elsewhere one that stays.
	at, elsewhere *clusterNode
	saves         []client.Call
	lookups       []client.Call
	open          conc.WaitGroup

	mu      sync.Mutex
	answers map[string]string
}

// slowDown lets back ends take long, so that requests and streams stay open.
func (l *load) slowDown() {
	l.w.t.Helper()
	l.sameVersion.Store(true)
	l.setSlow(slowService, slowEngine)
}

func (l *load) setSlow(service, engine float64) {
	l.w.t.Helper()
	for _, b := range l.w.services {
		l.w.setFault(b.address, standin.FaultSlow, service)
	}
	for _, b := range l.w.engines {
		l.w.setFault(b.address, standin.FaultSlow, engine)
	}
}

// openAt opens lookups, saves whose keys are repeated at another node meanwhile,
// and a long poll of a sample that streams. It returns when all of it runs.
func (l *load) openAt(n, elsewhere *clusterNode) *openWork {
	l.w.t.Helper()
	o := &openWork{l: l, at: n, elsewhere: elsewhere, answers: map[string]string{}}
	for i := range openEach {
		id := fmt.Sprintf("open-%s-%d", n.id, i)
		o.lookups = append(o.lookups, lookup(id))
		o.saves = append(o.saves, save(id))
	}
	for _, call := range append(o.lookups, o.saves...) {
		call.Deadline = openTimeout
		o.open.Go(func() { o.send(n, call) })
	}
	l.w.await("the open requests to run", func() error {
		runs := l.w.runs()
		for i := range openEach {
			if runs[o.lookups[i].Path] == 0 || runs[o.saves[i].IdempotencyKey] == 0 {
				return fmt.Errorf("%s does not run", o.saves[i].IdempotencyKey)
			}
		}
		return nil
	})
	for _, call := range o.saves {
		call.Deadline = openTimeout
		o.open.Go(func() { o.send(elsewhere, call) })
	}
	o.poll()
	return o
}

// send sends a call that must be answered whole, and as all others of its key.
func (o *openWork) send(n *clusterNode, call client.Call) {
	answer, err := n.apiWithin(openTimeout).Call(o.l.w.ctx, call)
	if outcome, reason := judge(call, answer, err); outcome != outcomeAnswered {
		o.l.w.fault("open request %s at %s while %s left: %s", call.Path, n.id, o.at.id, reason)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if first, ok := o.answers[call.Path]; ok && first != string(answer.Body) {
		o.l.w.fault("request %s has two answers: %s and %s", call.Path, first, answer.Body)
	}
	o.answers[call.Path] = string(answer.Body)
}

// poll posts a step of one long sample and opens a long poll for it.
func (o *openWork) poll() {
	w := o.l.w
	w.t.Helper()
	sample := o.l.makeStep(0).Samples[longEvery-1]
	sample.Prompt, sample.Group = o.at.id+sample.Prompt, ""
	for standin.CompletionLength(sample.Prompt, maxTokens) < maxTokens {
		sample.Prompt += "."
	}
	step := client.Step{Event: testEvent, Trainer: "captions", ID: "poll-" + o.at.id, Samples: []record.Sample{sample}}
	o.l.mu.Lock()
	o.l.prompts[step.ID] = map[string]string{sample.ID: sample.Prompt}
	o.l.mu.Unlock()
	api := o.at.apiWithin(openTimeout)
	_, err := api.PostStep(w.ctx, step)
	w.must(err)
	w.ledger.RecordStep(step, stalenessBound)
	o.open.Go(func() {
		newest := w.ledger.NewestVersion()
		page, err := api.ReadSamples(w.ctx, client.ReadRequest{Step: step.ID, MaxWait: openTimeout, Version: newest})
		if err != nil {
			w.fault("the long poll at %s was cut: %v", o.at.id, err)
			return
		}
		// A node that leaves may answer before there is a sample; the rest is
		// read at any node.
		o.l.take(step.ID, newest, page.Samples)
		turn := 0
		if err := o.l.readStep(&turn, step.ID, page.Cursor); err != nil {
			w.fault("read %s: %v", step.ID, err)
		}
	})
}

// awaitLeft waits until the node has ended with 0 and all its work is answered;
// then each save again has the recorded answer.
func (o *openWork) awaitLeft() {
	w := o.l.w
	w.t.Helper()
	w.awaitEnd(o.at)
	o.open.Wait()
	for _, call := range o.saves {
		o.send(o.elsewhere, call)
	}
	for key, times := range w.runs() {
		if times > 1 && strings.HasPrefix(key, "save-open-") {
			w.fault("save %s ran %d times", key, times)
		}
	}
}

// awaitEnd waits until a node that was told to leave has ended with 0.
func (w *world) awaitEnd(n *clusterNode) {
	w.t.Helper()
	took := w.await(n.id+" to leave", func() error {
		select {
		case <-n.ended:
			return nil
		default:
			return errors.New("it still runs")
		}
	})
	n.replaced.Store(true)
	w.t.Logf("%s ended with %d after %v", n.id, n.status, took)
	if n.status != 0 {
		w.fault("%s ended with %d", n.id, n.status)
	}
}

// leave tells nodes to leave at the same time while work is open at each.
func (l *load) leave(nodes ...*clusterNode) {
	l.w.t.Helper()
	l.slowDown()
	var open []*openWork
	for _, n := range nodes {
		open = append(open, l.openAt(n, l.w.others(nodes...)[0]))
	}
	for _, n := range nodes {
		n.signal(l.w.t, syscall.SIGTERM)
	}
	l.awaitWork(0, 10)
	l.setSlow(0, 1)
	for _, o := range open {
		o.awaitLeft()
	}
	l.sameVersion.Store(false)
}

func TestFailurePlannedStop(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(true)
	owner, _ := w.awaitOwner()
	l.leave(owner)
	l.awaitWork(1, 100)
	l.check()
}

func TestFailureTwoPlannedStops(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(true)
	owner, _ := w.awaitOwner()
	l.leave(owner, w.others(owner)[0])
	l.awaitWork(1, 100)
	l.check()
}

func TestFailureRollingReplacement(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{})
	l := w.startLoad(true)
	w.awaitOwner()
	for number, old := range w.live() {
		replacement := w.addNode(4 + number)
		w.awaitReady(replacement)
		old.signal(t, syscall.SIGTERM)
		w.awaitEnd(old)
	}
	l.awaitWork(1, 100)
	l.check()
}
