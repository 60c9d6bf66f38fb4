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
// platform's store client maps unknown topics to the jobs topic, so the records would be appended there.
func TestHandedOverRecordsOfUnknownTopicAreNotAppended(t *testing.T) {
	memory := storetest.NewMemory()
	c, _ := startCoordinator(t, memory, newQuickEngines(), 1, zap.NewNop())
	later := store.Partition{Topic: store.Topic(99)}
	jobs := store.Partition{Topic: store.TopicJobs}
	c.appendHandover(context.Background(), liveness.Handover{Pending: []liveness.Pending{
		{Partition: later, Records: [][]byte{[]byte("record")}}, {Partition: jobs, Records: [][]byte{[]byte("record")}},
	}}, 0)
	if memory.End(later) != 0 || memory.End(jobs) != 1 {
		t.Errorf("%d records in the unknown topic, %d in the jobs topic", memory.End(later), memory.End(jobs))
	}
}
