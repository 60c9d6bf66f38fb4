package record_test

import (
	"bytes"
	"encoding/gob"
	"errors"
	"strings"
	"testing"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

// allBodies has one value of each kind, with its fields set.
func allBodies() []any {
	made := plan("exam", "d1")
	made.Warm = []record.WarmBackend{{Backend: "s1", Pool: "portal", Zone: "poblado", At: start}}
	return []any{
		record.PlanConfirmed{Base: 3, Operator: "ana", Plan: made},
		record.EventWithdrawn{Base: 4, Operator: "ana", Event: "exam"},
		record.VersionAnnounced{Model: "marking", Version: 7, At: start},
		record.LeaseClaimed{Duty: record.DutyPool("marking"), Holder: "a", Incarnation: 5, Supersedes: 2},
		record.ViewPublished{Epoch: 5, Members: []cluster.Node{node("a", "poblado")}},
		record.StepOpened{Step: "s1", Event: "exam", Trainer: "marker", Samples: 1, Digest: "x", Deadline: start},
		record.StepClosed{Step: "s1"},
		record.StepBody{Step: "s1", Samples: []record.Sample{{ID: "a", Prompt: "<b> & ñ", MaxTokens: 5}}, Digest: "x"},
		record.SamplesPlaced{Epoch: 1, Placements: []record.Placement{{Sample: 1, Attempt: 2, Engine: "e1"}}},
		record.SamplesCommitted{Epoch: 1, Results: []record.Result{{Sample: 1, Attempt: 2, Text: "x", Segments: []record.Segment{{Version: 7, ToToken: 3}}}}},
		record.SamplesRevoked{Epoch: 1, Samples: []int{4}, Newest: 9},
		record.SamplesFailed{Epoch: 1, Failures: []record.SampleFailure{{Sample: 2, Code: "deadline_exceeded", Message: "late"}}},
	}
}

func TestEncodeDecode(t *testing.T) {
	var lines bytes.Buffer
	for _, value := range allBodies() {
		want := record.Record{ID: "n.5.1", Body: value}
		payload, err := record.Encode(want)
		if err != nil {
			t.Fatalf("encode %T: %v", value, err)
		}
		lines.Write(append(payload, '\n'))
		got, err := record.Decode(payload)
		if err != nil {
			t.Fatalf("decode %T: %v", value, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%T (-want +got):\n%s", value, diff)
		}
	}
	goldie.New(t).Assert(t, "records", lines.Bytes())
}

func TestBodiesTravelByGob(t *testing.T) {
	for _, value := range append(allBodies(), record.Unknown{Kind: "later"}) {
		want := record.Entry{Offset: 4, Record: record.Record{ID: "n.5.1", Body: value}}
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(want); err != nil {
			t.Fatalf("encode %T: %v", value, err)
		}
		var got record.Entry
		if err := gob.NewDecoder(&buffer).Decode(&got); err != nil {
			t.Fatalf("decode %T: %v", value, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%T (-want +got):\n%s", value, diff)
		}
	}
}

func TestDecodeRefusals(t *testing.T) {
	var unknown *record.UnknownKindError
	var malformed *record.MalformedError
	var tooLarge *record.TooLargeError
	cases := []struct {
		name    string
		payload string
		target  any
		want    record.Record
	}{
		{"unknown kind", `{"id":"a","kind":"later","body":{}}`, &unknown, record.Record{ID: "a", Body: record.Unknown{Kind: "later"}}},
		{"no json", `hello`, &malformed, record.Record{Body: record.Unknown{}}},
		{"wrong body", `{"id":"a","kind":"step_closed","body":{"step":4}}`, &malformed, record.Record{ID: "a", Body: record.Unknown{Kind: "step_closed"}}},
		{"no body", `{"id":"a","kind":"step_closed"}`, &malformed, record.Record{ID: "a", Body: record.Unknown{Kind: "step_closed"}}},
		{"long id", `{"id":"` + strings.Repeat("a", record.MaxIDBytes+1) + `","kind":"step_closed","body":{}}`, &tooLarge, record.Record{Body: record.Unknown{Kind: "step_closed"}}},
		{"large", strings.Repeat(" ", record.MaxRecordBytes+1), &tooLarge, record.Record{Body: record.Unknown{}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := record.Decode([]byte(c.payload))
			if !errors.As(err, c.target) {
				t.Fatalf("error %v is not a %T", err, c.target)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if change := record.NewControl().Apply(record.Entry{Offset: 1, Record: got}); change.Reason != record.ReasonUnknownKind {
				t.Errorf("folded as %+v", change)
			}
		})
	}
}

func TestEncodeRefusals(t *testing.T) {
	large := record.StepBody{Samples: []record.Sample{{Prompt: strings.Repeat("a", record.MaxRecordBytes)}}}
	cases := []struct {
		name   string
		record record.Record
	}{
		{"no id", record.Record{Body: record.StepClosed{}}},
		{"long id", record.Record{ID: record.ID(strings.Repeat("a", record.MaxIDBytes+1)), Body: record.StepClosed{}}},
		{"no body", record.Record{ID: "a"}},
		{"pointer", record.Record{ID: "a", Body: &record.StepClosed{}}},
		{"unknown", record.Record{ID: "a", Body: record.Unknown{Kind: "later"}}},
		{"large", record.Record{ID: "a", Body: large}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if payload, err := record.Encode(c.record); err == nil {
				t.Errorf("encoded %d bytes", len(payload))
			}
		})
	}
}

func TestDurationText(t *testing.T) {
	var d record.Duration
	if err := d.UnmarshalText([]byte("90s")); err != nil || d.Std() != 90*time.Second {
		t.Errorf("90s: %v, %v", d.Std(), err)
	}
	if err := d.UnmarshalText([]byte("90")); err == nil {
		t.Error("a bare number was read")
	}
}

// FuzzDecode feeds payloads that anybody may have put on a log.
func FuzzDecode(f *testing.F) {
	for _, value := range allBodies() {
		payload, err := record.Encode(record.Record{ID: "n.5.1", Body: value})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		got, err := record.Decode(payload)
		if got.Body == nil {
			t.Fatalf("no body for %q", payload)
		}
		entry := record.Entry{Offset: 1, Record: got}
		change, stepChange := record.NewControl().Apply(entry), record.NewStep().Apply(entry)
		if err != nil && (change.Valid || stepChange.Valid) {
			t.Fatalf("%q is valid although it could not be decoded: %v", payload, err)
		}
	})
}
