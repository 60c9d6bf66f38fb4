package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// tape is a partition: its records in order.
type tape struct {
	t       *testing.T
	records [][]byte
}

func (p *tape) batch(process string, sequence int64, counts ...Count) {
	p.add(EncodeBatch(&Batch{Process: process, Sequence: sequence, Counts: counts}))
}

func (p *tape) close(window Window) { p.add(EncodeClose(window)) }

func (p *tape) add(record []byte, err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
	p.records = append(p.records, record)
}

// fold reads the partition from an offset.
func (p *tape) fold(from int64) *Ledger {
	ledger := NewLedger(mostWindows)
	for offset := from; offset < int64(len(p.records)); offset++ {
		if err := ledger.Apply(offset, p.records[offset]); err != nil {
			p.t.Fatal(err)
		}
	}
	return ledger
}

func TestWhatStandsBeforeTheEndOfAWindowCounts(t *testing.T) {
	p := &tape{t: t}
	p.batch("p", 1, Count{7, "a", 2}, Count{8, "a", 1})
	p.batch("q", 1, Count{7, "a", 1}, Count{7, "b", 4})
	p.batch("q", 1, Count{7, "a", 1}, Count{7, "b", 4}) // its first append got no answer
	p.close(7)
	p.batch("p", 2, Count{7, "b", 9}, Count{8, "b", 3})
	p.close(7) // another holder's
	p.close(8)
	ledger := p.fold(0)
	for window, want := range map[Window]map[string]int{7: {"a": 3, "b": 4}, 8: {"a": 1, "b": 3}} {
		got, final := ledger.Counts(window)
		if diff := cmp.Diff(want, got); diff != "" || !final {
			t.Errorf("window %d, final %v: %s", window, final, diff)
		}
	}
	if ledger.Late() != 9 || ledger.Next(3) != 9 {
		t.Errorf("late %d, next %d", ledger.Late(), ledger.Next(3))
	}
}

func TestAnEmptyWindowIsReportedToo(t *testing.T) {
	p := &tape{t: t}
	p.close(7)
	got, final := p.fold(0).Counts(7)
	if !final || got == nil || len(got) != 0 {
		t.Errorf("counts %v, final %v", got, final)
	}
	if _, final := p.fold(0).Counts(8); final {
		t.Error("a window that was not closed is final")
	}
}

func TestTheFirstWindowIsTheFirstThatHasCounts(t *testing.T) {
	p := &tape{t: t}
	if got := p.fold(0).Next(9); got != 9 {
		t.Errorf("next %d", got)
	}
	p.batch("p", 1, Count{7, "a", 1}, Count{8, "a", 1})
	if got := p.fold(0).Next(9); got != 7 {
		t.Errorf("next %d", got)
	}
}

// Whatever was trimmed as needless, whoever reads the rest comes to the same counts of the
// windows that may still be reported.
func TestTrimmedRecordsAreNotMissed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := &tape{t: t}
	sequence := make(map[string]int64)
	for window := Window(0); window < 60; window++ {
		for range 20 {
			process := fmt.Sprint(random.IntN(5))
			sequence[process]++
			// Counts come up to two windows late, before the window is closed.
			p.batch(process, sequence[process], Count{window - Window(random.IntN(2)), fmt.Sprint(random.IntN(3)), 1 + random.IntN(3)})
		}
		p.close(window - 2)
		whole := p.fold(0)
		rest := p.fold(whole.Needless())
		for reported := max(window-2-4, 0); reported <= window-2; reported++ {
			want, _ := whole.Counts(reported)
			got, final := rest.Counts(reported)
			if diff := cmp.Diff(want, got); diff != "" || !final {
				t.Fatalf("after window %d, window %d, final %v: %s", window, reported, final, diff)
			}
		}
	}
	if got := p.fold(0).Needless(); got < int64(len(p.records))*3/4 {
		t.Errorf("of %d records only those before %d are needless", len(p.records), got)
	}
}
