package crashwatch

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/quarantine"
)

// The calls of the service, which operators' commands make.
const (
	serviceName   = "Quarantine"
	methodCases   = serviceName + ".Cases"
	methodRelease = serviceName + ".Release"
)

// Nothing is the argument of a call that needs none.
type Nothing struct{}

// CaseList is the answer to a question for the requests that servers ended under.
type CaseList struct{ Cases []quarantine.Case }

// ReleaseRequest names the request that is to run again.
type ReleaseRequest struct{ Fingerprint quarantine.Fingerprint }

// Released says whether anything was known against it.
type Released struct{ Known bool }

type service struct{ tracker *Tracker }

// Register has a server answer operators' calls.
func Register(server *rpc.Server, tracker *Tracker) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{tracker: tracker}), "register the quarantine")
}

// Cases lists the requests that servers ended under.
func (s *service) Cases(_ Nothing, list *CaseList) error {
	list.Cases = s.tracker.Cases()
	return nil
}

// Release lets a request run again.
func (s *service) Release(request ReleaseRequest, released *Released) error {
	released.Known = s.tracker.Release(request.Fingerprint)
	return nil
}

// AskCases lists what the node at an address, IP:PORT, knows.
func AskCases(ctx context.Context, address string) ([]quarantine.Case, error) {
	var list CaseList
	err := nodecall.Call(ctx, address, methodCases, Nothing{}, &list)
	return list.Cases, err
}

// AskRelease has the node at an address let a request run again, at all nodes.
func AskRelease(ctx context.Context, address string, fingerprint quarantine.Fingerprint) (known bool, err error) {
	var released Released
	err = nodecall.Call(ctx, address, methodRelease, ReleaseRequest{Fingerprint: fingerprint}, &released)
	return released.Known, err
}
