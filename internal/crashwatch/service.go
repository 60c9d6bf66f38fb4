package crashwatch

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/quarantine"
)

// RPC methods, which operators' commands call.
const (
	serviceName   = "Quarantine"
	methodCases   = serviceName + ".Cases"
	methodRelease = serviceName + ".Release"
)

// Empty is the argument of calls without parameters.
type Empty struct{}

// CasesReply lists the requests under which servers ended.
type CasesReply struct{ Cases []quarantine.Case }

// ReleaseRequest names the request to release.
type ReleaseRequest struct{ Fingerprint quarantine.Fingerprint }

// ReleaseReply says whether anything was known against the request.
type ReleaseReply struct{ Known bool }

type service struct{ tracker *Tracker }

// Register registers the RPC service on a server.
func Register(server *rpc.Server, tracker *Tracker) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{tracker: tracker}), "register the quarantine service")
}

// Cases lists the requests under which servers ended.
func (s *service) Cases(_ Empty, reply *CasesReply) error {
	reply.Cases = s.tracker.Cases()
	return nil
}

// Release lets a request run again.
func (s *service) Release(request ReleaseRequest, reply *ReleaseReply) error {
	reply.Known = s.tracker.Release(request.Fingerprint)
	return nil
}

// FetchCases returns the cases known to the node at address (IP:PORT).
func FetchCases(ctx context.Context, address string) ([]quarantine.Case, error) {
	var reply CasesReply
	err := nodecall.Call(ctx, address, methodCases, Empty{}, &reply)
	return reply.Cases, err
}

// RequestRelease has the node at an address release a request, at all nodes.
func RequestRelease(ctx context.Context, address string, fingerprint quarantine.Fingerprint) (known bool, err error) {
	var reply ReleaseReply
	err = nodecall.Call(ctx, address, methodRelease, ReleaseRequest{Fingerprint: fingerprint}, &reply)
	return reply.Known, err
}
