package roundtrip

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose request was given up.
var errSealed = errors.New("connection is given up")

// countingConn counts the bytes that were handed to the connection, before they
// are written, so that a count that has not grown means that no byte left.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	handed int64
	sealed bool
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
	c.handed += int64(n)
	return nil
}

// written returns the number of bytes handed over so far.
func (c *countingConn) written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handed
}

// seal refuses each later write and returns the final count.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.handed
}
