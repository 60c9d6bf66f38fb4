package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// conn is a client's connection. It is idle until the first byte of a request was read, and again
// after each response until the first byte of the next request was read. Only the goroutine that
// reads it closes it, and only while it is idle: a drain sets a read deadline on an idle
// connection, and the read checks once more for data before it gives up.
type conn struct {
	net.Conn
	server *Server

	mutex    sync.Mutex
	draining bool
	// active is set while a request is in progress: its header was read, and its response is not
	// written yet.
	active bool
	// nextBegun is set once a part of the next request was read.
	nextBegun bool
	// responded is set after the first response, and idleDeadlineSet once net/http has set the read
	// deadline of the idle time after the last response.
	responded, idleDeadlineSet bool
	// idleSince is when the connection was accepted or last became idle.
	idleSince time.Time
	// httpDeadline is the read deadline that net/http has set; deadlineOverridden is set while
	// another one is in force.
	httpDeadline       time.Time
	deadlineOverridden bool
}

// setState processes a state change reported by net/http.
func (c *conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.active, c.nextBegun = true, false
	case http.StateIdle:
		c.active, c.responded, c.idleDeadlineSet = false, true, false
		c.idleSince = time.Now()
	}
}

func (c *conn) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isIdleLocked()
}

func (c *conn) isIdleLocked() bool { return !c.active && !c.nextBegun }

// drain limits the idle time of the connection.
func (c *conn) drain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	// It fails only on a closed connection.
	_ = c.applyDeadlineLocked()
}

// applyDeadlineLocked sets the read deadline to net/http's, or to the end of the idle grace period
// if that is earlier and the connection is draining and idle.
func (c *conn) applyDeadlineLocked() error {
	deadline := c.httpDeadline
	idleEnd := c.idleSince.Add(idleGracePeriod)
	c.deadlineOverridden = c.draining && c.isIdleLocked() && (deadline.IsZero() || idleEnd.Before(deadline))
	if c.deadlineOverridden {
		deadline = idleEnd
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noteDeadlineLocked()
	c.httpDeadline = deadline
	return c.applyDeadlineLocked()
}

// noteDeadlineLocked derives from a read deadline set by net/http whether the next request has
// begun. After a response net/http sets one deadline for the idle time, and a further one once it
// has bytes of the next request, including bytes that arrived together with the last one.
func (c *conn) noteDeadlineLocked() {
	if c.active || !c.responded {
		return
	}
	c.nextBegun = c.nextBegun || c.idleDeadlineSet
	c.idleDeadlineSet = true
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.noteRead(len(p))
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if retry, err := c.handleTimeout(err); !retry {
			return 0, err
		}
	}
}

// backgroundReadSize is the size of net/http's background read on a connection while a handler
// runs. A byte that it reads belongs to the next request.
const backgroundReadSize = 1

// noteRead records that a read with a buffer of the given size returned data.
func (c *conn) noteRead(size int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.active || size == backgroundReadSize {
		c.nextBegun = true
	}
	if c.deadlineOverridden {
		// It fails only on a closed connection; the next read returns the error.
		_ = c.applyDeadlineLocked()
	}
}

// handleTimeout decides about a read whose deadline has passed: it is retried if data has arrived,
// and the connection is closed if it is draining and idle.
func (c *conn) handleTimeout(timeoutErr error) (retry bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isIdleLocked() {
		if !c.deadlineOverridden {
			return false, timeoutErr
		}
		return true, c.applyDeadlineLocked()
	}
	if readable(c.Conn) {
		c.deadlineOverridden = true
		return true, c.Conn.SetReadDeadline(time.Time{})
	}
	if !c.deadlineOverridden {
		return false, timeoutErr
	}
	// Close at once, so that data that arrives from now on meets a closed connection instead of
	// staying unread in an open one.
	c.Conn.Close()
	return false, io.EOF
}

// writePieceBytes is the largest part of a response that is written under one deadline: a client must
// take it within Options.WriteStall.
const writePieceBytes = 16 << 10

// Write implements net.Conn. A connection whose client does not take a piece in time is reset when it is
// closed: the kernel would otherwise keep the unsent data for minutes.
func (c *conn) Write(p []byte) (int, error) {
	if c.server.writeStall <= 0 {
		return c.Conn.Write(p)
	}
	for written := 0; ; {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.server.writeStall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		written += n
		if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && errors.Is(err, os.ErrDeadlineExceeded) {
			// It fails only on a closed connection.
			_ = lingerer.SetLinger(0)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.server.untrack(c)
	return err
}

// CloseWrite closes the writing side of the connection. net/http calls it, and waits, before it
// closes a connection whose client is still sending.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
