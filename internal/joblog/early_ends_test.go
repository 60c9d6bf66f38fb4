package joblog

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"dalehook/internal/batch"
	_ "dalehook/internal/fixedseed"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// leader is a subscriber that indexes what it reads, as the coordinator does.
type leader struct {
	partition *partition
	// entries holds the index entries that it has not appended yet, in order.
	entries []IndexEntry
	// takenUp holds the jobs that it takes for open.
	takenUp []string
}

func (l *leader) HandleChange(_ int, change batch.Change) {
	index := l.partition.index
	if change.Accepted != nil {
		if _, known := index.lookUp(change.Accepted.Job.ID); !known {
			l.entries = append(l.entries, IndexEntry{JobID: change.Accepted.Job.ID, Start: change.Accepted.Start})
		}
		if !change.Accepted.Ended {
			l.takenUp = append(l.takenUp, change.Accepted.Job.ID)
		}
	}
	if change.EarlyEnd != nil && !index.containsEarlyEnd(change.EarlyEnd.Key) {
		l.entries = append(l.entries, IndexEntry{EarlyEnd: &change.EarlyEnd.Key, Start: change.EarlyEnd.Offset})
	}
}

func (l *leader) HandleOpenFrom(_ int, openFrom int64) {
	l.entries = append(l.entries, IndexEntry{OpenFrom: openFrom})
}

func (l *leader) HandleCaughtUp(int, time.Time) {}

// partitionLog is a partition of jobs and its index, which leaders read and write in turn.
type partitionLog struct {
	t       interface{ Fatal(...any) }
	records []store.Record
	entries []store.Record
}

func (l *partitionLog) append(encoded [][]byte, err error) (offset int64) {
	if err != nil {
		l.t.Fatal(err)
	}
	offset = int64(len(l.records))
	for _, value := range encoded {
		l.records = append(l.records, store.Record{Offset: int64(len(l.records)), Value: value})
	}
	return offset
}

func (l *partitionLog) appendJob(id, tenant string) int64 {
	return l.append(batch.EncodeJob(&batch.Job{ID: id, Tenant: tenant, Items: []batch.Item{{ID: "i0"}, {ID: "i1"}}}))
}

func (l *partitionLog) appendEnd(id, tenant string) int64 {
	return l.append(batch.EncodeEnd(&batch.End{JobID: id, Tenant: tenant}))
}

// newLeader returns a leader that takes over: it reads the index, and the partition from where the index says.
func (l *partitionLog) newLeader() *leader {
	p := newPartition(Options{Log: storetest.NewMemory(), Logger: zap.NewNop()}, 0)
	p.index.add(store.Batch{Records: l.entries, Next: int64(len(l.entries))})
	p.resetLocked(p.index.openFrom)
	taking := &leader{partition: p}
	p.subscribe(context.Background(), taking)
	return taking
}

// read has a leader read up to an offset.
func (l *partitionLog) read(by *leader, to int64) {
	from := by.partition.offset()
	if to <= from {
		return
	}
	by.partition.apply(from, store.Batch{Records: l.records[from:to], Next: to, End: int64(len(l.records))}, time.Now())
}

// readAll has a leader read the partition to its end and append all its index entries.
func (l *partitionLog) readAll(by *leader) {
	l.read(by, int64(len(l.records)))
	l.flush(by, len(by.entries))
}

// flush appends the first index entries of a leader.
func (l *partitionLog) flush(by *leader, count int) {
	for _, entry := range by.entries[:count] {
		value, err := EncodeIndexEntry(entry)
		if err != nil {
			l.t.Fatal(err)
		}
		l.entries = append(l.entries, store.Record{Offset: int64(len(l.entries)), Value: value})
	}
	by.entries = by.entries[count:]
}

// Guards against a coordinator that takes over between an early end and its job: it begins to read behind the end, and
// would take the job for open.
func TestLeaderThatTakesOverBetweenEndAndJob(t *testing.T) {
	log := &partitionLog{t: t}
	log.appendJob("open", "")
	early := log.appendEnd("late", "a")
	log.appendEnd("open", "")
	first := log.newLeader()
	log.readAll(first)
	if first.partition.openFrom <= early {
		t.Fatalf("jobs are open from offset %d", first.partition.openFrom)
	}
	log.appendJob("late", "a")
	log.appendJob("late", "a")
	log.appendJob("next", "")
	second := log.newLeader()
	log.readAll(second)
	if got := fmt.Sprint(second.takenUp); got != "[next]" {
		t.Errorf("taken up: %v", got)
	}
	if start, known := second.partition.index.lookUp("late"); known {
		t.Errorf("indexed at %d before the entry was read", start)
	}
	log.appendJob("late", "a")
	third := log.newLeader()
	if start, known := third.partition.index.lookUp("late"); !known || start != early {
		t.Errorf("the index has the job at %d, %v; want the offset of its end, %d", start, known, early)
	}
	log.readAll(third)
	if got := fmt.Sprint(third.takenUp); got != "[next]" {
		t.Errorf("taken up by the third: %v", got)
	}
}

// The end of a job that ended before the offset at which the read began is not an early one.
func TestRepeatedEndOfAnEarlierJobIsNotRemembered(t *testing.T) {
	log := &partitionLog{t: t}
	log.appendJob("done", "")
	log.appendEnd("done", "")
	log.readAll(log.newLeader())
	log.appendEnd("done", "")
	next := log.newLeader()
	log.readAll(next)
	if next.partition.from == 0 || len(next.entries) != 0 {
		t.Errorf("read from %d, entries %+v", next.partition.from, next.entries)
	}
	next.partition.fold.EarlyEnds(func(end *batch.EarlyEnd) { t.Errorf("remembered: %+v", end) })
}

// An end by another tenant must not keep a job from running, whoever leads.
func TestEarlyEndOfAnotherTenantDoesNotEndTheJob(t *testing.T) {
	log := &partitionLog{t: t}
	log.appendJob("open", "")
	log.appendEnd("late", "b")
	log.appendEnd("open", "")
	log.readAll(log.newLeader())
	log.appendJob("late", "a")
	for range 3 {
		next := log.newLeader()
		log.readAll(next)
		if got := fmt.Sprint(next.takenUp); got != "[late]" {
			t.Errorf("taken up: %v", got)
		}
	}
}

// Leaders that take over at any time, and lose any part of their last index entries, never take up a job whose end
// stands before it, and the last one takes up each job that has no end.
func TestNoLeaderTakesUpAJobAfterItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &partitionLog{t: t}
		// ended and accepted hold the jobs with an end and with a record, endedFirst those whose end came first.
		ended, accepted, endedFirst := map[string]bool{}, map[string]bool{}, map[string]bool{}
		current := log.newLeader()
		step := map[string]func(id string){
			"job": func(id string) {
				endedFirst[id] = endedFirst[id] || ended[id] && !accepted[id]
				accepted[id] = true
				log.appendJob(id, "a")
			},
			"end": func(id string) {
				ended[id] = true
				log.appendEnd(id, "a")
			},
			"end of another tenant": func(id string) { log.appendEnd(id, "b") },
			"read":                  func(string) { log.read(current, rapid.Int64Range(0, int64(len(log.records))).Draw(t, "to")) },
			"read all":              func(string) { log.readAll(current) },
			"flush":                 func(string) { log.flush(current, rapid.IntRange(0, len(current.entries)).Draw(t, "count")) },
			"take over":             func(string) { current = log.newLeader() },
		}
		names := slices.Sorted(maps.Keys(step))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"j0", "j1", "j2"}).Draw(t, "job")
			step[rapid.SampledFrom(names).Draw(t, "step")](id)
			for _, job := range current.takenUp {
				if endedFirst[job] {
					t.Fatalf("job %s was taken up after its end", job)
				}
			}
		}
		last := log.newLeader()
		log.readAll(last)
		for _, id := range slices.Sorted(maps.Keys(accepted)) {
			if taken := slices.Contains(last.takenUp, id); taken && endedFirst[id] || !taken && !ended[id] {
				t.Fatalf("job %s: taken up %v", id, taken)
			}
		}
	})
}

// An end is remembered for as long as the store keeps its record: a reader that begins after that does not see it.
func TestEarlyEndIsForgottenWithItsRecord(t *testing.T) {
	log := &partitionLog{t: t}
	log.appendEnd("removed", "")
	log.appendEnd("kept", "")
	first := log.newLeader()
	log.readAll(first)
	from := int64(len(log.records))
	log.appendJob("removed", "")
	log.appendJob("kept", "")
	second := log.newLeader()
	for _, reader := range []*leader{first, second} {
		read := store.Batch{Records: log.records[from:], Next: from + 2, End: from + 2, First: 1}
		if reader == second {
			read.Records, from = log.records[1:], 1
			reader.partition.skipTrimmed(0, 1)
		}
		reader.partition.apply(from, read, time.Now())
		if got := fmt.Sprint(reader.takenUp); got != "[removed]" {
			t.Errorf("taken up: %v", got)
		}
		if reader.partition.index.containsEarlyEnd(batch.JobKey{ID: "removed"}) {
			t.Error("the index still holds the removed end")
		}
	}
}

// What callers read of a job that came after its end: it exists, has ended and lists nothing. Before it has come, it
// is absent.
func TestJobThatCameAfterItsEndListsNothing(t *testing.T) {
	readers := map[string]func(t *testing.T, log store.Log) *Logs{
		"partition from its start": func(t *testing.T, log store.Log) *Logs { return startLogs(t, log) },
		"single job of the index": func(t *testing.T, log store.Log) *Logs {
			indexJob(t, log, "late", 1)
			return startLogs(t, log)
		},
		"beside a coordinator's reading": func(t *testing.T, log store.Log) *Logs {
			logs := startLogs(t, log)
			logs.Follow(t.Context(), 0)
			logs.Subscribe(t.Context(), 0, &recorder{})
			return logs
		},
		"beside a reading that began later": func(t *testing.T, log store.Log) *Logs {
			indexJob(t, log, "late", 1)
			indexOpenFrom(t, log, 3)
			logs := startLogs(t, log)
			logs.Follow(t.Context(), 0)
			logs.Subscribe(t.Context(), 0, &recorder{})
			return logs
		},
	}
	for name, start := range readers {
		t.Run(name, func(t *testing.T) {
			memory := storetest.NewMemory()
			writer := NewLogs(Options{Log: memory, Partitions: 1, Logger: zap.NewNop()})
			appendJob(t, memory, writer, "other", 1, 0)
			appendEnd(t, writer, "late")
			checkRead(t, startLogs(t, memory), "late", 0, -1)
			appendJob(t, memory, writer, "late", 2, 2)
			logs := start(t, memory)
			err := logs.View(t.Context(), "late", HasPosition(0), func(state *batch.State) {
				if state == nil || !state.Ended || state.Total() != 2 || len(state.Results) != 0 || state.Item("i0") != nil {
					t.Errorf("state %+v", state)
				}
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
}
