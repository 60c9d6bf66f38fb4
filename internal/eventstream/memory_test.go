package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"dalehook/internal/bytebudget"
)

// endless is a stream that repeats a text.
type endless string

func (e endless) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat(string(e), 1+len(p)/len(e))), nil
}

// Guards against events without end in many streams at once: each one held up to MaxEventSize, in no account.
func TestLargeEventsAreHeldWithinTheBudget(t *testing.T) {
	const limit = 4 << 20
	budget := bytebudget.New(limit)
	var readers []*Reader
	var gaveWay, tooLarge int
	for range 100 {
		reader := NewReader(endless("data: x\n"), budget.Reserve(""))
		readers = append(readers, reader)
		switch _, err := reader.Read(); {
		case errors.Is(err, ErrNoMemory):
			gaveWay++
		case errors.Is(err, ErrTooLarge):
			tooLarge++
		default:
			t.Fatalf("ended with %v", err)
		}
		if used := budget.Used(); used > limit/2 {
			t.Fatalf("%d bytes reserved of a budget of %d", used, limit)
		}
	}
	if gaveWay == 0 {
		t.Errorf("%d streams gave way, %d were too large", gaveWay, tooLarge)
	}
	for _, reader := range readers {
		reader.Close()
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes stay reserved", budget.Used())
	}
}

// Small events, comments and empty lines take nothing from the budget, however many there are.
func TestSmallEventsAndCommentsTakeNoBudget(t *testing.T) {
	budget := bytebudget.New(1)
	small := strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 2000)+"\n\n", 50)
	comments := strings.Repeat(":"+strings.Repeat("x", 1<<20)+"\n\n", 3)
	reader := NewReader(strings.NewReader(small+comments), budget.Reserve(""))
	if events, _, err := readAll(t, reader); len(events) != 50 || !errors.Is(err, io.EOF) {
		t.Errorf("%d events, %v", len(events), err)
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes reserved", budget.Used())
	}
}

// An event of the largest size is read where there is room.
func TestLargestEvent(t *testing.T) {
	budget := bytebudget.New(16 << 20)
	data := strings.Repeat("x", MaxEventSize-len("data: \n\n"))
	events, _, err := readAll(t, NewReader(strings.NewReader("data: "+data+"\n\n"), budget.Reserve("")))
	if len(events) != 1 || events[0].Data != data || !errors.Is(err, io.EOF) {
		t.Errorf("%d events, %v", len(events), err)
	}
}
