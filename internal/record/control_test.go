package record_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func plan(event, digest string) record.Plan {
	return record.Plan{Digest: digest, Event: record.Event{Name: event, Start: start, Duration: record.Duration(time.Hour)}}
}

func node(id string, zone cluster.ZoneName) cluster.Node {
	return cluster.Node{ID: cluster.NodeID(id), Incarnation: 1, Zone: zone, PeerAddress: id + ":1"}
}

// entries numbers records from offset 1; an empty id is replaced by the offset.
func entries(records ...record.Record) []record.Entry {
	out := make([]record.Entry, 0, len(records))
	for i, r := range records {
		if r.ID == "" {
			r.ID = record.ID(fmt.Sprintf("r%d", i+1))
		}
		out = append(out, record.Entry{Offset: uint64(i + 1), Record: r})
	}
	return out
}

func body(value any) record.Record { return record.Record{Body: value} }

func TestControlTrace(t *testing.T) {
	members := []cluster.Node{node("b", "yanahuara"), node("a", "cercado")}
	log := entries(
		body(record.PlanConfirmed{Operator: "ana", Plan: plan("hearing", "d1")}),
		body(record.PlanConfirmed{Operator: "luis", Plan: plan("exam", "d2")}),
		body(record.PlanConfirmed{Operator: "luis", Plan: plan("hearing", "d1")}),
		record.Record{ID: "r1", Body: record.PlanConfirmed{Base: 1, Plan: plan("other", "d3")}},
		body(record.EventWithdrawn{Base: 1, Operator: "ana", Event: "nothing"}),
		body(record.EventWithdrawn{Base: 1, Operator: "ana", Event: "hearing"}),
		body(record.PlanConfirmed{Base: 1, Operator: "luis", Plan: plan("exam", "d2")}),
		body(record.PlanConfirmed{Base: 6, Operator: "luis", Plan: plan("exam", "d2")}),
		body(record.Unknown{Kind: "from_the_future"}),
		body(record.VersionAnnounced{Model: "captions", Version: 3, At: start}),
		body(record.VersionAnnounced{Model: "captions", Version: 3, At: start.Add(time.Minute)}),
		body(record.VersionAnnounced{Model: "captions", Version: 2}),
		body(record.VersionAnnounced{Model: "captions", Version: 0}),
		body(record.ViewPublished{Epoch: 0, Members: members}),
		body(record.LeaseClaimed{Duty: record.DutyView, Holder: "a", Incarnation: 1}),
		body(record.LeaseClaimed{Duty: record.DutyView, Holder: "b", Incarnation: 1}),
		body(record.ViewPublished{Epoch: 15, Members: members}),
		body(record.LeaseClaimed{Duty: record.DutyView, Holder: "b", Incarnation: 1, Supersedes: 15}),
		body(record.ViewPublished{Epoch: 15, Members: members[:1]}),
		body(record.ViewPublished{Epoch: 18, Members: members[:1]}),
		body(record.ViewPublished{Epoch: 18, Members: []cluster.Node{members[0], members[0]}}),
		body(record.LeaseClaimed{Duty: record.DutyStep, Holder: "a"}),
		body(record.StepOpened{Step: "s1", Digest: "x", Samples: 2}),
		body(record.StepOpened{Step: "s1", Digest: "x", Samples: 2}),
		body(record.StepOpened{Step: "s1", Digest: "y", Samples: 2}),
		body(record.StepClosed{Step: "s1"}),
		body(record.StepClosed{Step: "s1"}),
		body(record.StepOpened{Step: "s1", Digest: "x", Samples: 2}),
		body(record.StepBody{Step: "s1"}),
		body(nil),
	)
	control := record.NewControl()
	var trace strings.Builder
	for _, entry := range log {
		change := control.Apply(entry)
		fmt.Fprintf(&trace, "%2d %-18s %s revision=%d epoch(view)=%d view=%d previous=%d first=%d newest=%d events=%d steps=%d\n",
			entry.Offset, record.Kind(entry.Record.Body), describe(change), control.Revision(),
			control.Lease(record.DutyView).Epoch, control.View().Number,
			control.PreviousView().Number, control.FirstView(), control.Newest("captions"),
			len(control.Events()), len(control.Steps()))
	}
	goldie.New(t).Assert(t, "control_trace", []byte(trace.String()))
}

func describe(change record.Change) string {
	switch {
	case change.Repeated:
		return fmt.Sprintf("repeated(%d)", change.Revision)
	case change.Valid:
		return "valid"
	default:
		return fmt.Sprintf("void(%s; %s; %d)", change.Reason, change.Winner, change.WinnerOffset)
	}
}

func TestControlRefusesGapsAndRepeats(t *testing.T) {
	log := entries(
		body(record.VersionAnnounced{Model: "m", Version: 1}),
		body(record.VersionAnnounced{Model: "m", Version: 2}),
		body(record.VersionAnnounced{Model: "m", Version: 3}),
	)
	control := record.NewControl()
	if change := control.Apply(log[1]); change.Reason != record.ReasonGap || control.Offset() != 0 {
		t.Fatalf("gap: reason %q, offset %d", change.Reason, control.Offset())
	}
	control.Apply(log[0])
	if change := control.Apply(log[0]); change.Reason != record.ReasonApplied || control.Offset() != 1 {
		t.Fatalf("repeat: reason %q, offset %d", change.Reason, control.Offset())
	}
	if change := control.Apply(log[2]); change.Reason != record.ReasonGap || control.Newest("m") != 1 {
		t.Fatalf("second gap: reason %q, newest %d", change.Reason, control.Newest("m"))
	}
}

func TestControlReplacesAnEndedEventAtTheLimit(t *testing.T) {
	control := record.NewControl()
	confirm := func(name string, at time.Time) record.Change {
		made := plan(name, "digest-"+name)
		made.Event.Start = at
		next := control.Offset() + 1
		return control.Apply(record.Entry{Offset: next, Record: record.Record{
			ID:   record.ID(fmt.Sprint(next)),
			Body: record.PlanConfirmed{Base: control.Revision(), Plan: made},
		}})
	}
	for i := range record.MaxEvents {
		if change := confirm(fmt.Sprintf("e%02d", i), start.Add(time.Duration(i)*time.Minute)); !change.Valid {
			t.Fatalf("event %d: %s", i, change.Reason)
		}
	}
	if change := confirm("early", start); change.Reason != record.ReasonLimit {
		t.Fatalf("early event: valid %v, reason %q", change.Valid, change.Reason)
	}
	if change := confirm("late", start.Add(48*time.Hour)); !change.Valid {
		t.Fatalf("late event: %s", change.Reason)
	}
	if _, ok := control.Event("e00"); ok || len(control.Events()) != record.MaxEvents {
		t.Fatalf("first event still in force: %v, events %d", ok, len(control.Events()))
	}
}

func TestControlForgetsOldIDs(t *testing.T) {
	control := record.NewControl()
	for i := range uint64(record.ControlIDMemory + 1) {
		control.Apply(record.Entry{Offset: i + 1, Record: record.Record{
			ID: record.ID(fmt.Sprint(i)), Body: record.VersionAnnounced{Model: "m", Version: cluster.Version(i + 1)},
		}})
	}
	if _, seen := control.Seen("0"); seen {
		t.Error("the oldest id is still remembered")
	}
	if offset, seen := control.Seen("1"); !seen || offset != 2 {
		t.Errorf("Seen(1) = %d, %v", offset, seen)
	}
}

// drawControl draws a record that is often valid, given what stands before it.
func drawControl(t *rapid.T, control *record.Control) record.Record {
	name := rapid.SampledFrom([]string{"hearing", "exam", "meeting"})
	base := control.Revision()
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = record.Revision(rapid.Uint64Range(0, control.Offset()).Draw(t, "base"))
	}
	duty := rapid.SampledFrom([]record.Duty{record.DutyView, record.DutyPool("captions")}).Draw(t, "duty")
	epoch := control.Lease(duty).Epoch
	if rapid.IntRange(0, 3).Draw(t, "old epoch") == 0 {
		epoch = record.Epoch(rapid.Uint64Range(0, control.Offset()).Draw(t, "epoch"))
	}
	step := rapid.SampledFrom([]string{"s1", "s2", "s3", "s4"}).Draw(t, "step")
	holder := cluster.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder"))
	bodies := []any{
		record.PlanConfirmed{Base: base, Operator: "ana", Plan: plan(name.Draw(t, "event"), rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "digest"))},
		record.EventWithdrawn{Base: base, Event: name.Draw(t, "event")},
		record.VersionAnnounced{Model: "m", Version: cluster.Version(rapid.Int64Range(0, 20).Draw(t, "version")), At: start},
		record.LeaseClaimed{Duty: duty, Holder: holder, Supersedes: epoch},
		record.ViewPublished{Epoch: epoch, Members: []cluster.Node{node("b", "y"), node(string(holder)+"2", "c")}},
		record.StepOpened{Step: step, Digest: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body"), Samples: 3},
		record.StepClosed{Step: step},
		record.Unknown{Kind: "later"},
	}
	id := record.ID(fmt.Sprintf("r%d", rapid.Uint64Range(0, control.Offset()*4+4).Draw(t, "id")))
	return record.Record{ID: id, Body: rapid.SampledFrom(bodies).Draw(t, "record")}
}

func drawLog(t *rapid.T) ([]record.Entry, []record.Change, *record.Control) {
	control := record.NewControl()
	var log []record.Entry
	var changes []record.Change
	for i := range rapid.IntRange(1, 60).Draw(t, "length") {
		entry := record.Entry{Offset: uint64(i + 1), Record: drawControl(t, control)}
		log = append(log, entry)
		changes = append(changes, control.Apply(entry))
	}
	return log, changes, control
}

func sameControl(t *rapid.T, what string, want, got *record.Control) {
	if diff := cmp.Diff(want.Snapshot(), got.Snapshot(), cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("%s: states differ (-want +got):\n%s", what, diff)
	}
}

func throughGob(t *rapid.T, snapshot record.Snapshot) record.Snapshot {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(snapshot); err != nil {
		t.Fatalf("encode snapshot: %v", err)
	}
	var out record.Snapshot
	if err := gob.NewDecoder(&buffer).Decode(&out); err != nil {
		t.Fatalf("decode snapshot: %v", err)
	}
	return out
}

func TestControlRestoredFromSnapshotFoldsAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, changes, want := drawLog(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		prefix := record.NewControl()
		for _, entry := range log[:cut] {
			prefix.Apply(entry)
		}
		got := record.RestoreControl(throughGob(t, prefix.Snapshot()))
		for i, entry := range log[cut:] {
			change := got.Apply(entry)
			if diff := cmp.Diff(changes[cut+i], change); diff != "" {
				t.Fatalf("offset %d (-want +got):\n%s", entry.Offset, diff)
			}
		}
		sameControl(t, "restored", want, got)
	})
}

func TestControlIgnoresRedeliveryAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, _, want := drawLog(t)
		got := record.NewControl()
		for got.Offset() < uint64(len(log)) {
			far := min(len(log)-1, int(got.Offset())+3)
			entry := log[rapid.IntRange(0, far).Draw(t, "delivered")]
			next := got.Offset() + 1
			change := got.Apply(entry)
			if moved := got.Offset() == next; moved != (entry.Offset == next) {
				t.Fatalf("entry %d at offset %d: moved %v (%s)", entry.Offset, next-1, moved, change.Reason)
			}
		}
		sameControl(t, "redelivered", want, got)
	})
}

func TestControlHasOneWinnerForEachRevisionAndEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, changes, _ := drawLog(t)
		bases := map[record.Revision]uint64{}
		epochs := map[record.LeaseClaimed]uint64{}
		for i, change := range changes {
			if !change.Valid || change.Repeated {
				continue
			}
			switch winner := log[i].Record.Body.(type) {
			case record.PlanConfirmed:
				takeOnce(t, bases, winner.Base, change.Offset)
			case record.EventWithdrawn:
				takeOnce(t, bases, winner.Base, change.Offset)
			case record.LeaseClaimed:
				takeOnce(t, epochs, record.LeaseClaimed{Duty: winner.Duty, Supersedes: winner.Supersedes}, change.Offset)
			}
		}
	})
}

func takeOnce[K comparable](t *rapid.T, taken map[K]uint64, key K, offset uint64) {
	if first, twice := taken[key]; twice {
		t.Fatalf("%v was won at offset %d and at %d", key, first, offset)
	}
	taken[key] = offset
}

func TestControlConflictNamesWhoTookTheRevision(t *testing.T) {
	control := record.NewControl()
	for i, operator := range []string{"ana", "luis", "eva"} {
		control.Apply(record.Entry{Offset: uint64(i + 1), Record: record.Record{
			ID:   record.ID(operator),
			Body: record.PlanConfirmed{Base: record.Revision(i), Operator: operator, Plan: plan("event-"+operator, "digest-"+operator)},
		}})
	}
	late := control.Apply(record.Entry{Offset: 4, Record: record.Record{ID: "late", Body: record.PlanConfirmed{Base: 1, Plan: plan("x", "y")}}})
	if late.Reason != record.ReasonConflict || late.WinnerOffset != 2 || !strings.Contains(late.Winner, "luis") {
		t.Errorf("change %+v", late)
	}
}

func TestControlConflictNamesTheWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racers := rapid.IntRange(2, 6).Draw(t, "operators")
		control := record.NewControl()
		for i := range racers {
			change := control.Apply(record.Entry{Offset: uint64(i + 1), Record: record.Record{
				ID:   record.ID(fmt.Sprint(i)),
				Body: record.PlanConfirmed{Operator: fmt.Sprintf("operator%d", i), Plan: plan(fmt.Sprintf("event%d", i), fmt.Sprintf("digest%d", i))},
			}})
			if i == 0 {
				if !change.Valid || change.Revision != 1 {
					t.Fatalf("first confirmation: %+v", change)
				}
				continue
			}
			if change.Valid || change.Reason != record.ReasonConflict || change.WinnerOffset != 1 || !strings.Contains(change.Winner, "operator0") {
				t.Fatalf("confirmation %d: %+v", i, change)
			}
		}
	})
}
