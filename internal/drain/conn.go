package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dalehook/internal/bytebudget"
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

	// memory is the reservation for the request in progress, or for the head that is being read; nil if there is none.
	memory *bytebudget.Reservation
	// headBytes is the number of bytes read of the head that is not complete, headBegun when the first ones were read.
	headBytes int
	headBegun time.Time
	// progressAt is when the request in progress last came on: its head was complete, progressBytes of its body were
	// read, or the client took a part of the response. unmarked is the number of bytes read since then.
	progressAt time.Time
	unmarked   int
	// readingBody and writing are set while a read of a body, or a write, is in progress.
	readingBody, writing bool
	// evicted is set once the connection has to give way to others, writeEnded if that ends a response.
	evicted, writeEnded bool
	// widened is set while the receive buffer is enlarged.
	widened bool
	// smallReads counts the small reads of a request, sentAhead the requests that had arrived before the response to the
	// one before was written, less the others; readSinceIdle is set by the first read after a response.
	smallReads, sentAhead int
	readSinceIdle         bool
	// endPause ends the pause of a request that was sent ahead; nil if it does not pause.
	endPause context.CancelFunc
	// reads counts the reads of a request; bulk is set while one of its later parts is processed.
	reads int
	bulk  atomic.Bool
	// lingers is set once the connection is to be closed a moment after its last response, whose request was not read to
	// its end.
	lingers atomic.Bool
	// start ends the start of the request in progress; nil if that has ended.
	start atomic.Pointer[func()]
}

// setState processes a state change reported by net/http.
func (c *conn) setState(state http.ConnState) {
	c.endBulk()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.active, c.nextBegun = true, false
		c.progressAt, c.unmarked, c.headBytes = time.Now(), 0, 0
	case http.StateIdle:
		c.active, c.responded, c.idleDeadlineSet = false, true, false
		c.idleSince = time.Now()
		c.reads, c.smallReads, c.readSinceIdle = 0, 0, false
		c.narrowReceiveBufferLocked()
		c.memory.Release()
		c.memory = nil
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

// applyDeadlineLocked sets the read deadline to net/http's or, if that is earlier, to the end of the idle
// grace period of a draining connection that is idle, to that of the idle time or of the time for a head, or to a time
// in the past if the connection was evicted.
func (c *conn) applyDeadlineLocked() error {
	override, overridden := c.overrideLocked()
	c.deadlineOverridden = overridden && (c.httpDeadline.IsZero() || override.Before(c.httpDeadline))
	if c.deadlineOverridden {
		return c.Conn.SetReadDeadline(override)
	}
	return c.Conn.SetReadDeadline(c.httpDeadline)
}

// overrideLocked returns the deadline that is to be in force if that of net/http is later; ok is false if there is none.
func (c *conn) overrideLocked() (deadline time.Time, ok bool) {
	limits := c.server.limits.heads()
	switch {
	case c.evicted:
		return pastDeadline, true
	case c.active:
		return time.Time{}, false
	case c.nextBegun && limits.Timeout > 0:
		return c.headBegun.Add(limits.Timeout), true
	case c.nextBegun:
		return time.Time{}, false
	case c.draining:
		return c.idleSince.Add(IdleGracePeriod), true
	case c.responded && limits.IdleTimeout > 0:
		return c.idleSince.Add(limits.IdleTimeout), true
	}
	return time.Time{}, false
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
	if c.idleDeadlineSet {
		c.beginHeadLocked()
	}
	c.idleDeadlineSet = true
}

// beginHeadLocked records that a part of the next request was read.
func (c *conn) beginHeadLocked() {
	if !c.nextBegun {
		c.nextBegun, c.headBegun = true, time.Now()
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if c.lingers.Load() {
			return 0, errRefused
		}
		c.beginRead(len(p))
		n, err := c.Conn.Read(p)
		isHead := c.endRead(len(p), n)
		switch {
		case n > 0 && isHead:
			if err := c.checkHead(p[:n]); err != nil {
				return 0, err
			}
			c.paceRead(n, headCost(p[:n]))
			return n, err
		case n > 0:
			if len(p) > backgroundReadSize {
				c.paceRead(n, 0)
			}
			return n, err
		case !isTimeout(err):
			return n, err
		}
		if retry, err := c.handleTimeout(err); !retry {
			return 0, err
		}
	}
}

// beginRead records that a read with a buffer of the given size is in progress.
func (c *conn) beginRead(size int) {
	c.endBulk()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readingBody = c.active && size > backgroundReadSize
}

// backgroundReadSize is the size of net/http's background read on a connection while a handler
// runs. A byte that it reads belongs to the next request.
const backgroundReadSize = 1

// endRead records that a read with a buffer of the given size returned count bytes, and reports whether they are of a
// head.
func (c *conn) endRead(size, count int) (isHead bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readingBody = false
	if count == 0 {
		return false
	}
	c.readSinceIdle = true
	c.markProgressLocked(count)
	if c.isIdleLocked() {
		// The request arrived before the connection was closed to make room for another one.
		c.setEvictedLocked(false)
	}
	begun := c.nextBegun
	if !c.active || size == backgroundReadSize {
		c.beginHeadLocked()
	}
	if c.deadlineOverridden || c.nextBegun && !begun {
		// It fails only on a closed connection; the next read returns the error.
		_ = c.applyDeadlineLocked()
	}
	return !c.active
}

// markProgressLocked records that bytes were read.
func (c *conn) markProgressLocked(count int) {
	c.unmarked += count
	if c.unmarked >= progressBytes {
		c.progressAt, c.unmarked = time.Now(), 0
	}
}

// handleTimeout decides about a read whose deadline has passed: it is retried if data has arrived,
// and the connection is closed if it is draining and idle.
func (c *conn) handleTimeout(timeoutErr error) (retry bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isIdleLocked() {
		if !c.deadlineOverridden || c.overrideHasPassedLocked() {
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

// overrideHasPassedLocked reports whether the deadline in the place of net/http's is over.
func (c *conn) overrideHasPassedLocked() bool {
	deadline, ok := c.overrideLocked()
	return ok && !time.Now().Before(deadline)
}

// writePieceBytes is the largest part of a response that is written under one deadline: a client must
// take it within Options.WriteStall.
const writePieceBytes = 16 << 10

// Write implements net.Conn. A connection whose client does not take a piece in time is reset when it is
// closed: the kernel would otherwise keep the unsent data for minutes.
func (c *conn) Write(p []byte) (int, error) {
	c.endBulk()
	if c.server.writeStall <= 0 {
		return c.Conn.Write(p)
	}
	defer c.setWriting(false)
	for written := 0; ; {
		if err := c.beginPiece(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		written += n
		if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && isTimeout(err) {
			// It fails only on a closed connection.
			_ = lingerer.SetLinger(0)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginPiece sets the deadline for the next piece of a response.
func (c *conn) beginPiece() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.writing, c.progressAt = true, now
	if c.writeEnded {
		return c.Conn.SetWriteDeadline(pastDeadline)
	}
	return c.Conn.SetWriteDeadline(now.Add(c.server.writeStall))
}

func (c *conn) setWriting(writing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = writing
}

// Close implements net.Conn. After a refusal the connection is closed a moment later.
func (c *conn) Close() error {
	c.endBulk()
	c.releaseMemory()
	if c.startLingering() {
		return nil
	}
	return c.end()
}

// end closes the connection for good.
func (c *conn) end() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	c.setEvictedLocked(false)
	c.mutex.Unlock()
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
