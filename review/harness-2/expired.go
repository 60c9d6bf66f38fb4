package main

import (
	"fmt"
	"time"
)

func init() { cases[4] = expiredItemOfEndedJob }

const (
	modelsHost = "ficu95.example"
	trainer    = "/pufi791/"
	model      = "daka510000"
	// itemLifetime is the time after which an item may be given up, trainerDeadline that after which a trainer ends its job.
	itemLifetime    = 10 * time.Second
	trainerDeadline = 12 * time.Second
)

func rolloutRoute() object {
	return object{
		"name": "summary", "host": modelsHost, "pathPrefix": trainer, "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400,
		"priority": 1, "service": "modelos", "maxAttempts": 3, "maxQueueS": itemLifetime.Seconds(), "resultDeadlineMs": 7500,
		"stickySessions": true, "resumable": true,
	}
}

func engineService(slots int) object {
	return object{"name": "modelos", "maxConnections": 170, "engine": object{"slots": slots, "kvCacheTokens": 52385, "stride": 16, "models": []object{{"name": model}}}}
}

// longItem is the number of events of an item whose name begins with "long", shortItem that of the others.
const (
	longItem  = 120
	shortItem = 16
)

func itemEvents(id string) int {
	if itemName(id) == "long" {
		return longItem
	}
	return shortItem
}

// newJob returns the job of a step, with groups of short items, and of a long and a short one each.
func newJob(step, shortGroups, longGroups int) *job {
	j := &job{
		id: fmt.Sprintf("7c41e09b52d6a3%02x", step), host: modelsHost, path: trainer, model: model, step: step, minVersion: 1,
		groups: make(map[string][]string), wanted: max((shortGroups+longGroups)*9/10, 1),
	}
	for i := range shortGroups {
		group := fmt.Sprintf("g%d-%d", step, i)
		j.groups[group] = []string{"short." + group + ".0", "short." + group + ".1"}
	}
	for i := range longGroups {
		group := fmt.Sprintf("h%d-%d", step, i)
		j.groups[group] = []string{"long." + group + ".0", "short." + group + ".1"}
	}
	return j
}

// expiredItemOfEndedJob: some items are still running when they may be given up, and the store is down from before that
// until after the trainer has begun to end the job. The groups that were not whole return in the next job.
func expiredItemOfEndedJob(w *world) error {
	if err := w.putConfiguration(1, []object{rolloutRoute()}, []object{engineService(16)}); err != nil {
		return err
	}
	for i := range 3 {
		engine := &server{id: fmt.Sprint("i-engine-", i+1), service: "modelos", model: model, slots: 16, gap: 100 * time.Millisecond, events: itemEvents}
		if err := w.startServer(engine); err != nil {
			return err
		}
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	if err := w.sleep(4 * time.Second); err != nil {
		return err
	}
	first := newJob(0, 4, 4)
	sentAt := time.Now()
	if err := w.submit(first); err != nil {
		return err
	}
	done := func() bool { return len(first.unfinished()) == 0 }
	if err := w.readUntil(first, sentAt.Add(9300*time.Millisecond), done); err != nil {
		return err
	}
	if w.trouble {
		w.setStoreDown(true)
		time.AfterFunc(time.Until(sentAt.Add(trainerDeadline+800*time.Millisecond)), func() { w.setStoreDown(false) })
	}
	if err := w.readUntil(first, sentAt.Add(trainerDeadline), done); err != nil {
		return err
	}
	w.endByAll(first)
	w.checkTexts(first, itemEvents)
	return w.nextStep(first)
}

// endByAll ends a job as its trainer and, from other nodes, as other clients that repeat the call.
func (w *world) endByAll(j *job) {
	acknowledged := make(chan struct{})
	ended := make(chan bool, len(w.nodes))
	for client := range w.nodes {
		go func() { ended <- w.end(j, client, acknowledged) }()
	}
	<-ended
	close(acknowledged)
	for range len(w.nodes) - 1 {
		<-ended
	}
}

// nextStep submits the next job of a trainer, with the groups that were not whole first, reads its results and checks
// their texts.
func (w *world) nextStep(before *job) error {
	carried := before.unfinished()
	w.note("%d groups return", len(carried))
	if err := w.sleep(500 * time.Millisecond); err != nil {
		return err
	}
	next := newJob(before.step+1, 4, 0)
	for group, items := range carried {
		next.groups[group] = items
	}
	next.wanted = len(next.groups)
	sentAt := time.Now()
	if err := w.submit(next); err != nil {
		return err
	}
	done := func() bool { return len(next.unfinished()) == 0 }
	if err := w.readUntil(next, sentAt.Add(trainerDeadline), done); err != nil {
		return err
	}
	w.checkTexts(next, itemEvents)
	w.endByAll(next)
	return nil
}
