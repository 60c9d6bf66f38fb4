package joblog

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// settleTime is how long after a position was read at one node every sound node must have it.
const settleTime = time.Second

// lateLog is a store whose answers to reads that may be held come late, and tell what stood in
// the partition when the read was asked. It counts the reads of jobs.
type lateLog struct {
	*storetest.Memory
	// late is how long such an answer takes; other answers take wayTime.
	late  time.Duration
	reads atomic.Int64
}

// wayTime is how long a call of the store takes that is not held.
const wayTime = 5 * time.Millisecond

func (l *lateLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicJobs {
		return l.Memory.Read(ctx, at, from, wait)
	}
	l.reads.Add(1)
	read, err := l.Memory.Read(ctx, at, from, 0)
	took := wayTime
	if wait > 0 {
		took = l.late
	}
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(took):
		return read, err
	}
}

// Seen: a node says that a job has nothing at a position that was read at another node more than
// a second before. The answer to a read tells what stood there when it was asked; it comes up to
// the hold later, and a process that stands still gets to it later yet. The cause: what was read
// counted as news from when the answer had come. The proof: positions are appended at all moments
// of the node's reads, and each is asked for when the time to settle has passed.
func TestAnAnswerIsAsOldAsItsQuestion(t *testing.T) {
	lateness := map[string]time.Duration{
		"held as long as the scheduler's reads": schedulerReadWait, "held to the end": 700 * time.Millisecond,
		"process stands still": 950 * time.Millisecond, "nearly given up": 1400 * time.Millisecond,
	}
	for name, late := range lateness {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { readPositionsOnceSettled(t, late) })
		})
	}
}

func readPositionsOnceSettled(t *testing.T, late time.Duration) {
	const positions = 60
	// moments is the step by which the appends move on against the node's reads.
	const moments = 37 * time.Millisecond
	log := &lateLog{Memory: storetest.NewMemory(), late: late}
	logs := start(t, log)
	appendJob(t, log, logs, "job", positions, 0)
	checkRead(t, logs, "job", 0, 0)
	for position := range positions {
		time.Sleep(moments)
		appendResults(t, logs, "job", position, position+1)
		// Somebody asks in between, so that the node goes on reading.
		time.Sleep(settleTime / 2)
		if _, err := read(logs, "job", position); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime / 2)
		checkRead(t, logs, "job", position, 1)
	}
}

// heldLog is a store that holds reads as asked, with wayTime on top, and counts them.
type heldLog struct {
	*storetest.Memory
	// slower is added to wayTime.
	slower time.Duration
	reads  atomic.Int64
}

func (l *heldLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicJobs {
		l.reads.Add(1)
		time.Sleep(wayTime + l.slower)
	}
	return l.Memory.Read(ctx, at, from, wait)
}

// What reads of callers cost in calls of the store, by who reads the partition and by the time
// between two questions for a position that is not there yet.
func TestReadsOfCallersCostFewCalls(t *testing.T) {
	cases := []struct {
		scheduler bool
		every     time.Duration
		// most is the number of calls a second.
		most float64
	}{
		{scheduler: true, every: 100 * time.Millisecond, most: 2.9},
		{scheduler: true, every: 500 * time.Millisecond, most: 2.9},
		{scheduler: false, every: 100 * time.Millisecond, most: 2.6},
		{scheduler: false, every: 500 * time.Millisecond, most: 2.4},
		{scheduler: false, every: 2500 * time.Millisecond, most: 1.6},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("scheduler=%v,every=%v", c.scheduler, c.every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rate := callRate(t, c.scheduler, c.every)
				t.Logf("%.2f calls a second", rate)
				if rate > c.most {
					t.Errorf("more than %v", c.most)
				}
			})
		})
	}
}

// callRate returns the number of calls a second over a minute of questions.
func callRate(t *testing.T, scheduler bool, every time.Duration) float64 {
	log := &heldLog{Memory: storetest.NewMemory()}
	logs := start(t, log)
	appendJob(t, log, logs, "job", 1, 0)
	if scheduler {
		seen := &recorder{}
		logs.Subscribe(t.Context(), 0, seen)
	}
	checkRead(t, logs, "job", 0, 0)
	log.reads.Store(0)
	began := time.Now()
	for time.Since(began) < time.Minute {
		time.Sleep(every)
		checkRead(t, logs, "job", 0, 0)
	}
	return float64(log.reads.Load()) / time.Since(began).Seconds()
}

// Seen: the reads of one partition grow with the callers that wait for it, to 10 to 16 a second for
// twenty of them, while the store takes some 0.2 s to answer. It comes about since what was read
// last is too old for an answer then more often than not. Cause: each caller asked the
// store for the partition's end by itself. Proof: twenty callers cost about what one does.
func TestCallersShareTheReadOfThePartitionsEnd(t *testing.T) {
	const (
		callers = 20
		// most is the number of reads a second: those that follow the partition, held for 0.35 s
		// and answered 0.2 s later, and one for callers beside each of them.
		most = 6.0
	)
	synctest.Test(t, func(t *testing.T) {
		log := &heldLog{Memory: storetest.NewMemory(), slower: 200 * time.Millisecond}
		logs := start(t, log)
		appendJob(t, log, logs, "job", 1, 0)
		logs.Subscribe(t.Context(), 0, &recorder{})
		checkRead(t, logs, "job", 0, 0)
		log.reads.Store(0)
		began := time.Now()
		var waiting conc.WaitGroup
		for caller := range callers {
			waiting.Go(func() {
				time.Sleep(time.Duration(caller) * 25 * time.Millisecond)
				for time.Since(began) < time.Minute {
					checkRead(t, logs, "job", 0, 0)
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		waiting.Wait()
		if rate := float64(log.reads.Load()) / time.Since(began).Seconds(); rate > most {
			t.Errorf("%.1f reads a second", rate)
		}
	})
}
