// Package eventstream reads server-sent events (the text/event-stream format of
// the HTML standard), whole events only.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// MaxEventSize is the size in bytes beyond which an event is refused.
const MaxEventSize = 1 << 20

// ErrTooLarge is returned for an event beyond MaxEventSize.
var ErrTooLarge = errors.New("event is too large")

// Field is a line of an event other than id and data.
type Field struct {
	Name  string
	Value string
}

// Event is one event of a stream.
type Event struct {
	ID string
	// Data holds the data lines joined by line feeds.
	Data string
	// Fields holds the other lines, in order.
	Fields []Field
	// Raw is the event as it came, with the empty line that ends it. It is
	// overwritten by the next Read.
	Raw []byte
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 2048)}
}

// Read returns the next whole event. It returns io.EOF where the stream ends
// between events, and io.ErrUnexpectedEOF where it ends inside one.
func (r *Reader) Read() (Event, error) {
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Event{}, r.endError(err)
		}
		line := trimLineEnd(r.raw[start:])
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

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	var data []string
	for line := range bytes.Lines(raw) {
		name, value, _ := strings.Cut(string(trimLineEnd(line)), ":")
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
