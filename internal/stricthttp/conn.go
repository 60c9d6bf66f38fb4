package stricthttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// longPast is a deadline that ends a write in progress.
var longPast = time.Unix(1, 0)

// conn is a connection whose reads fail with a BrokenResponseError if they find a response that is not a whole one.
//
// Reads return io.EOF only if the peer has ended its stream. The system reports a broken connection once, to the read or
// the write that comes first. If that is a write, all later reads return io.EOF, and a response that ends with its
// connection would seem to be whole.
type conn struct {
	net.Conn

	// mutex guards head, which checks the head of the response that is read.
	mutex sync.Mutex
	head  headChecker

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// beginResponse starts the check of the next response. It must be called before its request is written.
func (c *conn) beginResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head.begin()
}

// checkHead checks bytes that were read.
func (c *conn) checkHead(read []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if broken := c.head.check(read); broken != nil {
		return broken
	}
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns a BrokenResponseError in the place of bytes that continue a broken head, and in the
// place of io.EOF if the connection broke.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if broken := c.checkHead(p[:n]); broken != nil {
		return 0, broken
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a read at which the system reports the end of the stream. A write in progress may have
// taken the error of the connection without having returned yet. It is ended first: after the end of the stream the
// connection carries no other response.
func (c *conn) endError() error {
	_ = c.Conn.SetWriteDeadline(longPast) // fails only if the connection is closed, which ends the write too
	c.writing.Lock()
	defer c.writing.Unlock()
	if !isBroken(c.writeErr) {
		return io.EOF
	}
	return &BrokenResponseError{Kind: KindReset, Detail: fmt.Sprintf("the write failed first (%v), then the read found the end", c.writeErr)}
}

// isBroken reports whether a write failed since the connection broke before the peer had ended its stream. If the peer
// resets the connection after that, writes fail with EPIPE.
func isBroken(writeErr error) bool {
	var code syscall.Errno
	return errors.As(writeErr, &code) && code != syscall.EPIPE
}
