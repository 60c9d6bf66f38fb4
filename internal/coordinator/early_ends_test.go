package coordinator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dalehook/internal/batch"
	"dalehook/internal/joblog"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// jobIndex is the index of the only partition of jobs.
var jobIndex = store.Partition{Topic: store.TopicJobIndex}

func appendEnd(t *testing.T, jobs *joblog.Logs, id string) {
	t.Helper()
	records, err := batch.EncodeEnd(&batch.End{JobID: id})
	if err != nil {
		t.Fatal(err)
	}
	if err := jobs.Append(context.Background(), id, records); err != nil {
		t.Fatal(err)
	}
}

// Guards against review/3 and a change of the coordinator in between: the items of a job whose record comes after its
// end never reach an engine, at the coordinator that read the end or at one that begins to read behind it.
func TestJobAfterItsEndIsNotTakenUp(t *testing.T) {
	const ended, notTakenUp = "job ended before it was read", "job not taken up: its end was read first"
	memory, engines := storetest.NewMemory(), newQuickEngines()
	core, logged := observer.New(zap.InfoLevel)
	appeared := func(message string, count int) func() bool {
		return func() bool { return logged.FilterMessage(message).Len() == count }
	}
	first, jobs := startCoordinator(t, memory, engines, 4, zap.New(core))
	grantLease(first, 1)
	appendJob(t, jobs, "before", 1)
	awaitItem(t, engines, "beforea")
	appendEnd(t, jobs, "late")
	appendEnd(t, jobs, "later")
	appendEnd(t, jobs, "before")
	eventually(t, "both ends are noted", appeared(ended, 2))
	appendJob(t, jobs, "late", 2)
	eventually(t, "the job is read", appeared(notTakenUp, 1))
	// The index tells the next coordinator that all jobs before this offset have ended.
	index := joblog.NewLogs(joblog.Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
	eventually(t, "the index is written", func() bool { return len(records(t, memory, jobIndex)) >= 5 })
	index.Follow(t.Context(), 0)
	if !index.IndexedEarlyEnd(batch.JobKey{ID: "later"}) {
		t.Errorf("the index has no early end: %v", records(t, memory, jobIndex))
	}

	second, _ := startCoordinator(t, memory, engines, 4, zap.New(core))
	grantLease(second, 2)
	appendJob(t, jobs, "later", 2)
	appendJob(t, jobs, "next", 1)
	awaitItem(t, engines, "nexta")
	if got := logged.FilterMessage(notTakenUp).FilterField(zap.String("job", "later")).Len(); got == 0 {
		t.Error("no coordinator has noted the job after its end")
	}
	select {
	case item := <-engines.started:
		// Both coordinators lead here, and the first one runs the last job as well.
		if item != "nexta" {
			t.Errorf("item %s was started", item)
		}
	case <-time.After(300 * time.Millisecond):
	}
}
