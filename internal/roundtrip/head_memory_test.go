package roundtrip

import (
	"net"
	"testing"

	"dalehook/internal/bytebudget"
)

// Guards against an idle connection that is closed since the read for the next response finds the reservation for the
// last one's head released.
func TestReadAfterACompleteHeadNeedsNoMemory(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &countingConn{Conn: near}
	head := bytebudget.New(1 << 20).Reserve("")
	conn.acquire("first", head)
	go func() {
		_, _ = far.Write([]byte("head"))
		_, _ = far.Write([]byte("next"))
	}()
	buffer := make([]byte, 10)
	if _, err := conn.Read(buffer); err != nil {
		t.Fatal(err)
	}
	conn.endHead()
	head.Release()
	if n, err := conn.Read(buffer); err != nil || string(buffer[:n]) != "next" {
		t.Errorf("read %q: %v", buffer[:n], err)
	}
	conn.release()
}

// A head that does not fit the memory ends its connection before more of it is read.
func TestHeadWithoutMemoryEndsItsConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countingConn{Conn: near}
	conn.acquire("first", bytebudget.New(1).Reserve(""))
	go func() { _, _ = far.Write([]byte("head")) }()
	buffer := make([]byte, 10)
	if _, err := conn.Read(buffer); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(buffer); err == nil {
		t.Error("more of the head is read without memory")
	}
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("the connection is used again")
	}
	conn.release()
}
