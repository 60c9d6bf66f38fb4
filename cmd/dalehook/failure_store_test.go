package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/client"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/standin"
)

// refusalOf returns the refusal that an error holds.
func refusalOf(t *testing.T, err error) *client.APIError {
	t.Helper()
	var refusal *client.APIError
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refusal
}

// checkStoreRefusal: refused with a time to come back, truly not run.
func checkStoreRefusal(t *testing.T, what string, took time.Duration, err error) {
	t.Helper()
	refusal := refusalOf(t, err)
	if refusal.Status != http.StatusServiceUnavailable || refusal.Code != string(machine.CodeStoreDown) || !refusal.NotExecuted || refusal.RetryAfter() <= 0 {
		t.Errorf("%s: %+v, want 503 %s, not run, with a time to come back", what, refusal, machine.CodeStoreDown)
	}
	t.Logf("%s: refused after %v: %v, retry after %v", what, took.Round(time.Millisecond), refusal, refusal.RetryAfter())
}

// checkServed sends lookups and saves to one node; each must be answered.
func (l *load) checkServed(n *clusterNode, count int) {
	l.w.t.Helper()
	for i := range count {
		for _, call := range []client.Call{lookup(fmt.Sprintf("down-%s-%d", n.id, i)), save(fmt.Sprintf("down-%s-%d", n.id, i))} {
			answer, err := n.apiWithin(2*callTimeout).Call(l.w.ctx, call)
			if outcome, reason := judge(call, answer, err); outcome != outcomeAnswered {
				l.w.t.Errorf("%s at %s with the store down: %s", call.Path, n.id, reason)
			}
		}
	}
}

// TestFailureStoreDown takes the log away in the middle of a step. Requests and
// the step go on, plans and steps are refused, and nodes that start meanwhile
// have the configuration.
func TestFailureStoreDown(t *testing.T) {
	w := newWorld(t, worldOptions{})
	plan, err := w.live()[0].api.CreatePlan(w.ctx, w.event("water-board"))
	w.must(err)
	l := w.startLoad(false)
	owner, step := w.awaitOwner()
	w.setFault(w.platform, standin.FaultStoreDown, 3600)
	t.Logf("the store is down; %s owns %s with %d of %d samples committed", owner.id, step.Step, step.Committed, step.Samples)
	others := w.others(owner)
	confirmation := client.Confirmation{Digest: plan.Plan.Digest, Revision: plan.Plan.Base, Operator: "ana", Plan: &plan.Plan}
	w.await("the nodes to see that the store is down", func() error {
		for _, n := range w.live() {
			if status, err := n.probe.Status(w.ctx); err != nil || !status.StoreDown {
				return fmt.Errorf("%s does not: %v", n.id, err)
			}
		}
		return nil
	})
	start := time.Now()
	_, err = others[0].apiWithin(2*callTimeout).ConfirmPlan(w.ctx, confirmation)
	checkStoreRefusal(t, "confirm", time.Since(start), err)
	refused := l.makeStep(0)
	start = time.Now()
	_, err = others[1].apiWithin(2*callTimeout).PostStep(w.ctx, refused)
	checkStoreRefusal(t, "post of a step", time.Since(start), err)
	for _, n := range others {
		l.checkServed(n, 10)
	}
	w.await("the running step to be delivered", func() error {
		if counts := w.ledger.Counts(); counts.Lost > 0 {
			return fmt.Errorf("%+v", counts)
		}
		return nil
	})

	w.kill(others[2].process)
	w.restart(others[2])
	added := w.addNode(4)
	for _, n := range []*clusterNode{others[2], added} {
		t.Logf("%s was ready after %v with the store down", n.id, w.awaitReady(n))
		l.checkServed(n, 10)
	}
	w.awaitInForce()
	l.awaitWork(0, 100)
	w.setFault(w.platform, standin.FaultStoreDown, 0)
	l.awaitWork(1, 100)

	if _, err := others[1].apiWithin(callTimeout).ReadSamples(w.ctx, client.ReadRequest{Step: refused.ID}); refusalOf(t, err).Status != http.StatusNotFound {
		t.Errorf("read of the refused step: %v, want that it is not known", err)
	}
	for id, prompt := range l.promptsOf(refused.ID) {
		if w.tags.seen(prompt) {
			t.Errorf("sample %s of the refused step ran", id)
		}
	}
	w.await("the plan to be confirmed", func() error {
		confirmed, err := others[0].apiWithin(callTimeout).ConfirmPlan(w.ctx, confirmation)
		w.accept(confirmed.Revision)
		return err
	})
	l.check()
}

// TestFailurePlannedStopWithoutStore tells the owner of a step to leave while the
// log is away. It stays until its samples are on the log, and cuts nothing.
func TestFailurePlannedStopWithoutStore(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	owner, step := w.awaitOwner()
	w.setFault(w.platform, standin.FaultStoreDown, 3600)
	owner.signal(t, syscall.SIGTERM)
	l.awaitWork(0, 200)
	w.await("the running step to be delivered", func() error {
		if counts := w.ledger.Counts(); counts.Lost > 0 {
			return fmt.Errorf("%+v", counts)
		}
		return nil
	})
	select {
	case <-owner.ended:
		t.Logf("%s left with the store down, having owned %s", owner.id, step.Step)
	default:
		t.Logf("%s waits for the store, owning %s", owner.id, step.Step)
	}
	w.setFault(w.platform, standin.FaultStoreDown, 0)
	w.awaitEnd(owner)
	l.awaitWork(1, 100)
	l.check()
}

// TestFailureOwnerKilledWithoutStore kills the owner of a step while finished
// samples of it are not on the log yet.
func TestFailureOwnerKilledWithoutStore(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	owner, step := w.awaitOwner()
	w.setFault(w.platform, standin.FaultStoreDown, 3600)
	delivered := w.ledger.Counts().Delivered
	w.await("samples to be delivered without the log", func() error {
		if counts := w.ledger.Counts(); counts.Delivered < delivered+3 {
			return fmt.Errorf("%+v", counts)
		}
		return nil
	})
	w.kill(owner.process)
	l.awaitWork(0, 200)
	t.Logf("%s died with %s; with the store down: %+v", owner.id, step.Step, w.ledger.Counts())
	w.setFault(w.platform, standin.FaultStoreDown, 0)
	l.awaitWork(1, 100)
	w.restart(owner)
	w.awaitReady(owner)
	l.awaitWork(1, 100)
	l.check()
}

// confirmUntilAnswered confirms at nodes in turn until the answer is final.
func (w *world) confirmUntilAnswered(turn int, confirmation client.Confirmation) (confirmed client.ConfirmResponse, err error) {
	for start := time.Now(); time.Since(start) < patience; turn++ {
		confirmed, err = w.pick(turn).apiWithin(2*callTimeout).ConfirmPlan(w.ctx, confirmation)
		if err == nil || client.IsPermanent(err) {
			return confirmed, err
		}
	}
	return confirmed, err
}

// TestFailureAppendAnswerLost loses the answers of appends while plans are
// confirmed, by two operators at once, and steps are posted.
func TestFailureAppendAnswerLost(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	for round := range 4 {
		// The plans build on the newest revision.
		w.awaitInForce()
		names := []string{fmt.Sprintf("event-%d-ana", round), fmt.Sprintf("event-%d-luis", round)}
		var confirmations []client.Confirmation
		for i, name := range names {
			plan, err := w.live()[i].apiWithin(2*callTimeout).CreatePlan(w.ctx, w.event(name))
			w.must(err)
			confirmations = append(confirmations, client.Confirmation{
				Digest: plan.Plan.Digest, Revision: plan.Plan.Base, Operator: strings.TrimPrefix(name, fmt.Sprintf("event-%d-", round)), Plan: &plan.Plan,
			})
		}
		w.setFault(w.platform, standin.FaultAppendAnswerLost, 4)
		revisions, errs := make([]record.Revision, 2), make([]error, 2)
		var racing conc.WaitGroup
		var ready sync.WaitGroup
		ready.Add(2)
		for i := range 2 {
			racing.Go(func() {
				ready.Done()
				ready.Wait()
				var confirmed client.ConfirmResponse
				confirmed, errs[i] = w.confirmUntilAnswered(i, confirmations[i])
				revisions[i] = confirmed.Revision
			})
		}
		racing.Wait()
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		if errs[winner] != nil || errs[loser] == nil {
			t.Fatalf("round %d: revisions %v, errors %v, want one winner", round, revisions, errs)
		}
		w.accept(revisions[winner])
		refusal := refusalOf(t, errs[loser])
		named := strings.Contains(refusal.Message, names[winner]) || strings.Contains(refusal.Message, confirmations[winner].Digest)
		if refusal.Status != http.StatusConflict || !refusal.NotExecuted || !named {
			t.Errorf("round %d: the loser got %+v, want a conflict that names %s", round, refusal, names[winner])
		}
		t.Logf("round %d: %s won with revision %d; the other got: %v", round, names[winner], revisions[winner], refusal)
		for turn := range 4 {
			again, err := w.confirmUntilAnswered(turn, confirmations[winner])
			if err != nil || again.Revision != revisions[winner] {
				t.Errorf("round %d: confirmed again: %+v, %v, want revision %d", round, again, err, revisions[winner])
			}
		}
	}
	w.setFault(w.platform, standin.FaultAppendAnswerLost, 20)
	l.awaitWork(2, 100)
	l.check()
}
