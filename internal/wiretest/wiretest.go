// Package wiretest checks what nodes say to each other or leave in the store against earlier builds: nodes of two
// builds work side by side while machines are replaced, and either has to read what the other writes.
//
// Each message has a folder testdata/wire/NAME with two files for each build that changed its shape: BUILD.shape,
// the names and kinds of its parts, and BUILD.encoded, a message of that build in which each part holds what
// its path stands for. docs/design/builds.md tells how a message may be changed.
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

// record names the build whose files are written instead of checked; they are written where the shape is new.
var record = flag.String("wire.record", "", "write the shapes and encodings of messages as those of this `build`")

// Codec encodes messages.
type Codec interface {
	Encode(message any) ([]byte, error)
	Decode(encoded []byte, message any) error
}

// The codecs.
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

// Message is one that nodes of different builds may exchange.
type Message struct {
	Name  string
	Codec Codec
	// Value is a value of the message's type.
	Value any
	// Added tells, for each part that an earlier build does not have, what its being zero, or its being left
	// unread by such a build, means.
	Added map[string]string
}

// Check checks messages of this build against those of the builds whose files stand in testdata/wire.
func Check(t *testing.T, messages []Message) {
	t.Helper()
	for _, message := range messages {
		t.Run(message.Name, func(t *testing.T) {
			if *record != "" {
				message.write(t, *record)
				return
			}
			message.check(t)
		})
	}
}

func (m Message) folder() string { return filepath.Join("testdata", "wire", m.Name) }

const (
	shapeEnding   = ".shape"
	encodedEnding = ".encoded"
)

// write keeps the shape and an encoding of this build as those of a build, unless its shape is kept already.
func (m Message) write(t *testing.T, build string) {
	t.Helper()
	current := shapeOf(reflect.TypeOf(m.Value))
	for _, kept := range m.kept(t) {
		if reflect.DeepEqual(kept.shape, current) {
			return
		}
	}
	shape, err := json.MarshalIndent(current, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(m.folder(), build)
	if err := os.WriteFile(path+shapeEnding, append(shape, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+encodedEnding, m.encode(t), 0o644); err != nil {
		t.Fatal(err)
	}
}

// encode returns a message of this build in which each part holds what its path stands for.
func (m Message) encode(t *testing.T) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(m.Value)).Elem()
	fill(value, "")
	encoded, err := m.Codec.Encode(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// keptShape is the shape that a message had in a build, and a message of that build.
type keptShape struct {
	build   string
	shape   Shape
	encoded []byte
}

func (m Message) kept(t *testing.T) []keptShape {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(m.folder(), "*"+shapeEnding))
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	var all []keptShape
	for _, name := range names {
		kept := keptShape{build: strings.TrimSuffix(filepath.Base(name), shapeEnding)}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, &kept.shape); err != nil {
			t.Fatal(err)
		}
		if kept.encoded, err = os.ReadFile(strings.TrimSuffix(name, shapeEnding) + encodedEnding); err != nil {
			t.Fatal(err)
		}
		all = append(all, kept)
	}
	return all
}

func (m Message) check(t *testing.T) {
	current := shapeOf(reflect.TypeOf(m.Value))
	isKept := false
	for _, kept := range m.kept(t) {
		isKept = isKept || reflect.DeepEqual(kept.shape, current)
		m.checkAgainst(t, current, kept)
	}
	if !isKept {
		t.Errorf("the shape of %s has changed, and is not kept for later builds: read docs/design/builds.md, then go test -wire.record=BUILD", m.Name)
	}
}

// checkAgainst checks that this build and an earlier one read each other's messages with one meaning.
func (m Message) checkAgainst(t *testing.T, current Shape, earlier keptShape) {
	t.Helper()
	here, there := make(map[string]string), make(map[string]string)
	current.paths("", here)
	earlier.shape.paths("", there)
	for path, kind := range there {
		if here[path] != kind {
			t.Errorf("%s: %s was of kind %s and is of kind %q: parts stay as they are, another meaning takes another name", earlier.build, path, kind, here[path])
		}
	}
	for path := range here {
		if _, known := there[path]; !known && !m.tells(path) {
			t.Errorf("%s: %s was added, and Added does not tell what its absence means", earlier.build, path)
		}
	}
	m.checkDecoded(t, earlier.build+" to this build", earlier.encoded, reflect.TypeOf(m.Value), there)
	m.checkDecoded(t, "this build to "+earlier.build, m.encode(t), typeOf(earlier.shape), here)
}

// tells says whether Added tells of a part, or of one that it belongs to.
func (m Message) tells(path string) bool {
	for added := range m.Added {
		if path == added || strings.HasPrefix(path, added+".") || strings.HasPrefix(path, added+elemPath) {
			return true
		}
	}
	return false
}

func (m Message) checkDecoded(t *testing.T, way string, encoded []byte, decoder reflect.Type, sent map[string]string) {
	t.Helper()
	value := reflect.New(decoder)
	if err := m.Codec.Decode(encoded, value.Interface()); err != nil {
		t.Errorf("%s: %v", way, err)
		return
	}
	for _, fault := range faultsOf(value.Elem(), "", sent) {
		t.Errorf("%s: %s", way, fault)
	}
}
