package nodecall

import (
	"net"

	"github.com/rotisserie/eris"
)

// maxMessageBytes bounds a message of a call or its reply. Pages of results and of the store's records hold about
// 1 MB.
const maxMessageBytes = 4 << 20

var errMessageTooLong = eris.New("message is too long")

// boundedConn is a connection that fails once a gob message on it states a length above limit, or once more than
// limit bytes were read in all: it carries one call and its reply. Without it the decoder would make room for the
// stated length.
type boundedConn struct {
	net.Conn
	limit int
	// total is the number of bytes read.
	total int
	frame frame
}

func newBoundedConn(conn net.Conn, limit int) *boundedConn {
	return &boundedConn{Conn: conn, limit: limit}
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total += n
	if c.total > c.limit || !c.frame.advance(p[:n], c.limit) {
		return 0, errMessageTooLong
	}
	return n, err
}

// frame is the position within a sequence of gob messages. Each one is preceded by its length as an unsigned integer:
// one byte below 128, or the negated count of the bytes that follow, most significant first.
type frame struct {
	// lengthBytes is the number of bytes of the length that are missing, length what is known of it.
	lengthBytes int
	length      int
	// rest is the number of bytes of the message that are missing.
	rest int
}

// advance passes over bytes, and returns false if a message is longer than limit.
func (f *frame) advance(read []byte, limit int) bool {
	for len(read) > 0 {
		if f.rest > 0 {
			passed := min(f.rest, len(read))
			f.rest -= passed
			read = read[passed:]
			continue
		}
		next := read[0]
		read = read[1:]
		switch {
		case f.lengthBytes > 0:
			f.length = f.length<<8 | int(next)
			f.lengthBytes--
		case next < 128:
			f.length = int(next)
		default:
			f.length, f.lengthBytes = 0, 256-int(next)
		}
		if f.length > limit || f.lengthBytes > 8 {
			return false
		}
		if f.lengthBytes == 0 {
			f.rest = f.length
		}
	}
	return true
}
