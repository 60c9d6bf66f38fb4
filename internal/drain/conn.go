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

// conn is a caller's connection. It rests while nothing of a request has been read since the
// last answer, or at all. Only its reader ends it, and only while it rests: a drain bounds the
// read of a connection that rests, and the read looks once more before it gives up.
type conn struct {
	net.Conn
	server *Server

	mutex    sync.Mutex
	draining bool
	// busy says that a request is under way: its head was read, its answer is not written.
	busy bool
	// begun says that something of the next request was read.
	begun bool
	// answered says that requests were answered, and restBounded that net/http has bounded
	// the rest since.
	answered, restBounded bool
	// since is when the connection was accepted, or last came to rest.
	since time.Time
	// deadline is the one that net/http has set for reads; overridden says that another one
	// holds instead.
	deadline   time.Time
	overridden bool
}

// setState takes what net/http says of the connection.
func (c *conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.busy, c.begun = true, false
	case http.StateIdle:
		c.busy, c.answered, c.restBounded = false, true, false
		c.since = time.Now()
	}
}

func (c *conn) resting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.restingLocked()
}

func (c *conn) restingLocked() bool { return !c.busy && !c.begun }

// drain bounds the rest of the connection.
func (c *conn) drain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	// It fails only at a closed connection.
	_ = c.boundLocked()
}

// boundLocked puts the deadline of reads in force: net/http's, or the end of the rest where
// that is earlier.
func (c *conn) boundLocked() error {
	deadline := c.deadline
	restEnd := c.since.Add(restTime)
	c.overridden = c.draining && c.restingLocked() && (deadline.IsZero() || restEnd.Before(deadline))
	if c.overridden {
		deadline = restEnd
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noteBoundLocked()
	c.deadline = deadline
	return c.boundLocked()
}

// noteBoundLocked notes that net/http bounds a read. After an answer it does so once for the
// rest, and again when it holds bytes of the next request, also ones that came with the last.
func (c *conn) noteBoundLocked() {
	if c.busy || !c.answered {
		return
	}
	c.begun = c.begun || c.restBounded
	c.restBounded = true
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
		if again, err := c.handleExpired(err); !again {
			return 0, err
		}
	}
}

// watchSize is the size of the read by which net/http watches a connection while a handler
// runs. What it finds belongs to the next request.
const watchSize = 1

// noteRead notes that a read of a size found something.
func (c *conn) noteRead(size int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.busy || size == watchSize {
		c.begun = true
	}
	if c.overridden {
		// It fails only at a closed connection, whose next read says so.
		_ = c.boundLocked()
	}
}

// handleExpired decides on a read whose deadline has passed: it goes on if something has
// arrived, or ends the connection if that rests in a drain.
func (c *conn) handleExpired(expired error) (again bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.restingLocked() {
		if !c.overridden {
			return false, expired
		}
		return true, c.boundLocked()
	}
	if readable(c.Conn) {
		c.overridden = true
		return true, c.Conn.SetReadDeadline(time.Time{})
	}
	if !c.overridden {
		return false, expired
	}
	// Closed right here: whatever comes later finds a closed connection, not an unread one.
	c.Conn.Close()
	return false, io.EOF
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

// CloseWrite tells the caller that nothing more is written. net/http does so, and waits, before
// it closes under a caller that is still sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
