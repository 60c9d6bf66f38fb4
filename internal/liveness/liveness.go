// Package liveness tells whether the process that holds a lease still runs, by
// asking at its node. A process that is gone is succeeded at once, and so is one that
// runs but can not reach the store: it yields, and hands over what it could not append.
// Where nothing certain is known the lease's time to live decides.
package liveness

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"dalehook/internal/store"
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
	// Yielded: the process answered that it has given up the lease.
	Yielded
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"unknown", "alive", "refused", "replaced", "yielded"}[v]
}

// Pending are records that a holder of the lease has not appended to a partition.
type Pending struct {
	Partition store.Partition
	Records   [][]byte
}

// Holder is what answers for a process that may hold the lease.
type Holder interface {
	// Yield has the process give up the lease of an epoch if it can not reach the store. It
	// says whether it has: it does nothing under that epoch any more.
	Yield(epoch int64) bool
	// Pending returns what the process had not appended when it yielded an epoch.
	Pending(epoch int64) []Pending
}

// question is what a node asks a process.
type question struct {
	// Epoch is that of the lease which the process is thought to hold.
	Epoch int64
	// Pending asks for what was not appended under a lease that was yielded.
	Pending bool
}

// reply is what a process says of itself.
type reply struct {
	Process string
	Yielded bool
	Pending []Pending
}

// answerTimeout bounds the reading of a question and the writing of its answer.
const answerTimeout = time.Second

// Serve answers for this process until the listener is closed.
func Serve(listener net.Listener, process string, holder Holder) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go answer(conn, process, holder)
	}
}

func answer(conn net.Conn, process string, holder Holder) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(answerTimeout)) != nil {
		return
	}
	var asked question
	if gob.NewDecoder(conn).Decode(&asked) != nil {
		return
	}
	said := reply{Process: process}
	switch {
	case asked.Pending:
		said.Pending = holder.Pending(asked.Epoch)
	case asked.Epoch > 0:
		said.Yielded = holder.Yield(asked.Epoch)
	}
	// The asker learns from the silence that nothing was said.
	_ = gob.NewEncoder(conn).Encode(said)
}

// Ask asks the node at address whether a process still runs there, and whether it yields
// the lease of an epoch.
func Ask(ctx context.Context, address, process string, epoch int64) Verdict {
	said, err := call(ctx, address, question{Epoch: epoch})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unknown
	case said.Process != process:
		return Replaced
	case said.Yielded:
		return Yielded
	}
	return Alive
}

// TakeOver returns what a process that yielded the lease of an epoch had not appended.
func TakeOver(ctx context.Context, address string, epoch int64) ([]Pending, error) {
	said, err := call(ctx, address, question{Epoch: epoch, Pending: true})
	if err != nil {
		return nil, fmt.Errorf("take over from %s: %w", address, err)
	}
	return said.Pending, nil
}

func call(ctx context.Context, address string, asked question) (*reply, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if deadline, bounded := ctx.Deadline(); bounded {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if err := gob.NewEncoder(conn).Encode(asked); err != nil {
		return nil, err
	}
	said := &reply{}
	if err := gob.NewDecoder(conn).Decode(said); err != nil {
		return nil, err
	}
	return said, nil
}
