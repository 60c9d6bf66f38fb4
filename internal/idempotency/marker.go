package idempotency

import (
	"cmp"
	"slices"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// AttemptID names one coordinator's try to run the request of a key.
type AttemptID struct {
	Node        cluster.NodeID
	Incarnation cluster.Incarnation
	Sequence    uint64
}

// compare orders attempts; of two that split the votes the lower one goes on.
func (a AttemptID) compare(b AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// State says what a marker's attempt has come to.
type State int

const (
	// StateStarted means that the attempt may have been sent, or may yet be.
	StateStarted State = iota + 1
	// StateAnswered means that the back end answered.
	StateAnswered
	// StateUnknown means that the request was sent and no answer came.
	StateUnknown
)

// Marker says that an attempt has the right, or had it, to run a key's request.
type Marker struct {
	Attempt AttemptID
	// Digest covers the request, so that a key can't stand for two of them.
	Digest string
	State  State
	// Response is the answer of StateAnswered; nil when it was too large to keep.
	Response *machine.Response
}

// definite reports whether the attempt surely was sent. No other attempt of the
// key can have been, so its marker makes all others moot.
func (m Marker) definite() bool { return m.State != StateStarted }

// size estimates the marker's memory in bytes.
func (m Marker) size() int {
	size := markerOverhead + len(m.Digest)
	if m.Response == nil {
		return size
	}
	return size + responseSize(*m.Response)
}

// markerOverhead is the memory of a marker without its digest and response.
const markerOverhead = 200

func responseSize(response machine.Response) int {
	size := len(response.Body)
	for _, header := range response.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// mergeMarker adds a marker to those of one key. Several started ones can stand
// side by side after a transfer: any of them may have had the majority.
func mergeMarker(markers []Marker, added Marker) []Marker {
	if len(markers) == 1 && markers[0].definite() {
		return markers
	}
	if added.definite() {
		return []Marker{added}
	}
	same := func(m Marker) bool { return m.Attempt == added.Attempt }
	if slices.ContainsFunc(markers, same) {
		return markers
	}
	return append(markers, added)
}
