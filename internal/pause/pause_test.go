package pause

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	if !For(context.Background(), time.Millisecond) || !For(context.Background(), 0) {
		t.Error("a whole wait was cut")
	}
	ended, end := context.WithCancel(context.Background())
	end()
	if For(ended, time.Hour) || For(ended, 0) {
		t.Error("the wait outlived its context")
	}
}
