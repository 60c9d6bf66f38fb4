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

// propagationTime is the time after which a position that was read at one node must be readable at
// every healthy node.
const propagationTime = time.Second

// delayedLog is a store that delays its answers to reads with a wait; the answers show the partition at
// the time of the request. It counts the reads of jobs.
type delayedLog struct {
	*storetest.Memory
	// delay is the delay of such an answer; other answers take callLatency.
	delay time.Duration
	reads atomic.Int64
}

// callLatency is the duration of a store call without a wait.
const callLatency = 5 * time.Millisecond

func (l *delayedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic != store.TopicJobs {
		return l.Memory.Read(ctx, at, from, wait)
	}
	l.reads.Add(1)
	read, err := l.Memory.Read(ctx, at, from, 0)
	took := callLatency
	if wait > 0 {
		took = l.delay
	}
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(took):
		return read, err
	}
}

// The answer to a read shows the partition at the time of the request. It may arrive later by the
// store's wait, and a stalled process handles it later still. If staleness is counted from the arrival
// of the answer, a node reports no result at a position that another node read more than 1 s before.
// The test appends positions at varying times relative to the node's reads and reads each after
// propagationTime.
func TestStalenessCountsFromRequestTime(t *testing.T) {
	delays := map[string]time.Duration{
		"wait of the scheduler's reads": schedulerReadWait, "full wait": 700 * time.Millisecond,
		"stalled process": 950 * time.Millisecond, "just before the timeout": 1400 * time.Millisecond,
	}
	for name, delay := range delays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReadsAfterPropagation(t, delay) })
		})
	}
}

func checkReadsAfterPropagation(t *testing.T, delay time.Duration) {
	const positions = 60
	// step shifts each append relative to the node's reads.
	const step = 37 * time.Millisecond
	log := &delayedLog{Memory: storetest.NewMemory(), delay: delay}
	logs := startLogs(t, log)
	appendJob(t, log, logs, "job", positions, 0)
	checkRead(t, logs, "job", 0, 0)
	for position := range positions {
		time.Sleep(step)
		appendResults(t, logs, "job", position, position+1)
		// A request in between keeps the partition followed.
		time.Sleep(propagationTime / 2)
		if _, err := countResults(logs, "job", position); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationTime / 2)
		checkRead(t, logs, "job", position, 1)
	}
}

// longPollLog is a store that holds reads as requested, plus callLatency, and counts them.
type longPollLog struct {
	*storetest.Memory
	// extraLatency is added to callLatency.
	extraLatency time.Duration
	reads        atomic.Int64
}

func (l *longPollLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if at.Topic == store.TopicJobs {
		l.reads.Add(1)
		time.Sleep(callLatency + l.extraLatency)
	}
	return l.Memory.Read(ctx, at, from, wait)
}

// Bounds the store calls caused by callers that poll for a position that does not exist yet, with and
// without a subscribed scheduler and for different poll intervals.
func TestCallerReadsNeedFewStoreCalls(t *testing.T) {
	cases := []struct {
		scheduler bool
		every     time.Duration
		// maxRate is the maximum number of calls per second.
		maxRate float64
	}{
		{scheduler: true, every: 100 * time.Millisecond, maxRate: 2.9},
		{scheduler: true, every: 500 * time.Millisecond, maxRate: 2.9},
		{scheduler: false, every: 100 * time.Millisecond, maxRate: 2.6},
		{scheduler: false, every: 500 * time.Millisecond, maxRate: 2.4},
		{scheduler: false, every: 2500 * time.Millisecond, maxRate: 1.6},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("scheduler=%v,every=%v", c.scheduler, c.every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rate := callRate(t, c.scheduler, c.every)
				t.Logf("%.2f calls per second", rate)
				if rate > c.maxRate {
					t.Errorf("more than %v calls per second", c.maxRate)
				}
			})
		})
	}
}

// callRate returns the store calls per second over a minute of polling.
func callRate(t *testing.T, scheduler bool, interval time.Duration) float64 {
	log := &longPollLog{Memory: storetest.NewMemory()}
	logs := startLogs(t, log)
	appendJob(t, log, logs, "job", 1, 0)
	if scheduler {
		recorded := &recorder{}
		logs.Subscribe(t.Context(), 0, recorded)
	}
	checkRead(t, logs, "job", 0, 0)
	log.reads.Store(0)
	began := time.Now()
	for time.Since(began) < time.Minute {
		time.Sleep(interval)
		checkRead(t, logs, "job", 0, 0)
	}
	return float64(log.reads.Load()) / time.Since(began).Seconds()
}

// With a store latency of about 0.2 s, the last read is usually too stale for an answer. When each
// caller then read the partition's end itself, the reads of a partition grew with the number of
// waiting callers, to 10 to 16 per second for 20 callers.
func TestCallersShareEndReads(t *testing.T) {
	const (
		callers = 20
		// maxRate is the maximum number of reads per second: those that follow the partition,
		// held for 0.35 s and answered 0.2 s later, and one shared by callers for each of them.
		maxRate = 6.0
	)
	synctest.Test(t, func(t *testing.T) {
		log := &longPollLog{Memory: storetest.NewMemory(), extraLatency: 200 * time.Millisecond}
		logs := startLogs(t, log)
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
		if rate := float64(log.reads.Load()) / time.Since(began).Seconds(); rate > maxRate {
			t.Errorf("%.1f reads per second", rate)
		}
	})
}
