package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Sizes of the case.
const (
	endNodes   = 4
	endEngines = 4
	endJobs    = 8
	endGroups  = 56
	endSize    = 4
	// outageTime is how long the store is down (site file: platform_down for_s = 4.5).
	outageTime = 4500 * time.Millisecond
	// A call without an answer may be done seconds later. The share and the delays are those of the kind
	// platform_lost (x = 0.3; how late: done 1 to 6 s later).
	lateShare = 0.3
	minLate   = time.Second
	maxLate   = 6 * time.Second
	// cancelBound is the bound cancelMs, contactBound the bound contactTimeoutMs.
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

// endedJobs knows when the ends of batch jobs were acknowledged.
type endedJobs struct {
	record  *recorder
	mutex   sync.Mutex
	endedAt map[string]time.Time
	// judgedFrom is the time from which the nodes are in touch.
	judgedFrom time.Time
	arrivals   map[string]int
	late       map[string]int
}

func (j *endedJobs) arrived(itemID, engineID string, at time.Time) {
	job := strings.TrimPrefix(itemID, "item-")
	job = job[:strings.LastIndex(job[:strings.LastIndex(job, "-")], "-")]
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.arrivals[job]++
	ended := j.endedAt[job]
	if ended.IsZero() || at.Sub(ended) <= cancelBound || at.Before(j.judgedFrom) {
		return
	}
	j.late[job]++
	if j.late[job] == 1 {
		j.record.breaks("UNASKED", "item %s reaches %s %.1f s after the end of its batch job was acknowledged (cancelMs is 3000)",
			itemID, engineID, at.Sub(ended).Seconds())
	}
}

// playEnd has trainers hand in batch jobs while the store is down, give them up and end them. Rule UNASKED: an item
// must not arrive at a server more than cancelMs after the end of its batch job was acknowledged.
func playEnd(t *trial) error {
	store, address, err := t.startStore(300 * time.Second)
	if err != nil {
		return err
	}
	named := &versions{newest: 1}
	engines, err := t.startEngines(endEngines, store, named)
	if err != nil {
		return err
	}
	jobs := &endedJobs{record: t.record, endedAt: make(map[string]time.Time), arrivals: make(map[string]int), late: make(map[string]int)}
	for _, e := range engines {
		e.onArrival = jobs.arrived
	}
	if err := t.startNodes(endNodes, address, false); err != nil {
		return err
	}
	t.record.note("all nodes are ready")
	if err := t.pause(4 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	if t.trouble {
		store.setOutage(outage{from: began, to: began.Add(outageTime), lateShare: lateShare, minLate: minLate, maxLate: maxLate})
		t.record.note("platform_down silent: the store answers no call for %v", outageTime)
		// The store is stable contactTimeoutMs after the outage, and the nodes are in touch once it was so throughout that time.
		jobs.judgedFrom = began.Add(outageTime + 2*contactBound)
	}
	var trainers sync.WaitGroup
	for i := range endJobs {
		trainers.Go(func() { t.handInAndEnd(i, began, jobs) })
	}
	trainers.Wait()
	if err := t.pause(maxLate + itemLifetime + 6*time.Second); err != nil {
		return err
	}
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	summary := fmt.Sprintf("%d batch jobs ended; items that reached engines, by batch job: %v; of these too late: %v", len(jobs.endedAt), jobs.arrivals, jobs.late)
	t.record.note("%s", summary)
	fmt.Println(summary)
	return nil
}

// handInAndEnd hands in a batch job at two nodes, one after the other, and ends it whatever the answers were.
func (t *trial) handInAndEnd(number int, began time.Time, jobs *endedJobs) {
	id := fmt.Sprintf("job-%d-%d", t.seed, number)
	body := newJob(id, 0, 1, endGroups, endSize)
	for try := range 2 {
		n := t.nodes[(number+try)%len(t.nodes)]
		status, _ := jobCall("POST", n.requests, rolloutPath+id, id, body)
		t.record.note("batch job %s handed in at %s: answer %d", id, n.name, status)
		if status == 202 {
			break
		}
	}
	// The trainer's time for the step is over.
	time.Sleep(time.Until(began.Add(outageTime + 100*time.Millisecond)))
	for try := 0; ; try++ {
		n := t.nodes[(number+try)%len(t.nodes)]
		status, _ := jobCall("DELETE", n.requests, "/-/lots/"+id, id, nil)
		t.record.note("batch job %s ended at %s: answer %d", id, n.name, status)
		if status == 200 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	jobs.endedAt[id] = time.Now()
}
