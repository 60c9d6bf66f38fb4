// Package liveness checks whether the process that holds a lease is still running, by
// calling its node. A process that has ended is replaced at once, and so is one that
// runs but can not reach the store: it yields, and hands over the records that it could not append.
// If the result is uncertain, the lease's time to live decides.
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

// Verdict is the result of a liveness check.
type Verdict int

// The verdicts.
const (
	// Unknown: there was no answer in time.
	Unknown Verdict = iota
	// Alive: the process answered.
	Alive
	// Refused: the node refuses connections. The process has ended, or a network fault
	// causes the refusal.
	Refused
	// Replaced: another, later process of the node answered.
	Replaced
	// Yielded: the process answered that it has given up the lease.
	Yielded
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"unknown", "alive", "refused", "replaced", "yielded"}[v]
}

// Pending holds records that a lease holder has not yet appended to a partition.
type Pending struct {
	Partition store.Partition
	Records   [][]byte
}

// Holder is the local process, which may hold the lease.
type Holder interface {
	// Yield gives up the lease of an epoch if the process can not reach the store. It reports
	// whether the lease was given up; the process then does nothing more under that epoch.
	Yield(epoch int64) bool
	// HandOver ends all activity under an epoch that the process gave up, and returns the
	// state that its successor needs.
	HandOver(epoch int64) Handover
	// NoteCaller receives the address of a calling node, which can reach the store.
	NoteCaller(address string)
}

// Request is a request to a process.
type Request struct {
	// Epoch is the epoch of the lease that the process is believed to hold; 0 checks only
	// whether the process is running.
	Epoch int64
	// From is the address of the calling node, which can reach the store.
	From string
}

// Answer is a process's answer to a liveness check.
type Answer struct {
	Process string
	Yielded bool
}

// Handover is the state that a process leaves to its successor.
type Handover struct {
	// Pending holds the records that the process has not appended.
	Pending []Pending
	// Whole is true if Pending includes all item progress, also the progress already in the store.
	Whole bool
}

// Names of the RPC service and its methods.
const (
	serviceName    = "Lease"
	methodAsk      = serviceName + ".Ask"
	methodHandOver = serviceName + ".HandOver"
)

// service implements the RPC service for this process.
type service struct {
	process string
	holder  Holder
}

// Register registers the lease service for this process on a server.
func Register(server *rpc.Server, process string, holder Holder) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{process: process, holder: holder}), "register the lease service")
}

// Ask reports which process this is, and whether it yields the requested lease.
func (s *service) Ask(request Request, answer *Answer) error {
	answer.Process = s.process
	s.holder.NoteCaller(request.From)
	if request.Epoch > 0 {
		answer.Yielded = s.holder.Yield(request.Epoch)
	}
	return nil
}

// HandOver returns the state that the successor of a process that gave up the lease needs.
func (s *service) HandOver(request Request, answer *Handover) error {
	*answer = s.holder.HandOver(request.Epoch)
	return nil
}

// Ask checks whether a process is still running at the node at address, and whether it yields
// the lease of an epoch. From is the address of the calling node.
func Ask(ctx context.Context, from, address, process string, epoch int64) Verdict {
	var answer Answer
	err := nodecall.Call(ctx, address, methodAsk, Request{Epoch: epoch, From: from}, &answer)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unknown
	case answer.Process != process:
		return Replaced
	case answer.Yielded:
		return Yielded
	}
	return Alive
}

// maxHandoverBytes bounds a handover, which holds the texts of all running items.
const maxHandoverBytes = 64 << 20

// TakeOver requests the handover of a process that gave up the lease of an epoch.
func TakeOver(ctx context.Context, address string, epoch int64) (Handover, error) {
	var handover Handover
	err := nodecall.CallForLongReply(ctx, address, methodHandOver, Request{Epoch: epoch}, &handover, maxHandoverBytes)
	return handover, err
}
