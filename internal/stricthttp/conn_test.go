package stricthttp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// endedConn is a connection whose reads return the end of the stream.
type endedConn struct {
	net.Conn
	// writeErr is the error of writes. If writing is set, a write waits until its deadline is set.
	writeErr error
	writing  chan struct{}
	deadline chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	if c.writing != nil {
		close(c.writing)
		<-c.deadline
	}
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	if c.deadline != nil {
		close(c.deadline)
	}
	return nil
}

// endCases are the errors of writes, and whether the end of the stream that a read finds is a broken connection.
var endCases = []struct {
	name     string
	writeErr error
	broken   bool
}{
	{"no failed write", nil, false},
	{"reset", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, true},
	{"link lost", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}, true},
	{"reset after the end", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, false},
	{"deadline", &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, false},
	{"closed here", &net.OpError{Op: "write", Err: net.ErrClosed}, false},
}

// Guards against a broken connection whose error a write has taken, so that reads find the end of the stream.
func TestEndAfterAFailedWrite(t *testing.T) {
	for _, c := range endCases {
		t.Run(c.name, func(t *testing.T) {
			tested := &conn{Conn: &endedConn{writeErr: c.writeErr}}
			_, _ = tested.Write([]byte("x"))
			checkEnd(t, tested, c.broken)
		})
	}
}

// Guards against the same while the write that has taken the error did not return yet.
func TestEndDuringAWrite(t *testing.T) {
	for _, c := range endCases {
		t.Run(c.name, func(t *testing.T) {
			ended := &endedConn{writeErr: c.writeErr, writing: make(chan struct{}), deadline: make(chan struct{})}
			tested := &conn{Conn: ended}
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = tested.Write([]byte("x"))
			}()
			<-ended.writing
			checkEnd(t, tested, c.broken)
			<-written
		})
	}
}

func checkEnd(t *testing.T, tested *conn, wantBroken bool) {
	t.Helper()
	_, err := tested.Read(make([]byte, 1))
	var broken *BrokenResponseError
	if errors.As(err, &broken) != wantBroken || !wantBroken && err != io.EOF {
		t.Errorf("read: %v", err)
	}
	if wantBroken && (broken.Kind != KindReset || errors.Is(err, io.EOF)) {
		t.Errorf("error: %v", err)
	}
}

// A write that waits for a peer which has ended its stream, and reads no more, is ended.
func TestEndEndsAWriteThatWaits(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go far.Close()
	tested := &conn{Conn: near}
	checkEnd(t, tested, false)
	if _, err := tested.Write([]byte("x")); err == nil {
		t.Error("a write succeeded after the end of the stream")
	}
}
