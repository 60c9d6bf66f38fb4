package roundtrip

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection that must not be used again.
var errSealed = errors.New("connection is sealed")

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
}

// acquire reserves the connection for a request with an ID, which may be empty, until release. It waits until
// the previous response was checked, and returns the number of bytes accepted for writing so far. A connection
// whose previous request had the same ID is sealed: a second copy of the previous response could not be told
// from the next one.
func (c *countingConn) acquire(id string) (accepted int64) {
	c.inUse.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != "" && id == c.lastID {
		c.sealed = true
	}
	c.lastID = id
	return c.accepted
}

// release ends the reservation by acquire.
func (c *countingConn) release() { c.inUse.Unlock() }

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
