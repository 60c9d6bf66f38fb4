package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Sizes of the case. The fleet, the engines and the pace of the steps are those of a small deployment.
const (
	leaseNodes   = 4
	leaseEngines = 11
	stepEvery    = 4 * time.Second
	trainTime    = 500 * time.Millisecond
	// leaseDuration is the bound leaseDurationMs.
	leaseDuration = 3 * time.Second
	// leaseKeep is the time after which the store removes records (the sheet: 20 s of history).
	leaseKeep = 20 * time.Second
	// A process is killed as often as killTimes, each time when the lease has been held for longer than the store keeps
	// records, by killAfter at least.
	killTimes = 3
	killAfter = 500 * time.Millisecond
	// killPhase is how long after a version was named the process is killed: its successor is up before the next one.
	killPhase = 3300 * time.Millisecond
	// restartDelay is the short delay after which a killed process is started again.
	restartDelay = 500 * time.Millisecond
	// watchTime is how long the orders are watched after the last kill.
	watchTime = 8 * time.Second
)

// playLease kills a process that does not lead and starts it again, when the leader has held its lease for longer than
// the store keeps records. Rule ONE: holders must not take turns within leaseDurationMs.
func playLease(t *trial) error {
	store, address, err := t.startStore(leaseKeep)
	if err != nil {
		return err
	}
	named := &versions{newest: 1}
	engines, err := t.startEngines(leaseEngines, store, named)
	if err != nil {
		return err
	}
	if err := t.startNodes(leaseNodes, address, false); err != nil {
		return err
	}
	t.record.note("all nodes are ready")
	stop := make(chan struct{})
	defer close(stop)
	go t.train(named, store, stop)
	kills := killTimes
	if t.kills > 0 {
		kills = t.kills
	}
	for number := range kills {
		if err := t.pause(store.keep + killAfter); err != nil {
			return err
		}
		if err := t.killFollower(number, store, named, engines); err != nil {
			return err
		}
	}
	if err := t.pause(watchTime); err != nil {
		return err
	}
	for _, n := range t.nodes {
		if n.exited() {
			return fmt.Errorf("%s has ended by itself", n.name)
		}
	}
	checkHolders(t.record, engines)
	return nil
}

// killFollower kills a process that did not give the last order, and starts it again.
func (t *trial) killFollower(number int, store *standinStore, named *versions, engines []*engine) error {
	for before := named.get(); named.get() == before; {
		if err := t.pause(5 * time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.pause(killPhase); err != nil {
		return err
	}
	t.record.note("the store has removed the first %d records of the partition leases/0", store.firstKept("leases", 0))
	leader := lastHolder(engines)
	t.record.note("the last order was that of %s", leader)
	followers := slices.DeleteFunc(slices.Clone(t.nodes), func(n *node) bool { return n.name == leader })
	n := followers[number%len(followers)]
	if !t.trouble {
		return nil
	}
	n.kill()
	t.record.note("node_kill: %s, which does not lead, is killed", n.name)
	if err := t.pause(restartDelay); err != nil {
		return err
	}
	t.record.note("%s is started again", n.name)
	return n.start()
}

// lastHolder returns the holder of the last order.
func lastHolder(engines []*engine) string {
	var last order
	for _, e := range engines {
		e.mutex.Lock()
		if n := len(e.orders); n > 0 && e.orders[n-1].at.After(last.at) {
			last = e.orders[n-1]
		}
		e.mutex.Unlock()
	}
	return last.holder
}

// checkHolders checks rule ONE at each engine: "holders taking turns within leaseDurationMs".
func checkHolders(record *recorder, engines []*engine) {
	total, holders := 0, map[string]bool{}
	for _, e := range engines {
		e.mutex.Lock()
		orders := slices.Clone(e.orders)
		e.mutex.Unlock()
		total += len(orders)
		for i, o := range orders {
			holders[o.holder] = true
			if i == 0 {
				continue
			}
			before := orders[i-1]
			if gap := o.at.Sub(before.at); o.holder != before.holder && gap < leaseDuration {
				record.breaks("ONE", "%s gets an order of %s (token %d, at %s) %.2f s after one of %s (token %d); leaseDurationMs is 3000",
					e.id, o.holder, o.fence, record.at(o.at), gap.Seconds(), before.holder, before.fence)
			}
			if o.fence < before.fence {
				record.breaks("ONE", "%s gets token %d after token %d", e.id, o.fence, before.fence)
			}
			if o.fence == before.fence && o.holder != before.holder {
				record.breaks("ONE", "%s and %s share token %d at %s", o.holder, before.holder, o.fence, e.id)
			}
		}
	}
	record.note("%d orders of %d holders at %d engines", total, len(holders), len(engines))
	fmt.Printf("%d orders of %d holders at %d engines\n", total, len(holders), len(engines))
}

// train runs a step each stepEvery: it submits a batch job, reads its results, ends it and names the next version.
func (t *trial) train(named *versions, store *standinStore, stop chan struct{}) {
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		default:
		}
		next := time.Now().Add(stepEvery)
		t.step(step, named, store)
		time.Sleep(time.Until(next))
	}
}

// step is one step of the trainer. Calls go to one node after the other until one has the wanted answer.
func (t *trial) step(step int, named *versions, store *standinStore) {
	const groups, size = 12, 4
	id := fmt.Sprintf("job-%d-%d", t.seed, step)
	body := newJob(id, step, max(named.get()-1, 1), groups, size)
	accepted := false
	for try := 0; try < 4 && !accepted; try++ {
		status, _ := jobCall("POST", t.nodes[(step+try)%len(t.nodes)].requests, rolloutPath+id, id, body)
		accepted = status == 202
	}
	t.record.note("batch job %s accepted: %v", id, accepted)
	deadline := time.Now().Add(7500 * time.Millisecond)
	position, total := 0, groups*size
	for accepted && position < total*9/10 && time.Now().Before(deadline) {
		time.Sleep(400 * time.Millisecond)
		status, answer := jobCall("GET", t.nodes[(step+position)%len(t.nodes)].requests, fmt.Sprintf("/-/lots/%s?afterRevision=%d", id, position), id, nil)
		var page results
		if status == 200 && json.Unmarshal(answer, &page) == nil {
			position = page.NextPageToken
		}
	}
	t.record.note("batch job %s: %d of %d results read", id, position, total)
	for try := range 4 {
		if status, _ := jobCall("DELETE", t.nodes[(step+try)%len(t.nodes)].requests, "/-/lots/"+id, id, nil); status == 200 {
			break
		}
	}
	time.Sleep(trainTime)
	t.name(named, store)
}
