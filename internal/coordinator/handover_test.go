package coordinator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/election"
	"dalehook/internal/joblog"
	"dalehook/internal/liveness"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
	"dalehook/internal/scheduler"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// oneEventEngines emit one event per run and then nothing until the run is cancelled.
type oneEventEngines struct{ emitted chan string }

func (e oneEventEngines) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	emit(scheduler.Event{ID: "1", Data: "data of " + start.Item.ID, Version: 1})
	e.emitted <- start.Item.ID
	<-ctx.Done()
	return scheduler.EndBroken, ctx.Err()
}

func (oneEventEngines) State(context.Context, scheduler.Server, string) (EngineState, error) {
	return EngineState{Version: 1}, nil
}

func (oneEventEngines) Load(context.Context, scheduler.LoadOrder, int64) (OrderAnswer, error) {
	return OrderSatisfied, nil
}

// discardObserver discards all metrics.
type discardObserver struct{}

func (discardObserver) ObserveAttempt(scheduler.EndReason)              {}
func (discardObserver) ObserveResult(string)                            {}
func (discardObserver) ObserveMove()                                    {}
func (discardObserver) ObserveWait(scheduler.WaitReason, time.Duration) {}
func (discardObserver) ObserveLoad(bool)                                {}
func (discardObserver) ObserveReward(reward.Verdict, time.Duration)     {}

// appendJob appends a job with the given number of items.
func appendJob(t *testing.T, jobs *joblog.Logs, id string, items int) {
	t.Helper()
	job := &batch.Job{ID: id, Host: "h", Path: "/p/1", Model: "m", MinVersion: 1}
	for i := range items {
		job.Items = append(job.Items, batch.Item{ID: id + string(rune('a'+i)), Path: "/p/x"})
	}
	records, err := batch.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	if err := jobs.Append(context.Background(), job.ID, records); err != nil {
		t.Fatal(err)
	}
}

// startCoordinator starts a coordinator with one route, one engine with the given number of slots
// and one job partition. It also returns the job logs.
func startCoordinator(t *testing.T, log store.Log, engines Engines, slots int, logger *zap.Logger) (*Coordinator, *joblog.Logs) {
	t.Helper()
	return startCoordinatorWithPartitions(t, log, 1, engines, slots, logger)
}

// startCoordinatorWithPartitions is startCoordinator with the given number of job partitions.
func startCoordinatorWithPartitions(t *testing.T, log store.Log, partitions int, engines Engines, slots int, logger *zap.Logger) (*Coordinator, *joblog.Logs) {
	t.Helper()
	jobs := joblog.NewLogs(joblog.Options{Log: log, Partitions: partitions, Logger: logger})
	servers := directory.NewDirectory()
	servers.Replace([]directory.Server{{ID: "s", Service: "pool", Slots: slots, Versions: map[string]int64{"m": 1}}})
	c := New(Options{Engines: engines, Log: log, JobLogs: jobs, Directory: servers, Logger: logger, Observer: discardObserver{}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	reading := make(chan struct{})
	go func() { defer close(reading); jobs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; <-reading })
	route := routetable.Route{Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3, Resumable: true,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: time.Minute}
	c.HandleTable(routetable.NewTable(1, []routetable.Route{route}, []routetable.Service{{Name: "pool", Models: []string{"m"}}}, routetable.Limits{}))
	return c, jobs
}

// grantLease gives a coordinator the lease with an epoch.
func grantLease(c *Coordinator, epoch int64) {
	now := time.Now()
	c.HandleLease(election.State{Leading: true, Held: true, Lease: election.Lease{Epoch: epoch, ClaimedAt: now, ExpiresAt: now.Add(time.Minute)}})
}

// startLeading returns a coordinator that runs the items of a job under epoch 1, each of which has
// emitted an event.
func startLeading(t *testing.T, items int) *Coordinator {
	t.Helper()
	engines := oneEventEngines{emitted: make(chan string, items)}
	c, jobs := startCoordinator(t, storetest.NewMemory(), engines, items, zap.NewNop())
	appendJob(t, jobs, "j", items)
	grantLease(c, 1)
	for range items {
		<-engines.emitted
	}
	return c
}

func countProgressRecords(handover liveness.Handover) int {
	count := 0
	for _, pending := range handover.Pending {
		if pending.Partition.Topic == store.TopicProgress {
			count += len(pending.Records)
		}
	}
	return count
}

// A handover must hold the progress of all items, however much of it was already appended.
func TestHandoverIncludesAllProgress(t *testing.T) {
	const items = 200 // enough to keep the queue busy during the handover
	for range 5 {
		c := startLeading(t, items)
		if handover := c.HandOver(1); handover.Whole || len(handover.Pending) > 0 {
			t.Fatalf("handed over before the term was resigned: %+v", handover)
		}
		c.Resign()
		handover := c.HandOver(1)
		if got := countProgressRecords(handover); got != items || !handover.Whole {
			t.Fatalf("%d of %d progress records, whole %v", got, items, handover.Whole)
		}
		if again := c.HandOver(1); countProgressRecords(again) != items {
			t.Errorf("%d progress records on a repeated handover", countProgressRecords(again))
		}
	}
}

// If the process stalls between noting that the lease is given up and calling Yield, the election
// ends the term first. Such a term used to leave no handover, so the successor restarted the items
// of all jobs.
func TestTermThatEndsBeforeYieldIsHandedOver(t *testing.T) {
	const items = 3
	c := startLeading(t, items)
	c.HandleLease(election.State{Lease: election.Lease{Epoch: 1}})
	c.Yield(1)
	if handover := c.HandOver(1); countProgressRecords(handover) != items || !handover.Whole {
		t.Errorf("%d of %d progress records, whole %v", countProgressRecords(handover), items, handover.Whole)
	}
}
