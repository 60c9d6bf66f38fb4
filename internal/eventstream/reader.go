// Package eventstream reads server-sent events (the text/event-stream format of the HTML standard).
// It returns only complete events, and what stands between them as it arrives.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"dalehook/internal/bytebudget"
)

// MaxEventSize is the maximum size of an event in bytes.
const MaxEventSize = 1 << 20

// freeEventSize is the size in bytes up to which an event is held without a reservation. Those that hold a few tokens
// are shorter.
const freeEventSize = 4 << 10

// firstBufferSize is the size in bytes of the buffer for the first event.
const firstBufferSize = 512

// parseCopies is the number of copies of an event that are held while it is parsed.
const parseCopies = 3

// Errors of events that are too large to be held.
var (
	// ErrTooLarge is returned for an event larger than MaxEventSize.
	ErrTooLarge = eris.New("event is too large")
	// ErrNoMemory is returned for an event that does not fit the memory for servers' responses.
	ErrNoMemory = eris.New("no memory left for the event")
)

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
	memory *bytebudget.Reservation
	// raw holds the event that is being read.
	raw []byte
	// inComment is set while a part of a comment between two events was returned.
	inComment bool
}

// NewReader returns a reader of the events in source. Large events are held only as far as the reservation may grow; nil
// stands for no bound.
func NewReader(source io.Reader, memory *bytebudget.Reservation) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 2048), memory: memory}
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

// hold appends a part of an event, for which it asks the reservation first.
func (r *Reader) hold(part []byte) error {
	size := len(r.raw) + len(part)
	if size > MaxEventSize {
		return ErrTooLarge
	}
	if size > cap(r.raw) {
		if err := r.enlarge(size); err != nil {
			return err
		}
	}
	r.raw = append(r.raw, part...)
	return nil
}

// enlarge makes room for an event of the given size. Both buffers are held while the event is copied.
func (r *Reader) enlarge(size int) error {
	larger := max(size, min(2*cap(r.raw), MaxEventSize), firstBufferSize)
	if !r.memory.GrowIfIdle(reservedFor(larger)) {
		return ErrNoMemory
	}
	held := cap(r.raw)
	buffer := make([]byte, len(r.raw), larger)
	copy(buffer, r.raw)
	r.raw = buffer
	r.memory.Shrink(reservedFor(held))
	return nil
}

// reservedFor returns the number of bytes that are reserved for a buffer of the given size.
func reservedFor(size int) int64 {
	if size <= freeEventSize {
		return 0
	}
	return int64(size) * parseCopies
}

// Close frees what the reader has reserved. It does not close the source.
func (r *Reader) Close() {
	r.memory.Shrink(reservedFor(cap(r.raw)))
	r.raw = nil
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
