package record

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// The limits of what is written to a log.
const (
	// MaxRecordBytes is the largest encoded record. A step of 1,024 samples with
	// prompts of 8 KiB fits.
	MaxRecordBytes = 16 << 20
	// MaxIDBytes is the longest record id.
	MaxIDBytes = 256
)

// UnknownKindError is returned by Decode for a record whose kind this program
// does not know. The record that comes with it folds as void.
type UnknownKindError struct {
	ID   ID
	Kind string
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("decode record %q: unknown kind %q", e.ID, e.Kind)
}

// MalformedError is returned by Decode for a payload that is not a record, or
// whose body does not fit its kind. The record that comes with it folds as void.
type MalformedError struct {
	ID   ID
	Kind string
	Err  error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("decode record %q of kind %q: %v", e.ID, e.Kind, e.Err)
}

// Unwrap returns the decoder's error.
func (e *MalformedError) Unwrap() error { return e.Err }

// TooLargeError is returned for a record over a size limit.
type TooLargeError struct {
	ID    ID
	What  string
	Bytes int
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("record %.64q: %s has %d bytes, the limit is %d", string(e.ID), e.What, e.Bytes, e.Limit)
}

// Unknown is the body of a record that could not be decoded. Every fold gives
// it no effect, so that an older program reads past records of a newer one.
type Unknown struct {
	Kind string `json:"kind"`
}

// envelope is the JSON form of a Record.
type envelope struct {
	ID   ID              `json:"id"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// kind joins a body type with its name on the log.
type kind struct {
	name    string
	zero    any
	matches func(body any) bool
	decode  func(json.RawMessage) (any, error)
}

func kindOf[T any](name string) kind {
	var zero T
	matches := func(body any) bool {
		_, ok := body.(T)
		return ok
	}
	decode := func(raw json.RawMessage) (any, error) {
		var body T
		if err := json.Unmarshal(raw, &body); err != nil {
			return nil, eris.Wrapf(err, "decode body of kind %s", name)
		}
		return body, nil
	}
	return kind{name: name, zero: zero, matches: matches, decode: decode}
}

// kinds lists all body types. The names stand on logs and must not change.
var kinds = []kind{
	kindOf[PlanConfirmed]("plan_confirmed"),
	kindOf[EventWithdrawn]("event_withdrawn"),
	kindOf[VersionAnnounced]("version_announced"),
	kindOf[LeaseClaimed]("lease_claimed"),
	kindOf[ViewPublished]("view_published"),
	kindOf[StepOpened]("step_opened"),
	kindOf[StepClosed]("step_closed"),
	kindOf[StepBody]("step_body"),
	kindOf[SamplesPlaced]("samples_placed"),
	kindOf[SamplesCommitted]("samples_committed"),
	kindOf[SamplesRevoked]("samples_revoked"),
	kindOf[SamplesFailed]("samples_failed"),
}

// init makes the body types known to gob, so that entries travel between nodes.
func init() {
	for _, k := range kinds {
		gob.RegisterName("record."+k.name, k.zero)
	}
	gob.RegisterName("record.unknown", Unknown{})
}

// Kind returns the name of a body's kind on the log, empty for a type that is
// no record body.
func Kind(body any) string {
	if unknown, ok := body.(Unknown); ok {
		return unknown.Kind
	}
	for _, k := range kinds {
		if k.matches(body) {
			return k.name
		}
	}
	return ""
}

// Encode returns the JSON form of a record, {"id","kind","body"}. It fails for a
// body that is no record type, an id that is empty or too long, and with a
// TooLargeError for a record over MaxRecordBytes.
func Encode(r Record) ([]byte, error) {
	if r.ID == "" {
		return nil, eris.New("encode record: empty id")
	}
	if len(r.ID) > MaxIDBytes {
		return nil, &TooLargeError{ID: r.ID, What: "id", Bytes: len(r.ID), Limit: MaxIDBytes}
	}
	name := Kind(r.Body)
	if _, ok := findKind(name); !ok {
		return nil, eris.Errorf("encode record %q: no kind for body type %T", r.ID, r.Body)
	}
	body, err := marshal(r.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %q of kind %s", r.ID, name)
	}
	payload, err := marshal(envelope{ID: r.ID, Kind: name, Body: body})
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %q of kind %s", r.ID, name)
	}
	if len(payload) > MaxRecordBytes {
		return nil, &TooLargeError{ID: r.ID, What: "record", Bytes: len(payload), Limit: MaxRecordBytes}
	}
	return payload, nil
}

// marshal writes JSON without the escapes for HTML, since operators read it.
func marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}

// Decode reads the JSON form of a record. When it returns an error the record
// holds an Unknown body and can still be folded: its place on the log counts.
// Errors: UnknownKindError, MalformedError, TooLargeError.
func Decode(payload []byte) (Record, error) {
	if len(payload) > MaxRecordBytes {
		err := &TooLargeError{What: "record", Bytes: len(payload), Limit: MaxRecordBytes}
		return Record{Body: Unknown{}}, err
	}
	var read envelope
	if err := json.Unmarshal(payload, &read); err != nil {
		return Record{Body: Unknown{}}, &MalformedError{Err: eris.Wrap(err, "decode envelope")}
	}
	void := Record{ID: read.ID, Body: Unknown{Kind: read.Kind}}
	if len(read.ID) > MaxIDBytes {
		void.ID = ""
		return void, &TooLargeError{ID: read.ID, What: "id", Bytes: len(read.ID), Limit: MaxIDBytes}
	}
	known, ok := findKind(read.Kind)
	if !ok {
		return void, &UnknownKindError{ID: read.ID, Kind: read.Kind}
	}
	body, err := known.decode(read.Body)
	if err != nil {
		return void, &MalformedError{ID: read.ID, Kind: read.Kind, Err: err}
	}
	return Record{ID: read.ID, Body: body}, nil
}

func findKind(name string) (kind, bool) {
	for _, k := range kinds {
		if k.name == name {
			return k, true
		}
	}
	return kind{}, false
}
