package gateway

import (
	"strings"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// longComment is longer than the buffer by which streams are read.
var longComment = strings.Repeat("x", 3000)

// Comments of a stream are passed on where they stand, and say nothing about the event after which it continues.
func TestCommentsArePassedOn(t *testing.T) {
	const comment = ": keep-alive\n\n"
	cases := map[string]struct {
		responses []responseFunc
		body      string
		lastID    string
	}{
		"whole stream": {[]responseFunc{respondWith(200, comment+eventOne+comment+eventTwo+comment)}, comment + eventOne + comment + eventTwo + comment, ""},
		"broken after a comment": {
			[]responseFunc{respondTruncated(eventOne + comment), respondWith(200, eventTwo)}, eventOne + comment + eventTwo, "1",
		},
		"broken within a comment": {
			[]responseFunc{respondTruncated(eventOne + ": keep"), respondWith(200, eventTwo)}, eventOne + eventTwo, "1",
		},
		"broken within a long comment": {
			[]responseFunc{respondTruncated(eventOne + ": " + longComment), respondWith(200, eventTwo)},
			eventOne + ": " + longComment[:2046] + "\n" + eventTwo, "1",
		},
		"comments alone at first": {[]responseFunc{respondTruncated(comment), respondWith(200, eventOne)}, comment + eventOne, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, body, backend := serve(t, routetable.KindStream, true, 10*time.Second, c.responses...)
			if body != c.body {
				t.Errorf("body %q", body)
			}
			if last := backend.attempts[backend.attemptCount()-1]; last.LastEventID != c.lastID {
				t.Errorf("continued after %q", last.LastEventID)
			}
		})
	}
}
