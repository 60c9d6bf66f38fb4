package drain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"dalehook/internal/bytebudget"
)

const (
	// headFieldBytes is the memory of a header field beyond its text, of which there are three copies: map entries, and
	// the lists of the request that is sent on.
	headFieldBytes = 300
	headTextCopies = 3
	// requestBytes is the memory of a request in progress without its head and body: goroutines, and the buffers of
	// the connection and of that to a server.
	requestBytes = 24 << 10
)

// headCost returns the memory that a part of a head will take when it is parsed.
func headCost(part []byte) int64 {
	return int64(headTextCopies*len(part) + headFieldBytes*bytes.Count(part, []byte{'\n'}))
}

// parsedHeadCost returns the memory of a parsed head.
func parsedHeadCost(r *http.Request) (cost int64) {
	cost = int64(headTextCopies * (len(r.Method) + len(r.RequestURI) + len(r.Host)))
	for name, values := range r.Header {
		for _, value := range values {
			cost += int64(headFieldBytes + headTextCopies*(len(name)+len(value)))
		}
	}
	return cost
}

// errRefused ends a connection whose request was refused. net/http does not answer errors of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// checkHead accounts for bytes of a head that have just been read. It refuses the request if they exceed a limit.
func (c *conn) checkHead(part []byte) error {
	limits := c.server.limits.heads()
	c.mutex.Lock()
	// The head was not complete before these bytes, so that only the earlier ones certainly belong to it.
	tooLarge := limits.Bytes > 0 && c.headBytes > limits.Bytes
	c.headBytes += len(part)
	if c.memory == nil {
		c.memory = c.server.limits.Memory.Reserve("")
	}
	memory := c.memory
	c.mutex.Unlock()
	switch {
	case tooLarge:
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadBytes)
	case !memory.Grow(headCost(part)):
		return c.refuseHead(http.StatusServiceUnavailable, ReasonMemory)
	}
	return nil
}

// Bounds on what is read after a refusal, so that the client sees the answer instead of a reset.
const (
	refusedDiscardBytes = 256 << 10
	refusedDiscardTime  = 500 * time.Millisecond
)

// refusedRetryAfter is the Retry-After of refused requests in seconds. Memory is freed when other requests end.
const refusedRetryAfter = 1

// refusal returns a whole response that refuses a request.
func refusal(status int) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", refusedRetryAfter)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

// refuseHead answers a request whose head is not complete, and returns the error that ends the connection. What was
// parsed of the head is held until that error is returned.
func (c *conn) refuseHead(status int, reason Reason) error {
	c.endBulk()
	c.server.limits.observe(reason)
	// The errors of a connection that ends anyway are of no use.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Conn.Write(refusal(status))
	_ = c.CloseWrite()
	c.lingers.Store(true)
	if reason == ReasonMemory {
		c.server.reclaim()
	}
	return errRefused
}

// maxLingering bounds the connections that linger; further ones are closed at once.
const maxLingering = 512

// startLingering closes the connection a moment later, so that the client sees the answer instead of a reset. It
// returns false if too many do. A connection that lingers does not count as one.
func (c *conn) startLingering() bool {
	if !c.lingers.Swap(false) {
		return false
	}
	if c.server.lingering.Add(1) > maxLingering {
		c.server.lingering.Add(-1)
		return false
	}
	c.mutex.Lock()
	c.setEvictedLocked(true)
	c.mutex.Unlock()
	go c.linger()
	return true
}

// linger reads what the client still sends after a refusal, within bounds, and closes the connection.
func (c *conn) linger() {
	defer c.server.lingering.Add(-1)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusedDiscardTime))
	_, _ = io.CopyN(io.Discard, c.Conn, refusedDiscardBytes)
	c.end()
}

// leaveBody lets the connection end without net/http's waiting for the rest of a request's body after the response.
func (c *conn) leaveBody() {
	c.lingers.Store(true)
	// It fails only on a closed connection.
	_ = c.SetReadDeadline(pastDeadline)
}

// releaseMemory frees what the connection has reserved.
func (c *conn) releaseMemory() {
	c.mutex.Lock()
	memory := c.memory
	c.memory = nil
	c.mutex.Unlock()
	memory.Release()
}

// reserveRequest reserves the memory of a request whose head is complete. A head that arrived together with an earlier
// request has not been accounted for yet.
func (c *conn) reserveRequest(r *http.Request) bool {
	c.mutex.Lock()
	if c.memory == nil {
		c.memory = c.server.limits.Memory.Reserve("")
	}
	memory := c.memory
	c.mutex.Unlock()
	missing := max(parsedHeadCost(r)-memory.Bytes(), 0)
	return memory.Grow(missing + requestBytes)
}

// Memory returns the reservation for all that a request makes the server hold. It is released when the response is
// written. It is nil if the memory is not bounded.
func Memory(ctx context.Context) *bytebudget.Reservation {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.memory
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// withConn is the ConnContext function of the server.
func withConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// withLimits wraps a handler so that each request counts against the memory for clients.
func (s *Server) withLimits(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.endBulk()
		if !c.reserveRequest(r) {
			s.limits.observe(ReasonMemory)
			s.reclaim()
			refuseRequest(w)
			return
		}
		if !c.paceRequest(r.Context()) {
			refuseRequest(w)
			return
		}
		if !c.beginRequest(r) {
			s.limits.observe(ReasonProcessor)
			refuseRequest(w)
			return
		}
		defer c.endStart()
		if r.ContentLength != 0 && s.writeStall > 0 {
			// Bounds the time of net/http's reads of a body that the handler does not read; a handler that reads it
			// sets its own deadlines. It fails only on a closed connection.
			_ = c.SetReadDeadline(time.Now().Add(s.writeStall))
		}
		handler.ServeHTTP(w, r)
		if r.ContentLength != 0 && w.Header().Get("Connection") == "close" {
			c.leaveBody()
		}
	})
}

// refuseRequest answers a request that was not handled.
func refuseRequest(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(refusedRetryAfter))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// maxReceiveBytes is the size of the receive buffer of a connection that sends a large body. With twice the delay of
// a slow link in the window, such a body takes as long as its bandwidth demands.
const maxReceiveBytes = 256 << 10

// receiveBufferFactor is what the kernel puts into a receive buffer of a given size, at most.
const receiveBufferFactor = 2

// WidenReceiveBuffer enlarges the receive buffer of a request's connection for a body of some bytes until the response is
// written, as long as the memory for clients is not needed otherwise.
func WidenReceiveBuffer(ctx context.Context, bytes int64) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	bytes = min(bytes, maxReceiveBytes)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.server.limits.ReceiveBuffer == 0 || c.widened || !c.memory.GrowIfIdle(receiveBufferFactor*bytes) {
		return
	}
	c.widened = tcp.SetReadBuffer(int(bytes)) == nil
}

// narrowReceiveBufferLocked undoes WidenReceiveBuffer.
func (c *conn) narrowReceiveBufferLocked() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.widened {
		// It fails only on a closed connection.
		_ = tcp.SetReadBuffer(c.server.limits.ReceiveBuffer)
	}
	c.widened = false
}

// NoteMemoryRefusal records that a request did not fit the memory for clients, and lets connections give way that stand
// still.
func NoteMemoryRefusal(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.server.limits.observe(ReasonMemory)
		c.server.reclaim()
	}
}

// isTimeout reports whether a read or write ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
