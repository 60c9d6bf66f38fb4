package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

var jobs = store.Partition{Topic: store.TopicJobs, Number: 1}

func records(t *testing.T, memory *storetest.Memory, at store.Partition) []string {
	t.Helper()
	read, err := memory.Read(context.Background(), at, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, record := range read.Records {
		texts = append(texts, string(record.Value))
	}
	return texts
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func TestRecordsAreAppendedInOrderWithoutLoss(t *testing.T) {
	memory := storetest.NewMemory()
	termCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := newRecordWriter(termCtx, memory, zap.NewNop())
	memory.SetFault(storetest.FaultRefuse)
	for i := range 50 {
		writer.add(jobs, [][]byte{fmt.Appendf(nil, "%d", i)})
	}
	memory.SetFault(storetest.FaultNone)
	eventually(t, "all records", func() bool { return len(records(t, memory, jobs)) == 50 })
	for i, text := range records(t, memory, jobs) {
		if text != fmt.Sprint(i) {
			t.Fatalf("record %d is %q", i, text)
		}
	}
}

func TestNothingIsAppendedAfterTermEnds(t *testing.T) {
	memory := storetest.NewMemory()
	termCtx, cancel := context.WithCancel(context.Background())
	writer := newRecordWriter(termCtx, memory, zap.NewNop())
	memory.SetFault(storetest.FaultRefuse)
	writer.add(jobs, [][]byte{[]byte("late")})
	cancel()
	memory.SetFault(storetest.FaultNone)
	time.Sleep(2 * appendPause)
	if got := records(t, memory, jobs); len(got) != 0 {
		t.Errorf("records %v", got)
	}
}

func TestProgressIsRecoveredAsSaved(t *testing.T) {
	memory := storetest.NewMemory()
	at := store.Partition{Topic: store.TopicProgress, Number: 2}
	for _, progress := range []batch.Progress{
		{ItemID: "i", Run: "1.1", Checkpoint: true, LastID: "3", Text: "a", Versions: []int64{1}},
		{ItemID: "i", Run: "1.1", From: "3", LastID: "5", Text: "b", Versions: []int64{2}},
	} {
		record, err := batch.EncodeProgress(&progress)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := memory.Append(context.Background(), at, [][]byte{record}); err != nil {
			t.Fatal(err)
		}
	}
	successor := New(Options{Log: memory, Logger: zap.NewNop()})
	partials := successor.recoverProgress(context.Background(), at.Number)
	got := partials["i"]
	if got == nil || got.LastID != "5" || len(got.Text) != 2 || len(got.Versions) != 2 {
		t.Errorf("recovered %+v", got)
	}
	if err := memory.Trim(context.Background(), at, 1); err != nil {
		t.Fatal(err)
	}
	partials = successor.recoverProgress(context.Background(), at.Number)
	if got := partials["i"]; got != nil {
		t.Errorf("recovered %+v from a run whose first record was trimmed", got)
	}
}

func TestOldProgressIsTrimmed(t *testing.T) {
	trimmer := newProgressTrimmer(context.Background(), storetest.NewMemory(), zap.NewNop())
	now := time.Unix(1000, 0)
	at := store.Partition{Topic: store.TopicProgress}
	written := make(map[int64]time.Time)
	trims := 0
	for offset := range int64(600) {
		now = now.Add(100 * time.Millisecond)
		written[offset] = now
		before, due := trimmer.advance(now, at, offset)
		if !due || before == 0 {
			continue
		}
		trims++
		if age := now.Sub(written[before]); age < progressRetention {
			t.Fatalf("trimmed progress that is only %v old", age)
		}
	}
	if trims == 0 {
		t.Error("nothing was trimmed")
	}
}
