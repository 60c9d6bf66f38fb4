// Package liveness tells whether the process that holds a lease still runs, by
// asking at its node. A process that is gone is succeeded at once; where nothing
// certain is known the lease's time to live decides.
package liveness

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"syscall"
	"time"
)

// Verdict is what is known of a process.
type Verdict int

// The verdicts.
const (
	// Unknown: nobody answered in time.
	Unknown Verdict = iota
	// Alive: the process answered.
	Alive
	// Refused: the node takes no connection. The process has ended, or a fault of
	// the network answers in its place.
	Refused
	// Replaced: a later process of the node answered.
	Replaced
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"unknown", "alive", "refused", "replaced"}[v]
}

// hello is what a process says of itself.
type hello struct {
	Process string
}

// answerTimeout bounds the writing of an answer.
const answerTimeout = time.Second

// Serve answers all that connect with the name of this process, until the
// listener is closed.
func Serve(listener net.Listener, process string) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go answer(conn, process)
	}
}

func answer(conn net.Conn, process string) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(answerTimeout)) != nil {
		return
	}
	// The asker learns from the silence that nothing was said.
	_ = gob.NewEncoder(conn).Encode(hello{Process: process})
}

// Ask asks the node at address whether a process still runs there.
func Ask(ctx context.Context, address, process string) Verdict {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Refused
	}
	if err != nil {
		return Unknown
	}
	defer conn.Close()
	if deadline, bounded := ctx.Deadline(); bounded && conn.SetDeadline(deadline) != nil {
		return Unknown
	}
	var said hello
	if gob.NewDecoder(conn).Decode(&said) != nil {
		return Unknown
	}
	if said.Process == process {
		return Alive
	}
	return Replaced
}
