package nodecall

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"
)

func TestFrameFollowsGobMessages(t *testing.T) {
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 65535, 65536, 70000} {
		if err := encoder.Encode(struct{ Text string }{strings.Repeat("x", size)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, pieces := range []int{1, 2, 3, 7, 4096, encoded.Len()} {
		var position frame
		for rest := encoded.Bytes(); len(rest) > 0; {
			piece := rest[:min(pieces, len(rest))]
			if !position.advance(piece, 70100) {
				t.Fatalf("pieces of %d bytes: too long %d bytes before the end", pieces, len(rest))
			}
			rest = rest[len(piece):]
		}
		if position.rest != 0 || position.lengthBytes != 0 {
			t.Errorf("pieces of %d bytes: within a message at the end: %+v", pieces, position)
		}
	}
	if (&frame{}).advance(encoded.Bytes(), 69999) {
		t.Error("a message that is longer than the limit is not noticed")
	}
	if (&frame{}).advance([]byte{0xf7, 0, 0, 0, 0, 0, 0, 0, 0, 1}, 100) {
		t.Error("a length of nine bytes is not noticed")
	}
}

// Guards against handovers that are refused for their length: they hold the texts of all running items.
func TestLongReplies(t *testing.T) {
	listener, _ := serve(t)
	text := strings.Repeat("x", maxMessageBytes-1000)
	var answer string
	if err := Call(t.Context(), listener.Addr().String(), "Echo.Say", text, &answer); err != nil || len(answer) != len(text) {
		t.Errorf("answer of %d bytes, %v", len(answer), err)
	}
	if err := CallForLongReply(t.Context(), listener.Addr().String(), "Echo.Say", "x", &answer, 1); err == nil {
		t.Error("a reply that is longer than the limit is accepted")
	}
}
