package roundtrip

import (
	"net"
	"testing"
)

func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &countingConn{Conn: near}
	if got := conn.seal(); got != 0 {
		t.Errorf("count %d before the first write", got)
	}
	if n, err := conn.Write([]byte("x")); n != 0 || err != errSealed {
		t.Errorf("write returned %d, %v", n, err)
	}
}
