package batch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// logOf returns the records of messages, in order.
func logOf(t interface{ Fatal(...any) }, messages ...message) [][]byte {
	var records [][]byte
	for _, m := range messages {
		encoded, err := encode(m)
		records = append(records, mustEncode(t, encoded, err)...)
	}
	return records
}

func jobOf(tenant string) message {
	job := sampleJob(2)
	job.Tenant = tenant
	return message{Job: job}
}

func endOf(tenant string) message { return message{End: &End{JobID: "job", Tenant: tenant}} }

func resultOf(item string) message { return message{Result: &Result{JobID: "job", ItemID: item}} }

// Guards against review/3: a job whose append got no answer entered the log after its acknowledged end, was taken for
// open, and its items ran.
func TestAnEndCountsWhereverItStands(t *testing.T) {
	cases := []struct {
		name     string
		messages []message
		// open says that the job is open at the end of the log, results is the number of its results.
		open    bool
		results int
		// early is the number of ends that are remembered.
		early int
	}{
		{"end before job", []message{endOf(""), jobOf("")}, false, 0, 0},
		{"end before job, and again after it", []message{endOf(""), jobOf(""), endOf("")}, false, 0, 0},
		{"two ends before job", []message{endOf(""), endOf(""), jobOf("")}, false, 0, 0},
		{"end before two copies of the job", []message{endOf(""), jobOf(""), jobOf("")}, false, 0, 0},
		{"end before job, result after both", []message{endOf(""), jobOf(""), resultOf("i0")}, false, 0, 0},
		{"end before job, result before both", []message{resultOf("i0"), endOf(""), jobOf("")}, false, 0, 0},
		{"end before job of a tenant", []message{endOf("a"), jobOf("a")}, false, 0, 0},
		{"end before job of another tenant", []message{endOf("b"), jobOf("a"), resultOf("i0")}, true, 1, 1},
		{"end of nobody before job of a tenant", []message{endOf(""), jobOf("a")}, true, 0, 1},
		{"ends of two tenants before job", []message{endOf("b"), endOf("a"), jobOf("a")}, false, 0, 1},
		{"end of another tenant before, its own after", []message{endOf("b"), jobOf("a"), endOf("a")}, false, 0, 1},
		{"end after job", []message{jobOf(""), resultOf("i0"), endOf("")}, false, 1, 0},
		{"end after job, late second copy", []message{jobOf(""), resultOf("i0"), endOf(""), jobOf(""), resultOf("i1")}, false, 1, 0},
		{"end after job, twice", []message{jobOf(""), endOf(""), endOf("")}, false, 0, 0},
		{"end of another tenant after job", []message{jobOf("a"), endOf("b"), resultOf("i0")}, true, 1, 0},
	}
	folds := map[string]func() *Fold{"partition": NewFold, "single job": func() *Fold { return NewJobFold("job") }}
	for _, c := range cases {
		for name, newFold := range folds {
			t.Run(c.name+", "+name, func(t *testing.T) {
				fold := newFold()
				applyAll(t, fold, logOf(t, c.messages...))
				state := fold.Job("job")
				if state == nil || state.Ended == c.open || state.Total() != 2 || len(state.Results) != c.results {
					t.Errorf("state %+v", state)
				}
				early := 0
				fold.EarlyEnds(func(*EarlyEnd) { early++ })
				if early != c.early {
					t.Errorf("%d early ends", early)
				}
			})
		}
	}
}

func TestAnEarlyEndIsReportedOnce(t *testing.T) {
	fold := NewFold()
	change := applyAll(t, fold, logOf(t, endOf("a")))
	if change.EarlyEnd == nil || change.EarlyEnd.Key != (JobKey{Tenant: "a", ID: "job"}) {
		t.Fatalf("change %+v", change)
	}
	change.EarlyEnd.Offset = 7
	if again := applyAll(t, fold, logOf(t, endOf("a"))); again != (Change{}) {
		t.Errorf("second end: change %+v", again)
	}
	accepted := applyAll(t, fold, logOf(t, jobOf("a"))).Accepted
	if accepted == nil || !accepted.EndedFirst || accepted.Start != 7 {
		t.Errorf("accepted %+v", accepted)
	}
}

// Ends of jobs that never come must not accumulate.
func TestEarlyEndsAreBounded(t *testing.T) {
	ends := NewEarlyEnds()
	key := func(number int) JobKey { return JobKey{ID: fmt.Sprint("job-", number)} }
	const added = 3 * maxEarlyEnds
	for number := range added {
		ends.Add(&EarlyEnd{Key: key(number), Offset: int64(number)})
		ends.Add(&EarlyEnd{Key: key(number), Offset: -1})
	}
	var offsets []int64
	ends.All(func(end *EarlyEnd) { offsets = append(offsets, end.Offset) })
	if len(offsets) != maxEarlyEnds || !slices.IsSorted(offsets) || offsets[0] != added-maxEarlyEnds {
		t.Errorf("%d ends from %d", len(offsets), offsets[0])
	}
	if len(ends.byKey) != maxEarlyEnds {
		t.Errorf("%d keys", len(ends.byKey))
	}
	if ends.Take(key(0)) != nil || ends.Take(key(added-1)) == nil || ends.Contains(key(added-1)) {
		t.Error("other ends than the last ones are held")
	}
}

// In any order of the records, a job is open exactly if no end of its tenant stands in the log, and its results are
// those between the job and its end.
func TestEndsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom([]message{
			jobOf("a"), endOf("a"), endOf("b"), endOf(""), resultOf("i0"), resultOf("i1"),
		}), 1, 12).Draw(t, "messages")
		fold, single := NewFold(), NewJobFold("job")
		accepted, ended, results := false, false, map[string]bool{}
		for _, m := range drawn {
			switch {
			case m.Job != nil:
				accepted = true
			case m.End != nil && m.End.Tenant == "a":
				ended = true
			case m.Result != nil && accepted && !ended:
				results[m.Result.ItemID] = true
			}
			records := logOf(t, m)
			applyAll(t, fold, records)
			applyAll(t, single, records)
			for _, reader := range []*Fold{fold, single} {
				state := reader.Job("job")
				if (state != nil) != accepted {
					t.Fatalf("accepted %v, state %+v", accepted, state)
				}
				if state != nil && (state.Ended != ended || len(state.Results) != len(results)) {
					t.Fatalf("ended %v with %d results, state %+v", ended, len(results), state)
				}
			}
		}
	})
}
