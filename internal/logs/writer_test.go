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

// blockingTarget is a target that blocks until opened is closed.
type blockingTarget struct {
	opened chan struct{}
	mutex  sync.Mutex
	text   bytes.Buffer
}

func (g *blockingTarget) Write(p []byte) (int, error) {
	<-g.opened
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(p)
}

func (g *blockingTarget) String() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	open := make(chan struct{})
	close(open)
	target := &blockingTarget{opened: open}
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
		t.Error("the target got other lines or another order")
	}
}

func TestBlockedTargetDropsLinesWithoutBlocking(t *testing.T) {
	target := &blockingTarget{opened: make(chan struct{})}
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
		t.Fatal("writes block on the target")
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing was dropped")
	}
	close(target.opened)
	_, _ = io.WriteString(w, "the last line\n")
	w.Close(time.Minute)
	if text := target.String(); !strings.Contains(text, `"msg":"lines dropped","lines":`) {
		t.Error("the number of dropped lines was not logged")
	}
}

func TestCloseTimesOut(t *testing.T) {
	target := &blockingTarget{opened: make(chan struct{})}
	defer close(target.opened)
	w := NewWriter(target, 4096)
	_, _ = io.WriteString(w, "line\n")
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if time.Since(began) > time.Minute {
		t.Error("Close did not time out")
	}
}
