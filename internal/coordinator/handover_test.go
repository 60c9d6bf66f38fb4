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

// oneEvent is a pool of engines whose runs make one event and then stand still.
type oneEvent struct{ made chan string }

func (e oneEvent) Run(ctx context.Context, start scheduler.Start, emit func(scheduler.Event)) (scheduler.EndReason, error) {
	emit(scheduler.Event{ID: "1", Data: "data of " + start.Item.ID, Version: 1})
	e.made <- start.Item.ID
	<-ctx.Done()
	return scheduler.EndBroken, ctx.Err()
}

func (oneEvent) State(context.Context, scheduler.Server, string) (EngineState, error) {
	return EngineState{Version: 1}, nil
}

func (oneEvent) Load(context.Context, scheduler.LoadOrder, int64) (OrderAnswer, error) {
	return OrderHolds, nil
}

// nothingObserved observes nothing.
type nothingObserved struct{}

func (nothingObserved) ObserveAttempt(scheduler.EndReason)          {}
func (nothingObserved) ObserveResult(string)                        {}
func (nothingObserved) ObserveLoad(bool)                            {}
func (nothingObserved) ObserveReward(reward.Verdict, time.Duration) {}

// appendJob has a job of so many items accepted.
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

// run returns a running coordinator that knows a route and an engine of so many slots, and the
// jobs that it follows in one partition.
func run(t *testing.T, log store.Log, engines Engines, slots int, logger *zap.Logger) (*Coordinator, *joblog.Logs) {
	t.Helper()
	return runPartitions(t, log, 1, engines, slots, logger)
}

// runPartitions is run for jobs in so many partitions.
func runPartitions(t *testing.T, log store.Log, partitions int, engines Engines, slots int, logger *zap.Logger) (*Coordinator, *joblog.Logs) {
	t.Helper()
	jobs := joblog.NewLogs(joblog.Options{Log: log, Partitions: partitions, Logger: logger})
	servers := directory.NewDirectory()
	servers.Replace([]directory.Server{{ID: "s", Service: "pool", Slots: slots, Versions: map[string]int64{"m": 1}}})
	c := New(Options{Engines: engines, Log: log, Jobs: jobs, Directory: servers, Logger: logger, Observer: nothingObserved{}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	reading := make(chan struct{})
	go func() { defer close(reading); jobs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; <-reading })
	route := routetable.Route{Name: "r", Host: "h", Prefix: "/p/", Kind: routetable.KindBatch, MaxAttempts: 3, Resumable: true,
		Targets: []routetable.Target{{Service: "pool", Weight: 1}}, ItemLifetime: time.Minute}
	c.ObserveTable(routetable.NewTable(1, []routetable.Route{route}, []routetable.Service{{Name: "pool", Models: []string{"m"}}}, routetable.Limits{}))
	return c, jobs
}

// leads has a coordinator lead under an epoch.
func leads(c *Coordinator, epoch int64) {
	now := time.Now()
	c.ObserveLease(election.Standing{Leading: true, Held: true, Lease: election.Lease{Epoch: epoch, ClaimedAt: now, Until: now.Add(time.Minute)}})
}

// lead returns a coordinator that runs the items of a job under epoch 1, each of which has made
// an event.
func lead(t *testing.T, items int) *Coordinator {
	t.Helper()
	engines := oneEvent{made: make(chan string, items)}
	c, jobs := run(t, storetest.NewMemory(), engines, items, zap.NewNop())
	appendJob(t, jobs, "j", items)
	leads(c, 1)
	for range items {
		<-engines.made
	}
	return c
}

func handedTexts(left liveness.HandedOver) int {
	texts := 0
	for _, pending := range left.Pending {
		if pending.Partition.Topic == store.TopicProgress {
			texts += len(pending.Records)
		}
	}
	return texts
}

// All texts are handed over, be the store as quick as it may with what it was given of them.
func TestAllTextsAreHandedOver(t *testing.T) {
	const items = 200 // enough for the queue to be at work while they are handed over
	for range 5 {
		c := lead(t, items)
		if left := c.HandOver(1); left.Whole || len(left.Pending) > 0 {
			t.Fatalf("handed over before the term was given up: %+v", left)
		}
		c.Resign()
		left := c.HandOver(1)
		if got := handedTexts(left); got != items || !left.Whole {
			t.Fatalf("%d texts of %d, whole %v", got, items, left.Whole)
		}
		if again := c.HandOver(1); handedTexts(again) != items {
			t.Errorf("%d texts when asked again", handedTexts(again))
		}
	}
}

// Seen: a successor is handed nothing, and begins the items of all jobs anew. It comes about where
// the process stands still between noting that the lease is given up and telling the coordinator:
// the election ends the term first. Cause: a term that ended so left nothing behind. Proof: all
// texts are there for whoever asks under its epoch.
func TestATermThatEndsBeforeItIsYieldedIsHandedOver(t *testing.T) {
	const items = 3
	c := lead(t, items)
	c.ObserveLease(election.Standing{Lease: election.Lease{Epoch: 1}})
	c.Yield(1)
	if left := c.HandOver(1); handedTexts(left) != items || !left.Whole {
		t.Errorf("%d texts of %d, whole %v", handedTexts(left), items, left.Whole)
	}
}
