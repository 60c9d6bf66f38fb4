package frontend

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/clock"
	"dalehook/internal/joblog"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// Guards against a due time that changes at a takeover or when a caller submits the job again: the time
// of the first acceptance must be in the job's record.
func TestSubmittedJobHasItsTimeOfAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := storetest.NewMemory()
		n := &Node{logger: zap.NewNop(), jobLogs: joblog.NewLogs(joblog.Options{Log: log, Partitions: 1, Logger: zap.NewNop()})}
		n.metrics = newNodeMetrics(n, func() int64 { return 0 })
		first := clock.TimeOfDay().UnixMilli()
		for range 2 {
			if verdict := n.Submit(t.Context(), &batch.Job{ID: "j", Items: []batch.Item{{ID: "i"}}}); verdict != VerdictDone {
				t.Fatalf("verdict %s", verdict)
			}
			time.Sleep(time.Second)
		}
		read, err := log.Read(t.Context(), store.Partition{Topic: store.TopicJobs}, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		fold := batch.NewFold()
		for _, record := range read.Records {
			if _, err := fold.Apply(record.Value); err != nil {
				t.Fatal(err)
			}
		}
		if got := fold.Job("j").Job.AcceptedAt; got != first {
			t.Errorf("accepted at %d, submitted at %d", got, first)
		}
	})
}
