// Package eventstream reads server-sent events (the text/event-stream format of the HTML standard).
// It returns only complete events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// MaxEventSize is the maximum size of an event in bytes.
const MaxEventSize = 1 << 20

// ErrTooLarge is returned for an event larger than MaxEventSize.
var ErrTooLarge = errors.New("event is too large")

// Field is a field of an event other than id and data.
type Field struct {
	Name  string
	Value string
}

// Event is one event of a stream.
type Event struct {
	ID string
	// Data holds the values of the data fields, joined by line feeds.
	Data string
	// Fields holds the other fields, in order.
	Fields []Field
	// Raw is the unparsed event, including the empty line that ends it. It is overwritten by the
	// next Read.
	Raw []byte
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 2048)}
}

// Read returns the next complete event. It returns io.EOF if the stream ends between events, and
// io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Read() (Event, error) {
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Event{}, r.eofError(err)
		}
		line := trimLineEnding(r.raw[start:])
		if len(line) > 0 {
			continue
		}
		if start == 0 {
			r.raw = r.raw[:0] // an empty line before the event
			continue
		}
		return parse(r.raw), nil
	}
}

func (r *Reader) readLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > MaxEventSize {
			return ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) eofError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimLineEnding(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	var data []string
	for line := range bytes.Lines(raw) {
		name, value, _ := strings.Cut(string(trimLineEnding(line)), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			data = append(data, value)
		case "id":
			event.ID = value
		case "":
		default:
			event.Fields = append(event.Fields, Field{Name: name, Value: value})
		}
	}
	event.Data = strings.Join(data, "\n")
	return event
}
