package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/standin"
	"dalehook/internal/traffic"
)

// leaveLimit is the time after which a back end that leaves gets no new work.
const leaveLimit = 3 * time.Second

// TestFailureEngineKilled kills an engine that streams, and cuts streams of the
// others.
func TestFailureEngineKilled(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	_, step := w.awaitOwner()
	dead := w.engines[0]
	dead.tap.close()
	w.kill(dead.process)
	t.Logf("%s died with %d of %d samples of %s committed", dead.name, step.Committed, step.Samples, step.Step)
	for _, b := range w.engines[1:] {
		w.setFault(b.address, standin.FaultCutStream, 3)
	}
	took := w.await("all nodes to list the engine as dead", func() error {
		for _, n := range w.live() {
			status, err := n.probe.Status(w.ctx)
			if err != nil {
				return err
			}
			for _, b := range status.Backends {
				if string(b.ID) == dead.name && b.State != cluster.StateDead {
					return fmt.Errorf("%s lists it as %s", n.id, b.State)
				}
			}
		}
		return nil
	})
	t.Logf("%s was listed as dead after %v", dead.name, took.Round(time.Millisecond))
	l.awaitWork(2, 100)
	l.check()
}

// TestFailureSwaps lets loads of weights fail, or end on a version that nobody
// ordered, while streams run.
func TestFailureSwaps(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	w.awaitOwner()
	w.setFault(w.engines[0].address, standin.FaultSwapFail, 2)
	w.setFault(w.engines[1].address, standin.FaultSwapWrong, 2)
	w.setFault(w.engines[2].address, standin.FaultSwapFail, 1)
	w.setFault(w.engines[2].address, standin.FaultSwapWrong, 1)
	l.awaitWork(3, 100)
	l.check()
	versions := map[int64]int{}
	for _, d := range l.taken {
		for _, segment := range d.sample.Versions {
			versions[int64(segment.Version)]++
		}
	}
	t.Logf("segments taken by version: %v", versions)
}

// TestFailureServiceAnswers lets servers drop requests before and after they
// ran, break answers off, crash, and all refuse at once.
func TestFailureServiceAnswers(t *testing.T) {
	w := newWorld(t, worldOptions{})
	l := w.startLoad(false)
	l.awaitWork(0, 50)
	faults := []standin.FaultName{standin.FaultDropAfter, standin.FaultDropBefore, standin.FaultTruncate}
	for round := range 4 {
		for i, b := range w.services {
			w.setFault(b.address, faults[i], 2)
			w.setFault(b.address, faults[(i+1)%len(faults)], 2)
		}
		l.awaitWork(0, 30)
		w.setFault(w.services[round%len(w.services)].address, standin.FaultCrash, 0.5)
		l.awaitWork(0, 30)
		for _, b := range w.services {
			w.setFault(b.address, standin.FaultRefuse, 0.5)
		}
		l.awaitWork(0, 30)
	}
	l.check()
	if l.notRun.Load() == 0 {
		t.Error("no request was refused as not run, so nothing was shown")
	}
}

// busiest returns the back end that got the most work so far.
func busiest(all []*backendProcess) *backendProcess {
	return slices.MaxFunc(all, func(a, b *backendProcess) int {
		return len(a.tap.arrivedAfter(time.Time{})) - len(b.tap.arrivedAfter(time.Time{}))
	})
}

// TestFailureBackendLeaves lets an engine and a server leave while the machine
// list lags. Nothing new may come to them once the limit is over.
func TestFailureBackendLeaves(t *testing.T) {
	w := newWorld(t, worldOptions{tapServices: true})
	w.setFault(w.platform, standin.FaultListLag, float64(time.Hour.Milliseconds()))
	l := w.startLoad(false)
	w.awaitOwner()
	l.awaitWork(0, 50)
	leaving := []*backendProcess{busiest(w.engines), busiest(w.services)}
	for _, b := range leaving {
		w.postTo(b.address, "/leave", struct{}{})
	}
	limit := time.Now().Add(leaveLimit)
	traffic.Sleep(w.ctx, time.Until(limit))
	l.awaitWork(2, 300)
	for _, b := range leaving {
		if late := b.tap.arrivedAfter(limit); len(late) > 0 {
			slices.Sort(late)
			t.Errorf("%s got new work after %v: %s", b.name, leaveLimit, strings.Join(late, ", "))
		}
		t.Logf("%s got %d requests in its life", b.name, len(b.tap.arrivedAfter(time.Time{})))
	}
	l.check()
}
