// Package liveness tells whether the process that holds a lease still runs, by
// asking at its node. A process that is gone is succeeded at once, and so is one that
// runs but can not reach the store: it yields, and hands over what it could not append.
// Where nothing certain is known the lease's time to live decides.
package liveness

import (
	"context"
	"errors"
	"net/rpc"
	"syscall"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
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
	// HandOver ends what the process does under an epoch that it gave up, and returns what
	// its successor needs.
	HandOver(epoch int64) Handover
	// NoteAsked is told where a node answers that asked, and so reaches the store.
	NoteAsked(address string)
}

// Question is what a node asks a process.
type Question struct {
	// Epoch is that of the lease which the process is thought to hold; 0 asks only whether
	// the process runs.
	Epoch int64
	// From is where the node that asks answers; it reaches the store.
	From string
}

// Answer is what a process says of itself.
type Answer struct {
	Process string
	Yielded bool
}

// Handover is the state that a process leaves to its successor.
type Handover struct {
	// Pending are the records that it has not appended.
	Pending []Pending
	// Whole says that they hold all the progress of items that the store holds, too.
	Whole bool
}

// The calls of the service.
const (
	serviceName    = "Lease"
	methodAsk      = serviceName + ".Ask"
	methodHandOver = serviceName + ".HandOver"
)

// service answers for this process.
type service struct {
	process string
	holder  Holder
}

// Register has a server answer for this process.
func Register(server *rpc.Server, process string, holder Holder) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{process: process, holder: holder}), "register the lease's calls")
}

// Ask says which process this is, and yields the lease where it has to.
func (s *service) Ask(question Question, answer *Answer) error {
	answer.Process = s.process
	s.holder.NoteAsked(question.From)
	if question.Epoch > 0 {
		answer.Yielded = s.holder.Yield(question.Epoch)
	}
	return nil
}

// HandOver gives what a successor needs of a process that gave up the lease.
func (s *service) HandOver(question Question, answer *Handover) error {
	*answer = s.holder.HandOver(question.Epoch)
	return nil
}

// Ask asks the node at address whether a process still runs there, and whether it yields
// the lease of an epoch. From is where the node that asks answers.
func Ask(ctx context.Context, from, address, process string, epoch int64) Verdict {
	var said Answer
	err := nodecall.Call(ctx, address, methodAsk, Question{Epoch: epoch, From: from}, &said)
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

// TakeOver returns what a process leaves that gave up the lease of an epoch.
func TakeOver(ctx context.Context, address string, epoch int64) (Handover, error) {
	var said Handover
	err := nodecall.Call(ctx, address, methodHandOver, Question{Epoch: epoch}, &said)
	return said, err
}
