package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// readAll reads a stream to its end. It returns the events without Raw, and the Raw of all events and fillers.
func readAll(t *testing.T, reader *Reader) (events []Event, raw string, err error) {
	t.Helper()
	for {
		event, err := reader.Read()
		if err != nil {
			return events, raw, err
		}
		raw += string(event.Raw)
		if !event.Filler {
			event.Raw = nil
			events = append(events, event)
		}
	}
}

// Guards against comments that count as events (review/8): lines that begin with a colon belong to no event, wherever
// they stand.
func TestCommentsAreNoEvents(t *testing.T) {
	long := ":" + strings.Repeat("x", 10_000) + "\n"
	one, two := Event{ID: "1", Data: "a", HasData: true}, Event{ID: "2", Data: "b", HasData: true}
	cases := map[string]struct {
		stream string
		events []Event
	}{
		"no comment":                 {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Event{one, two}},
		"a block of its own":         {": keep-alive\n\nid: 1\ndata: a\n\n: keep-alive\n\nid: 2\ndata: b\n\n: end\n\n", []Event{one, two}},
		"without an empty line":      {": keep-alive\nid: 1\ndata: a\n\n: keep-alive\nid: 2\ndata: b\n\n: end\n", []Event{one, two}},
		"within an event":            {"id: 1\n: keep-alive\ndata: a\n:\n\nid: 2\n:x\ndata: b\n\n", []Event{one, two}},
		"longer than the buffer":     {long + "id: 1\ndata: a\n\n" + long + "\nid: 2\n" + long + "data: b\n\n", []Event{one, two}},
		"empty lines":                {"\n\r\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n", []Event{one, two}},
		"carriage returns":           {": x\r\n\r\nid: 1\r\ndata: a\r\n\r\n:\r\nid: 2\r\ndata: b\r\n\r\n", []Event{one, two}},
		"an event without data":      {"id: 1\n\nid: 2\ndata: b\n\n", []Event{{ID: "1"}, two}},
		"an event with an empty one": {"id: 1\ndata\n\nid: 2\ndata: b\n\n", []Event{{ID: "1", HasData: true}, two}},
		"comments alone":             {": a\n\n: b\n\n", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(c.stream), iotest.OneByteReader(strings.NewReader(c.stream))} {
				events, raw, err := readAll(t, NewReader(source, nil))
				if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("ended with %v", err)
				}
				if diff := cmp.Diff(c.events, events); diff != "" {
					t.Error(diff)
				}
				if raw != c.stream {
					t.Errorf("passed on: %q", raw)
				}
			}
		})
	}
}

// A stream that ends within a line or an event is not whole.
func TestStreamsThatBreakOff(t *testing.T) {
	for _, stream := range []string{
		"id: 1", "id: 1\n", "id: 1\ndata: a\n", ": comm", "id: 1\ndata: a\n\n: comm", "id: 1\n:x\n", ":" + strings.Repeat("x", 5000),
		"data: " + strings.Repeat("x", 5000),
	} {
		if _, _, err := readAll(t, NewReader(strings.NewReader(stream), nil)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%.20q: %v", stream, err)
		}
	}
}
