package coordinator

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"dalehook/internal/liveness"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// A predecessor of a later build may hand over records for a topic that this build does not know. The
// platform's client names each topic that it does not know as that of the jobs, so they would be appended there
// (by this test; found by listing what builds hand over).
func TestRecordsForATopicThatIsNotKnownAreNotAppended(t *testing.T) {
	memory := storetest.NewMemory()
	c, _ := run(t, memory, newQuickEngines(), 1, zap.NewNop())
	later := store.Partition{Topic: store.Topic(99)}
	jobs := store.Partition{Topic: store.TopicJobs}
	c.appendLeft(context.Background(), liveness.HandedOver{Pending: []liveness.Pending{
		{Partition: later, Records: [][]byte{[]byte("record")}}, {Partition: jobs, Records: [][]byte{[]byte("record")}},
	}}, 0)
	if memory.End(later) != 0 || memory.End(jobs) != 1 {
		t.Errorf("%d records of the later topic, %d of the jobs", memory.End(later), memory.End(jobs))
	}
}
