package logs

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a reader of lines that stands still until it is opened.
type gate struct {
	opened chan struct{}
	mutex  sync.Mutex
	text   bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.opened
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.String()
}

func TestLinesComeInOrder(t *testing.T) {
	open := make(chan struct{})
	close(open)
	target := &gate{opened: open}
	w := NewWriter(target, 1<<20)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if _, err := io.WriteString(w, line); err != nil {
			t.Fatal(err)
		}
	}
	w.Close(time.Minute)
	if target.String() != want.String() {
		t.Error("the lines differ")
	}
}

func TestAReaderThatStandsStillCostsLinesAndNoTime(t *testing.T) {
	target := &gate{opened: make(chan struct{})}
	w := NewWriter(target, 4096)
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		for range 10_000 {
			_, _ = io.WriteString(w, "a line of some length\n")
		}
	}()
	select {
	case <-wrote:
	case <-time.After(time.Minute):
		t.Fatal("writing waits for the reader")
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing was dropped")
	}
	close(target.opened)
	_, _ = io.WriteString(w, "the last line\n")
	w.Close(time.Minute)
	if text := target.String(); !strings.Contains(text, `"msg":"lines dropped","lines":`) {
		t.Error("the loss was not told")
	}
}

func TestCloseDoesNotWaitForever(t *testing.T) {
	target := &gate{opened: make(chan struct{})}
	defer close(target.opened)
	w := NewWriter(target, 4096)
	_, _ = io.WriteString(w, "line\n")
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if time.Since(began) > time.Minute {
		t.Error("Close waited")
	}
}
