package roundtrip

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose request has failed.
var errSealed = errors.New("connection is sealed after a failed request")

// countingConn counts the bytes passed to the connection before they are written,
// so that an unchanged count means that no byte was sent.
type countingConn struct {
	net.Conn

	mu       sync.Mutex
	accepted int64
	sealed   bool
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

// written returns the number of bytes accepted for writing so far.
func (c *countingConn) written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// seal rejects all later writes and returns the final count.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.accepted
}
