// Package wiretest checks that messages between nodes and records in the store
// are compatible with earlier builds: during a rolling upgrade nodes of two builds
// run side by side, and each must be able to read what the other writes.
//
// Each message has a directory testdata/wire/NAME with two files for each build
// that changed its shape: BUILD.shape holds the names and kinds of its parts, and
// BUILD.encoded is a message of that build in which the value of each part is
// derived from its path. docs/design/builds.md describes how a message may be
// changed.
package wiretest

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// recordBuild is the build name under which shapes and encodings are written
// instead of checked. They are written only for shapes not recorded before.
var recordBuild = flag.String("wire.record", "", "write the shapes and encodings of messages as those of this `build`")

// Codec encodes and decodes messages.
type Codec interface {
	Encode(message any) ([]byte, error)
	Decode(encoded []byte, message any) error
}

// Codecs of messages.
var (
	Gob  Codec = gobCodec{}
	JSON Codec = jsonCodec{}
)

type gobCodec struct{}

func (gobCodec) Encode(message any) ([]byte, error) {
	var encoded bytes.Buffer
	err := gob.NewEncoder(&encoded).Encode(message)
	return encoded.Bytes(), err
}

func (gobCodec) Decode(encoded []byte, message any) error {
	return gob.NewDecoder(bytes.NewReader(encoded)).Decode(message)
}

type jsonCodec struct{}

func (jsonCodec) Encode(message any) ([]byte, error)       { return json.Marshal(message) }
func (jsonCodec) Decode(encoded []byte, message any) error { return json.Unmarshal(encoded, message) }

// Message is a message type that nodes of different builds may exchange.
type Message struct {
	Name  string
	Codec Codec
	// Value is a value of the message's type; only its type is used.
	Value any
	// Added documents each part that an earlier build doesn't have, by path: what
	// it means that the part is zero, or that such a build ignores it.
	Added map[string]string
}

// Check checks the messages of this build against those recorded in testdata/wire.
func Check(t *testing.T, messages []Message) {
	t.Helper()
	for _, message := range messages {
		t.Run(message.Name, func(t *testing.T) {
			if *recordBuild != "" {
				message.recordShape(t, *recordBuild)
				return
			}
			message.check(t)
		})
	}
}

func (m Message) directory() string { return filepath.Join("testdata", "wire", m.Name) }

const (
	shapeExtension   = ".shape"
	encodedExtension = ".encoded"
)

// recordShape writes the current shape and an encoded message under the build
// name, unless the shape is already recorded.
func (m Message) recordShape(t *testing.T, build string) {
	t.Helper()
	current := shapeOf(reflect.TypeOf(m.Value))
	for _, recorded := range m.loadRecorded(t) {
		if reflect.DeepEqual(recorded.shape, current) {
			return
		}
	}
	shape, err := json.MarshalIndent(current, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(m.directory(), 0o755); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(m.directory(), build)
	if err := os.WriteFile(path+shapeExtension, append(shape, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+encodedExtension, m.encode(t), 0o644); err != nil {
		t.Fatal(err)
	}
}

// encode returns an encoded message of this build in which the value of each part
// is derived from its path.
func (m Message) encode(t *testing.T) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(m.Value)).Elem()
	fillFromPath(value, "")
	encoded, err := m.Codec.Encode(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// recordedMessage is the shape that a message had in a build, and an encoded
// message of that build.
type recordedMessage struct {
	build   string
	shape   Shape
	encoded []byte
}

func (m Message) loadRecorded(t *testing.T) []recordedMessage {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(m.directory(), "*"+shapeExtension))
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	var messages []recordedMessage
	for _, name := range names {
		recorded := recordedMessage{build: strings.TrimSuffix(filepath.Base(name), shapeExtension)}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, &recorded.shape); err != nil {
			t.Fatal(err)
		}
		if recorded.encoded, err = os.ReadFile(strings.TrimSuffix(name, shapeExtension) + encodedExtension); err != nil {
			t.Fatal(err)
		}
		messages = append(messages, recorded)
	}
	return messages
}

func (m Message) check(t *testing.T) {
	current := shapeOf(reflect.TypeOf(m.Value))
	isRecorded := false
	for _, recorded := range m.loadRecorded(t) {
		isRecorded = isRecorded || reflect.DeepEqual(recorded.shape, current)
		m.checkCompatible(t, current, recorded)
	}
	if !isRecorded {
		t.Errorf("the shape of %s changed and is not recorded: read docs/design/builds.md, then run go test -wire.record=BUILD", m.Name)
	}
}

// checkCompatible checks that this build and a recorded one decode each other's
// messages to the same values.
func (m Message) checkCompatible(t *testing.T, current Shape, recorded recordedMessage) {
	t.Helper()
	currentKinds, recordedKinds := make(map[string]string), make(map[string]string)
	current.addKinds("", currentKinds)
	recorded.shape.addKinds("", recordedKinds)
	for path, kind := range recordedKinds {
		if currentKinds[path] != kind {
			t.Errorf("%s: %s had kind %s and now has kind %q: existing parts must not change; a new meaning needs a new name", recorded.build, path, kind, currentKinds[path])
		}
	}
	for path := range currentKinds {
		if _, known := recordedKinds[path]; !known && !m.isDocumented(path) {
			t.Errorf("%s: %s was added, but Added does not document what its absence means", recorded.build, path)
		}
	}
	m.checkDecoded(t, recorded.build+" to this build", recorded.encoded, reflect.TypeOf(m.Value), recordedKinds)
	m.checkDecoded(t, "this build to "+recorded.build, m.encode(t), newType(recorded.shape), currentKinds)
}

// isDocumented reports whether Added has an entry for the part at path or for a
// part that contains it.
func (m Message) isDocumented(path string) bool {
	for added := range m.Added {
		if path == added || strings.HasPrefix(path, added+".") || strings.HasPrefix(path, added+elemSuffix) {
			return true
		}
	}
	return false
}

func (m Message) checkDecoded(t *testing.T, direction string, encoded []byte, decoderType reflect.Type, encoderKinds map[string]string) {
	t.Helper()
	value := reflect.New(decoderType)
	if err := m.Codec.Decode(encoded, value.Interface()); err != nil {
		t.Errorf("%s: %v", direction, err)
		return
	}
	for _, mismatch := range findMismatches(value.Elem(), "", encoderKinds) {
		t.Errorf("%s: %s", direction, mismatch)
	}
}
