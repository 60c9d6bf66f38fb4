package stricthttp

import (
	"testing"
)

// headCase is the start of a response, and what is wrong with its head; empty if nothing is.
type headCase struct {
	name string
	text string
	want Kind
}

var statusLineCases = []headCase{
	{"ok", "HTTP/1.1 200 OK\r\n\r\n", ""},
	{"old version", "HTTP/1.0 404 Not Found\r\n\r\n", ""},
	{"no reason", "HTTP/1.1 599\r\n\r\n", ""},
	{"empty reason", "HTTP/1.1 299 \n\n", ""},
	{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ""},
	{"bytes after the head", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 \r\n\r\n", ""},
	{"000", "HTTP/1.1 000 Trouble\r\n\r\n", KindStatusLine},
	{"001", "HTTP/1.1 001 Trouble\r\n\r\n", KindStatusLine},
	{"099", "HTTP/1.1 099 Trouble\r\n\r\n", KindStatusLine},
	{"sign and zero", "HTTP/1.1 -00 Trouble\r\n\r\n", KindStatusLine},
	{"sign", "HTTP/1.1 +20 OK\r\n\r\n", KindStatusLine},
	{"600", "HTTP/1.1 600 Trouble\r\n\r\n", KindStatusLine},
	{"999", "HTTP/1.1 999 Trouble\r\n\r\n", KindStatusLine},
	{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", KindStatusLine},
	{"four digits", "HTTP/1.1 2000 OK\r\n\r\n", KindStatusLine},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", KindStatusLine},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", KindStatusLine},
	{"another version", "HTTP/2.0 200 OK\r\n\r\n", KindStatusLine},
	{"no version", "200 OK\r\n\r\n", KindStatusLine},
	{"empty", "\r\n", KindStatusLine},
	{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n", KindStatusLine},
}

// Guards against statuses that net/http takes, and that no response in the protocol has.
func TestStatusLines(t *testing.T) { testHeads(t, statusLineCases) }

// testHeads checks heads that arrive in two parts, for each place where they may be split.
func testHeads(t *testing.T, cases []headCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for split := range len(c.text) {
				if got := checkParts(c.text[:split], c.text[split:]); got != c.want {
					t.Errorf("split at %d: %q", split, got)
				}
			}
		})
	}
}

// checkParts returns the kind of the first error in parts of a response.
func checkParts(parts ...string) Kind {
	var head headChecker
	head.begin()
	for _, part := range parts {
		if broken := head.check([]byte(part)); broken != nil {
			return broken.Kind
		}
	}
	return ""
}

// An error quotes a part of a long line only.
func TestQuotedLinesAreBounded(t *testing.T) {
	line := make([]byte, 1<<20)
	var head headChecker
	head.begin()
	broken := head.check(append(line, '\n'))
	if broken == nil || len(broken.Detail) > 5*maxQuotedBytes {
		t.Errorf("error: %.1000v", broken)
	}
}

var fieldCases = []headCase{
	{"no fields", "HTTP/1.1 200 OK\r\n\r\n", ""},
	{"fields", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nx-y:\tz \r\nEmpty:\r\nUmlaut: \xfc\r\n\r\n", ""},
	{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 6\n\n", ""},
	{"body like a field", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nX Y: z\r\n", ""},
	{"encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\n", KindField},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 6\r\n\r\n", KindField},
	{"blank in the name", "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", KindField},
	{"blank before the name", "HTTP/1.1 200 OK\r\n X-Y: z\r\n\r\n", KindField},
	{"continued line", "HTTP/1.1 200 OK\r\nX-Y: z\r\n more\r\n\r\n", KindField},
	{"no name", "HTTP/1.1 200 OK\r\n: z\r\n\r\n", KindField},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Y\r\n\r\n", KindField},
	{"zero byte in the name", "HTTP/1.1 200 OK\r\nX\x00Y: z\r\n\r\n", KindField},
	{"control byte in the name", "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n\r\n", KindField},
	{"delete in the name", "HTTP/1.1 200 OK\r\nX\x7fY: z\r\n\r\n", KindField},
	{"carriage return in the name", "HTTP/1.1 200 OK\r\nX\rY: z\r\n\r\n", KindField},
	{"byte above 127 in the name", "HTTP/1.1 200 OK\r\nX\xfcY: z\r\n\r\n", KindField},
	{"zero byte in the value", "HTTP/1.1 200 OK\r\nX-Y: \x00\r\n\r\n", KindField},
	{"carriage return in the value", "HTTP/1.1 200 OK\r\nX-Y: a\rb\r\n\r\n", KindField},
	{"in an interim response", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", KindField},
	{"encoding of HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", KindFraming},
}

// Guards against a field that is not the one that it looks like, since net/http takes names with blanks.
func TestFields(t *testing.T) { testHeads(t, fieldCases) }
