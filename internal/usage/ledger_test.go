package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testPartition is an in-memory partition: its records in order.
type testPartition struct {
	t       *testing.T
	records [][]byte
}

func (p *testPartition) appendBatch(process string, sequence int64, counts ...Count) {
	p.add(EncodeBatch(&Batch{Process: process, Sequence: sequence, Counts: counts}))
}

func (p *testPartition) close(window Window) { p.add(EncodeClose(window)) }

func (p *testPartition) add(record []byte, err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
	p.records = append(p.records, record)
}

// fold returns a ledger of the records from an offset on.
func (p *testPartition) fold(from int64) *Ledger {
	ledger := NewLedger(retainedWindows)
	for offset := from; offset < int64(len(p.records)); offset++ {
		if err := ledger.Apply(offset, p.records[offset]); err != nil {
			p.t.Fatal(err)
		}
	}
	return ledger
}

func TestOnlyBatchesBeforeCloseRecordCount(t *testing.T) {
	p := &testPartition{t: t}
	p.appendBatch("p", 1, Count{7, "a", 2}, Count{8, "a", 1})
	p.appendBatch("q", 1, Count{7, "a", 1}, Count{7, "b", 4})
	p.appendBatch("q", 1, Count{7, "a", 1}, Count{7, "b", 4}) // duplicate: its first append got no answer
	p.close(7)
	p.appendBatch("p", 2, Count{7, "b", 9}, Count{8, "b", 3})
	p.close(7) // by another holder
	p.close(8)
	ledger := p.fold(0)
	for window, want := range map[Window]map[string]int{7: {"a": 3, "b": 4}, 8: {"a": 1, "b": 3}} {
		got, final := ledger.Counts(window)
		if diff := cmp.Diff(want, got); diff != "" || !final {
			t.Errorf("window %d, final %v: %s", window, final, diff)
		}
	}
	if ledger.LateRequests() != 9 || ledger.NextToClose(3) != 9 {
		t.Errorf("late %d, next %d", ledger.LateRequests(), ledger.NextToClose(3))
	}
}

func TestEmptyWindowIsFinalOnceClosed(t *testing.T) {
	p := &testPartition{t: t}
	p.close(7)
	got, final := p.fold(0).Counts(7)
	if !final || got == nil || len(got) != 0 {
		t.Errorf("counts %v, final %v", got, final)
	}
	if _, final := p.fold(0).Counts(8); final {
		t.Error("a window that was not closed is final")
	}
}

func TestFirstWindowToCloseIsFirstWithCounts(t *testing.T) {
	p := &testPartition{t: t}
	if got := p.fold(0).NextToClose(9); got != 9 {
		t.Errorf("next %d", got)
	}
	p.appendBatch("p", 1, Count{7, "a", 1}, Count{8, "a", 1})
	if got := p.fold(0).NextToClose(9); got != 7 {
		t.Errorf("next %d", got)
	}
}

// A reader of a partition that was trimmed at TrimOffset derives the same counts for the windows
// that may still be reported.
func TestTrimKeepsRecentWindows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := &testPartition{t: t}
	sequence := make(map[string]int64)
	for window := Window(0); window < 60; window++ {
		for range 20 {
			process := fmt.Sprint(random.IntN(5))
			sequence[process]++
			// Counts arrive up to two windows late, but before their window is closed.
			p.appendBatch(process, sequence[process], Count{window - Window(random.IntN(2)), fmt.Sprint(random.IntN(3)), 1 + random.IntN(3)})
		}
		p.close(window - 2)
		whole := p.fold(0)
		rest := p.fold(whole.TrimOffset())
		for reported := max(window-2-4, 0); reported <= window-2; reported++ {
			want, _ := whole.Counts(reported)
			got, final := rest.Counts(reported)
			if diff := cmp.Diff(want, got); diff != "" || !final {
				t.Fatalf("after window %d, window %d, final %v: %s", window, reported, final, diff)
			}
		}
	}
	if got := p.fold(0).TrimOffset(); got < int64(len(p.records))*3/4 {
		t.Errorf("of %d records only those before %d can be trimmed", len(p.records), got)
	}
}
