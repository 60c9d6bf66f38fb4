package batch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "dalehook/internal/fixedseed"
)

func mustEncode(t interface{ Fatal(...any) }, records [][]byte, err error) [][]byte {
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func apply(t interface{ Fatal(...any) }, fold *Fold, records [][]byte) Change {
	var last Change
	for _, record := range records {
		change, err := fold.Apply(record)
		if err != nil {
			t.Fatal(err)
		}
		last = change
	}
	return last
}

func sampleJob(items int) *Job {
	job := &Job{ID: "job", Host: "host", Path: "/p/1", Model: "m", MinVersion: 1, WantedGroups: 1}
	for i := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprint("i", i), Path: "/p/2", Body: []byte{byte(i)}})
	}
	return job
}

func TestFoldTakesAJobOnce(t *testing.T) {
	fold := NewFold()
	records, err := EncodeJob(sampleJob(2))
	records = mustEncode(t, records, err)
	if change := apply(t, fold, records); change.Accepted == nil {
		t.Fatal("the first record was void")
	}
	if change := apply(t, fold, records); change != (Change{}) {
		t.Fatalf("the second record did %+v", change)
	}
	if got := fold.Job("job").Total(); got != 2 {
		t.Errorf("total %d", got)
	}
}

func TestFoldListsAnItemOnce(t *testing.T) {
	fold := NewFold()
	records, err := EncodeJob(sampleJob(2))
	apply(t, fold, mustEncode(t, records, err))
	for _, text := range []string{"first", "second"} {
		records, err := EncodeResult(&Result{JobID: "job", ItemID: "i1", Text: text, Versions: []int64{1}})
		apply(t, fold, mustEncode(t, records, err))
	}
	want := []Result{{JobID: "job", ItemID: "i1", Text: "first", Versions: []int64{1}}}
	if diff := cmp.Diff(want, fold.Job("job").Results); diff != "" {
		t.Error(diff)
	}
}

func TestFoldVoidsForeignAndLateResults(t *testing.T) {
	fold := NewFold()
	records, err := EncodeJob(sampleJob(2))
	apply(t, fold, mustEncode(t, records, err))
	list := func(job, item string) {
		records, err := EncodeResult(&Result{JobID: job, ItemID: item})
		apply(t, fold, mustEncode(t, records, err))
	}
	list("job", "of another job")
	list("unknown", "i0")
	records, err = EncodeEnd(&End{JobID: "job"})
	if change := apply(t, fold, mustEncode(t, records, err)); change.Ended == nil {
		t.Error("the end was void")
	}
	list("job", "i0")
	state := fold.Job("job")
	if len(state.Results) != 0 || !state.Ended || state.Total() != 2 {
		t.Errorf("state %+v", state)
	}
}

func TestLargeMessagesSpanRecords(t *testing.T) {
	job := sampleJob(1)
	job.Items[0].Body = []byte(strings.Repeat("x", 3*fragmentSize))
	records, err := EncodeJob(job)
	records = mustEncode(t, records, err)
	if len(records) < 4 {
		t.Fatalf("%d records", len(records))
	}
	for _, record := range records {
		if len(record) > 256<<10 {
			t.Fatalf("a record of %d bytes", len(record))
		}
	}
	fold := NewFold()
	if change := apply(t, fold, records); change.Accepted == nil {
		t.Fatal("not accepted")
	}
	if diff := cmp.Diff(job.Items[0].Body, fold.Job("job").Item("i0").Body); diff != "" {
		t.Error("the body differs")
	}
}

// Every reader of a log, however far, has a prefix of the positions that a
// reader of the whole log has.
func TestPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, err := EncodeJob(sampleJob(5))
		log := mustEncode(t, records, err)
		for range rapid.IntRange(0, 12).Draw(t, "results") {
			item := fmt.Sprint("i", rapid.IntRange(0, 6).Draw(t, "item"))
			writer := rapid.StringMatching("[ab]").Draw(t, "writer")
			records, err := EncodeResult(&Result{JobID: "job", ItemID: item, Text: writer})
			log = append(log, mustEncode(t, records, err)...)
		}
		whole := NewFold()
		apply(t, whole, log)
		part := NewFold()
		apply(t, part, log[:rapid.IntRange(1, len(log)).Draw(t, "read")])
		all := whole.Job("job").Results
		some := part.Job("job").Results
		if diff := cmp.Diff(all[:len(some)], some); len(some) > 0 && diff != "" {
			t.Fatal(diff)
		}
		seen := make(map[string]bool)
		for _, result := range all {
			if seen[result.ItemID] {
				t.Fatalf("%s stands twice", result.ItemID)
			}
			seen[result.ItemID] = true
		}
	})
}

func TestOnlyItsTenantEndsAJob(t *testing.T) {
	fold := NewFold()
	records, err := EncodeJob(&Job{ID: "j", Tenant: "a", Items: []Item{{ID: "i"}}})
	if err != nil {
		t.Fatal(err)
	}
	apply := func(records [][]byte, err error) Change {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		var last Change
		for _, record := range records {
			if last, err = fold.Apply(record); err != nil {
				t.Fatal(err)
			}
		}
		return last
	}
	apply(records, nil)
	for _, stranger := range []string{"b", ""} {
		if change := apply(EncodeEnd(&End{JobID: "j", Tenant: stranger})); change.Ended != nil {
			t.Errorf("tenant %q ended the job", stranger)
		}
	}
	if change := apply(EncodeEnd(&End{JobID: "j", Tenant: "a"})); change.Ended == nil {
		t.Error("its tenant did not end the job")
	}
	if state := fold.Job("j"); !state.Is(Name{Tenant: "a", ID: "j"}) || state.Is(Name{Tenant: "b", ID: "j"}) || state.Is(Name{ID: "j"}) {
		t.Error("a job's name is taken for another's")
	}
}

// A fold of one job comes to the same state of it as a fold of all, whatever the sizes of the
// messages between, and knows of no other.
func TestAFoldOfOneJobIsThatOfAllForIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, one := NewFold(), NewJobFold("a\"<&>")
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			job := rapid.SampledFrom([]string{"a\"<&>", "b", "c"}).Draw(t, "job")
			records := drawMessage(t, job)
			apply(t, whole, records)
			apply(t, one, records)
		}
		compare := cmp.AllowUnexported(State{})
		if diff := cmp.Diff(whole.Job("a\"<&>"), one.Job("a\"<&>"), compare); diff != "" {
			t.Fatal(diff)
		}
		if one.Job("b") != nil || one.Job("c") != nil {
			t.Fatal("another job is known")
		}
	})
}

// drawMessage returns the records of some message of a job, of several fragments now and then.
func drawMessage(t *rapid.T, job string) [][]byte {
	text := strings.Repeat("x", rapid.SampledFrom([]int{1, 1, 1, fragmentSize, 2*fragmentSize + 5}).Draw(t, "size"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		records, err := EncodeJob(&Job{ID: job, Host: "host", Path: text, Items: []Item{{ID: "i0"}, {ID: "i1"}}})
		return mustEncode(t, records, err)
	case 3:
		records, err := EncodeEnd(&End{JobID: job})
		return mustEncode(t, records, err)
	}
	item := rapid.SampledFrom([]string{"i0", "i1"}).Draw(t, "item")
	records, err := EncodeResult(&Result{JobID: job, ItemID: item, Text: text})
	return mustEncode(t, records, err)
}
