package roundtrip

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"dalehook/internal/bytebudget"
)

// errSealed is returned by writes to a connection that must not be used again.
var errSealed = eris.New("connection is sealed")

// countingConn counts the bytes passed to the connection before they are written,
// so that an unchanged count means that no byte was sent.
type countingConn struct {
	net.Conn

	// inUse is held from acquire to release. http.Transport may hand out a connection again as soon as it
	// has read a response without a body, before that response was checked.
	inUse sync.Mutex

	mu       sync.Mutex
	accepted int64
	sealed   bool
	// lastID is the ID of the last request that acquired the connection.
	lastID string
	// head is the reservation for the head of the response that is being read; nil if there is none, or no bound.
	// unreserved is the number of bytes read since it last grew.
	head       *bytebudget.Reservation
	unreserved int
}

// freeHeadBytes is the part of a head that is held without a reservation. Most heads are shorter.
const freeHeadBytes = 1 << 10

// headCost is the memory that the parser takes for each byte of a head of many short fields, with what it drops on the
// way.
const headCost = 8

// errNoMemory is the error of a response whose head does not fit the memory for servers' responses.
var errNoMemory = eris.New("no memory left for the head of the response")

// acquire reserves the connection for a request with an ID, which may be empty, until release. Until then, what is read
// belongs to the head of the response, for which there is a reservation. It waits until
// the previous response was checked, and returns the number of bytes accepted for writing so far. A connection
// whose previous request had the same ID is sealed: a second copy of the previous response could not be told
// from the next one.
func (c *countingConn) acquire(id string, head *bytebudget.Reservation) (accepted int64) {
	c.inUse.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != "" && id == c.lastID {
		c.sealed = true
	}
	c.lastID = id
	c.head, c.unreserved = head, 0
	return c.accepted
}

// endHead records that the head of the response is complete. Its reservation may be released from then on.
func (c *countingConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = nil
}

// release ends the reservation by acquire.
func (c *countingConn) release() {
	c.endHead()
	c.inUse.Unlock()
}

// Read implements net.Conn. It fails if it would continue a head that does not fit the memory.
func (c *countingConn) Read(p []byte) (int, error) {
	size, ok := c.reserveHead(len(p))
	if !ok {
		c.seal()
		return 0, errNoMemory
	}
	n, err := c.Conn.Read(p[:size])
	c.countHead(n)
	return n, err
}

// reserveHead reserves the memory of a head that was read in part, before more of it is read. It returns the number of
// bytes that may be read, of those that fit the buffer.
func (c *countingConn) reserveHead(fit int) (size int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return fit, true
	}
	if c.unreserved == 0 {
		return min(fit, freeHeadBytes), true
	}
	ok = c.head.GrowIfIdle(int64(headCost * c.unreserved))
	c.unreserved = 0
	return min(fit, freeHeadBytes), ok
}

// countHead counts bytes that were read while the head of a response was not complete.
func (c *countingConn) countHead(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.unreserved += count
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.count(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *countingConn) count(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.accepted += int64(n)
	return nil
}

// seal closes the connection, rejects all later writes and returns the final number of bytes accepted.
func (c *countingConn) seal() (accepted int64) {
	defer c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.accepted
}

// releaseAtClose returns a body whose Close also frees what was reserved for the head of its response.
func releaseAtClose(body io.ReadCloser, head *bytebudget.Reservation) io.ReadCloser {
	if head.Bytes() == 0 {
		head.Release()
		return body
	}
	return &releasingBody{ReadCloser: body, head: head}
}

type releasingBody struct {
	io.ReadCloser
	head *bytebudget.Reservation
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.head.Release()
	return b.ReadCloser.Close()
}
