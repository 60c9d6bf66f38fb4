package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// closeRecorder records that a body was closed.
type closeRecorder struct {
	io.Reader
	closed *atomic.Bool
}

func (c closeRecorder) Close() error {
	c.closed.Store(true)
	return nil
}

// Guards against memory that is never given back: the response of an attempt that ends after the call, whose body is too
// long to be read to its end, was not closed, and what was reserved for its head stayed reserved.
func TestResponsesThatComeTooLateAreClosed(t *testing.T) {
	var closed atomic.Bool
	tooLate := func(context.Context, Attempt) (*Response, *SendError) {
		time.Sleep(200 * time.Millisecond) // a hedge is sent meanwhile
		body := strings.NewReader(strings.Repeat("x", 2*maxBufferedBytes))
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: closeRecorder{Reader: body, closed: &closed}, Length: -1}, nil
	}
	cases := map[string]struct {
		deadline time.Duration
		second   responseFunc
	}{
		"after another response": {10 * time.Second, respondWith(200, "ok")},
		"after the deadline":     {100 * time.Millisecond, hang},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			closed.Store(false)
			serve(t, routetable.KindSafe, false, c.deadline, tooLate, c.second)
			for end := time.Now().Add(20 * time.Second); !closed.Load(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the response is not closed")
				}
			}
		})
	}
}
