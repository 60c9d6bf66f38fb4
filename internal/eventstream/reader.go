// Package eventstream reads server-sent events (the text/event-stream format of the HTML standard).
// It returns only complete events, and what stands between them as it arrives.
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

// Event is one event of a stream, or a filler: what stands between two events.
type Event struct {
	// Filler says that this is not an event but a comment, a part of one, or an empty line. It has nothing but Raw.
	Filler bool
	ID     string
	// Data holds the values of the data fields, joined by line feeds. HasData says that there is one; without one, an
	// event only sets the ID of the last event.
	Data    string
	HasData bool
	// Fields holds the other fields, in order.
	Fields []Field
	// Raw is the unparsed event, including the empty line that ends it. It is overwritten by the
	// next Read. The Raw of all events and fillers are the bytes of the stream.
	Raw []byte
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	// raw holds the event that is being read.
	raw []byte
	// inComment is set while a part of a comment between two events was returned.
	inComment bool
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 2048)}
}

// Read returns the next complete event, or the next filler. It returns io.EOF if the stream ends between events, and
// io.ErrUnexpectedEOF if it ends within one or within a comment.
func (r *Reader) Read() (Event, error) {
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		part, err := r.source.ReadSlice('\n')
		complete := err == nil
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, r.endError(err, len(part))
		}
		if start == 0 && r.isFiller(part) {
			r.inComment = !complete
			return Event{Filler: true, Raw: part}, nil
		}
		if err := r.hold(part); err != nil {
			return Event{}, err
		}
		if !complete {
			if err := r.holdRestOfLine(); err != nil {
				return Event{}, err
			}
		}
		if len(trimLineEnding(r.raw[start:])) == 0 {
			return parse(r.raw), nil
		}
	}
}

// isFiller reports whether the first part of a line, or the next part of a comment, belongs to no event.
func (r *Reader) isFiller(part []byte) bool {
	return r.inComment || part[0] == ':' || len(trimLineEnding(part)) == 0
}

// holdRestOfLine holds the parts of a line that is longer than the buffer.
func (r *Reader) holdRestOfLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return r.endError(err, len(part))
		}
		if holdErr := r.hold(part); holdErr != nil {
			return holdErr
		}
		if err == nil {
			return nil
		}
	}
}

// hold appends a part of an event.
func (r *Reader) hold(part []byte) error {
	r.raw = append(r.raw, part...)
	if len(r.raw) > MaxEventSize {
		return ErrTooLarge
	}
	return nil
}

// endError returns the error of a stream that ended, or broke off, with the given number of bytes unread.
func (r *Reader) endError(err error, unread int) error {
	if errors.Is(err, io.EOF) && (len(r.raw) > 0 || unread > 0 || r.inComment) {
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
	event.Data, event.HasData = strings.Join(data, "\n"), len(data) > 0
	return event
}
