package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// A cursor is URL-safe base64 of: a format byte, the first eight bytes of the
// step id's hash, and the bitmap of the samples that the trainer has, without
// its trailing zero bytes. Exactly-once delivery is therefore a function of what
// the trainer presents, whoever owns the step.
const (
	cursorFormat     = 1
	cursorHeaderSize = 1 + 8
	// maxCursorLength bounds the text of a cursor: 65,536 samples.
	maxCursorLength = 11000
)

// sampleSet is a set of sample indices.
type sampleSet struct{ bits []byte }

// has reports whether the set holds a sample.
func (s sampleSet) has(sample int) bool {
	return sample/8 < len(s.bits) && s.bits[sample/8]&(1<<(sample%8)) != 0
}

// with returns a set that also holds the sample.
func (s sampleSet) with(sample int) sampleSet {
	bits := slices.Clone(s.bits)
	for len(bits) <= sample/8 {
		bits = append(bits, 0)
	}
	bits[sample/8] |= 1 << (sample % 8)
	return sampleSet{bits: bits}
}

// covers reports whether the set holds all samples below count.
func (s sampleSet) covers(count int) bool {
	for sample := range count {
		if !s.has(sample) {
			return false
		}
	}
	return true
}

// within reports whether the set holds no sample at or above count.
func (s sampleSet) within(count int) bool {
	for sample := count; sample < len(s.bits)*8; sample++ {
		if s.has(sample) {
			return false
		}
	}
	return true
}

// encodeCursor returns the cursor of a trainer that has the given samples.
func encodeCursor(step string, set sampleSet) string {
	bits := set.bits
	for len(bits) > 0 && bits[len(bits)-1] == 0 {
		bits = bits[:len(bits)-1]
	}
	raw := make([]byte, 0, cursorHeaderSize+len(bits))
	raw = append(raw, cursorFormat)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64String(step))
	raw = append(raw, bits...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// decodeCursor returns the samples that the trainer has. It fails for a text that
// is no cursor of the step. An empty text is the cursor of the start.
func decodeCursor(step, text string) (sampleSet, error) {
	if text == "" {
		return sampleSet{}, nil
	}
	if len(text) > maxCursorLength {
		return sampleSet{}, eris.Errorf("cursor has %d characters, the limit is %d", len(text), maxCursorLength)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return sampleSet{}, eris.Wrap(err, "decode cursor")
	}
	if len(raw) < cursorHeaderSize || raw[0] != cursorFormat {
		return sampleSet{}, eris.New("not a cursor of this format")
	}
	if binary.BigEndian.Uint64(raw[1:]) != xxhash.Sum64String(step) {
		return sampleSet{}, eris.New("the cursor belongs to another step")
	}
	return sampleSet{bits: raw[cursorHeaderSize:]}, nil
}
