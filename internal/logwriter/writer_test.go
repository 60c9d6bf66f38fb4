package logwriter_test

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/record"

	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// bench holds a writer with the results that it reported.
type bench struct {
	outbox  machine.Outbox
	writer  *logwriter.Writer
	now     time.Time
	results map[record.ID][]logwriter.Result
}

func newBench() *bench {
	b := &bench{now: start, results: map[record.ID][]logwriter.Result{}}
	b.writer = logwriter.New(logwriter.Options{Outbox: &b.outbox, Self: cluster.Node{ID: "a", Incarnation: 7}, Seed: 1})
	return b
}

func (b *bench) append(options ...logwriter.AppendOption) record.ID {
	var id record.ID
	id = b.writer.Append(b.now, "control", record.StepClosed{Step: "s"}, func(_ time.Time, result logwriter.Result) {
		if result.ID != id {
			panic("result of another append")
		}
		b.results[id] = append(b.results[id], result)
	}, options...)
	return id
}

func (b *bench) sent() []machine.AppendLog {
	var sent []machine.AppendLog
	for _, output := range b.outbox.Take() {
		sent = append(sent, output.(machine.AppendLog))
	}
	return sent
}

func (b *bench) answer(id record.ID, outcome machine.AppendOutcome, offset uint64) {
	b.writer.HandleResult(b.now, machine.AppendResult{Log: "control", ID: id, Outcome: outcome, Offset: offset, Err: "x"})
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.writer.Tick(b.now)
}

func (b *bench) want(t *testing.T, id record.ID, want ...logwriter.Result) {
	t.Helper()
	got := b.results[id]
	if len(got) != len(want) {
		t.Fatalf("results %+v, want %+v", got, want)
	}
	for i := range want {
		want[i].ID = id
		if got[i] != want[i] {
			t.Fatalf("result %+v, want %+v", got[i], want[i])
		}
	}
}

func TestIDsAreUnique(t *testing.T) {
	b := newBench()
	if first, second := b.append(), b.append(); first != "a.7.1" || second != "a.7.2" {
		t.Errorf("ids %s and %s", first, second)
	}
}

func TestDone(t *testing.T) {
	b := newBench()
	id := b.append()
	if sent := b.sent(); len(sent) != 1 || sent[0].Record.ID != id {
		t.Fatalf("sent %+v", sent)
	}
	b.answer(id, machine.AppendDone, 4)
	b.answer(id, machine.AppendDone, 4)
	b.want(t, id, logwriter.Result{Outcome: logwriter.Done, Offset: 4})
}

func TestNotDoneIsRetriedOrReported(t *testing.T) {
	b := newBench()
	retried, reported := b.append(), b.append(logwriter.ReportNotDone())
	b.sent()
	b.answer(retried, machine.AppendNotDone, 0)
	b.answer(reported, machine.AppendNotDone, 0)
	b.want(t, retried)
	b.want(t, reported, logwriter.Result{Outcome: logwriter.NotDone, Err: "x"})
	b.wait(2 * logwriter.DefaultRetryBase)
	if sent := b.sent(); len(sent) != 1 || sent[0].Record.ID != retried {
		t.Fatalf("sent again %+v", sent)
	}
	b.answer(retried, machine.AppendDone, 9)
	b.want(t, retried, logwriter.Result{Outcome: logwriter.Done, Offset: 9})
}

func TestUnknownIsSettledByTheLog(t *testing.T) {
	b := newBench()
	id := b.append(logwriter.ReportNotDone())
	b.sent()
	b.answer(id, machine.AppendUnknown, 0)
	b.want(t, id)
	b.writer.HandleEntry(b.now, "other", record.Entry{Offset: 2, Record: record.Record{ID: id}})
	b.want(t, id)
	b.writer.HandleEntry(b.now, "control", record.Entry{Offset: 3, Record: record.Record{ID: id}})
	b.want(t, id, logwriter.Result{Outcome: logwriter.Done, Offset: 3})
	b.wait(time.Minute)
	if sent := b.sent(); len(sent) != 0 {
		t.Errorf("sent after the end: %+v", sent)
	}
}

func TestUnknownIsAppendedAgainWithTheSameID(t *testing.T) {
	b := newBench()
	id := b.append(logwriter.ReportNotDone())
	b.sent()
	b.answer(id, machine.AppendUnknown, 0)
	b.wait(logwriter.DefaultSettleWait / 2)
	if sent := b.sent(); len(sent) != 0 {
		t.Fatalf("sent before the log could be read: %+v", sent)
	}
	b.wait(logwriter.DefaultSettleWait)
	if sent := b.sent(); len(sent) != 1 || sent[0].Record.ID != id {
		t.Fatalf("sent %+v", sent)
	}
	// The first copy may still stand, so a refusal of the second decides nothing.
	b.answer(id, machine.AppendNotDone, 0)
	b.want(t, id)
	b.wait(logwriter.DefaultRetryMax)
	b.sent()
	b.answer(id, machine.AppendDone, 12)
	b.want(t, id, logwriter.Result{Outcome: logwriter.Done, Offset: 12, OffsetUncertain: true})
}

func TestGiveUp(t *testing.T) {
	cases := []struct {
		name    string
		outcome machine.AppendOutcome
		want    logwriter.Outcome
	}{
		{"refused", machine.AppendNotDone, logwriter.NotDone},
		{"unknown", machine.AppendUnknown, logwriter.Unknown},
		{"in flight", 0, logwriter.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			expired := b.append(logwriter.GiveUpAfter(100 * time.Millisecond))
			canceled := b.append()
			if c.outcome != 0 {
				b.answer(expired, c.outcome, 0)
				b.answer(canceled, c.outcome, 0)
			}
			b.writer.Cancel(b.now, canceled)
			b.wait(100 * time.Millisecond)
			for _, id := range []record.ID{expired, canceled} {
				if got := b.results[id]; len(got) != 1 || got[0].Outcome != c.want {
					t.Errorf("results %+v, want %v", got, c.want)
				}
			}
		})
	}
}

func TestMissingAnswerCountsAsUnknown(t *testing.T) {
	b := newBench()
	id := b.append(logwriter.ReportNotDone())
	b.sent()
	b.wait(logwriter.DefaultCallTimeout)
	b.wait(logwriter.DefaultSettleWait + logwriter.DefaultRetryBase)
	if sent := b.sent(); len(sent) != 1 || sent[0].Record.ID != id {
		t.Fatalf("sent %+v", sent)
	}
}

func TestPendingAppendsAreBounded(t *testing.T) {
	b := newBench()
	for range logwriter.MaxPending {
		b.append()
	}
	over := b.append()
	b.want(t, over)
	b.wait(machine.TickInterval)
	b.want(t, over, logwriter.Result{Outcome: logwriter.NotDone, Err: "too many appends are pending"})
	if b.writer.Pending() != logwriter.MaxPending {
		t.Errorf("%d pending", b.writer.Pending())
	}
}

func TestAnOutageIsProbedByFewAndEndsFast(t *testing.T) {
	const appends = 500
	b := newBench()
	ids := make([]record.ID, 0, appends)
	for range appends {
		ids = append(ids, b.append())
	}
	calls := 0
	const outage = 10 * time.Minute
	for elapsed := time.Duration(0); elapsed < outage; elapsed += machine.TickInterval {
		for _, sent := range b.sent() {
			calls++
			b.answer(sent.Record.ID, machine.AppendNotDone, 0)
		}
		b.wait(machine.TickInterval)
	}
	t.Logf("%d calls in an outage of %v with %d appends waiting", calls, outage, appends)
	// Each append is tried once at first; then a few probe each RetryMax.
	const probes = int(outage/logwriter.DefaultRetryMax) * 4 * 4
	if calls > appends+probes {
		t.Errorf("%d calls, want at most %d", calls, appends+probes)
	}
	for offset := uint64(1); b.writer.Pending() > 0; offset++ {
		sent := b.sent()
		if len(sent) == 0 {
			b.wait(machine.TickInterval)
		}
		for _, call := range sent {
			b.answer(call.Record.ID, machine.AppendDone, offset)
		}
	}
	if took := b.now.Sub(start); took > outage+logwriter.DefaultRetryMax {
		t.Errorf("the last append was done %v after the outage", took-outage)
	}
	for _, id := range ids {
		if len(b.results[id]) != 1 || b.results[id][0].Outcome != logwriter.Done {
			t.Fatalf("results of %s: %+v", id, b.results[id])
		}
	}
}

// TestResultsAreTrue runs a writer against a log that loses requests, loses
// answers, and lets requests land late.
func TestResultsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		var log []record.ID
		var inTransit []record.ID
		stand := func(id record.ID) uint64 {
			log = append(log, id)
			return uint64(len(log))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				b.append(logwriter.GiveUpAfter(10 * time.Second))
			case 1:
				id := b.append(logwriter.ReportNotDone())
				if rapid.Bool().Draw(t, "cancel") {
					b.writer.Cancel(b.now, id)
				}
			case 2:
				if len(inTransit) > 0 {
					stand(inTransit[0])
					inTransit = inTransit[1:]
				}
			default:
				b.wait(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			for _, sent := range b.sent() {
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0:
					b.answer(sent.Record.ID, machine.AppendDone, stand(sent.Record.ID))
				case 1:
					b.answer(sent.Record.ID, machine.AppendNotDone, 0)
				case 2:
					stand(sent.Record.ID)
					b.answer(sent.Record.ID, machine.AppendUnknown, 0)
				case 3:
					inTransit = append(inTransit, sent.Record.ID)
					b.answer(sent.Record.ID, machine.AppendUnknown, 0)
				default:
					inTransit = append(inTransit, sent.Record.ID)
				}
			}
		}
		b.wait(time.Hour)
		standing := map[record.ID]uint64{}
		for i, id := range append(log, inTransit...) {
			if _, twice := standing[id]; !twice {
				standing[id] = uint64(i + 1)
			}
		}
		for id, results := range b.results {
			checkTrue(t, id, results, standing)
		}
	})
}

func checkTrue(t *rapid.T, id record.ID, results []logwriter.Result, standing map[record.ID]uint64) {
	if len(results) != 1 {
		t.Fatalf("%s was reported %d times", id, len(results))
	}
	result, offset := results[0], standing[id]
	switch {
	case result.Outcome == logwriter.Done && offset == 0:
		t.Fatalf("%s reported as done does not stand", id)
	case result.Outcome == logwriter.Done && offset != result.Offset && !result.OffsetUncertain:
		t.Fatalf("%s reported at %d stands at %d", id, result.Offset, offset)
	case result.Outcome == logwriter.NotDone && offset != 0:
		t.Fatalf("%s reported as not done stands at %d", id, offset)
	}
}
