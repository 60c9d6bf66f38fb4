// Package nodestatus lets operators query nodes for the build that they run and the age of their
// configuration and server list.
package nodestatus

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
)

// Empty is the argument of a call without parameters.
type Empty struct{}

// Status is a node's state.
type Status struct {
	// Node is the name of the machine, Build the revision of the program.
	Node, Build string
	// Ready is true if the node wants new connections, Leading if it is the coordinator.
	Ready, Leading bool
	// Configuration is the version in force, 0 for none; ConfigurationAge is the time since it was
	// last confirmed.
	Configuration    int64
	ConfigurationAge time.Duration
	// Servers is the number of servers in the list; ListAge is the time since the list was read.
	Servers int
	ListAge time.Duration
	// RefusedService is the service of which the node refuses the largest share of requests under
	// overload, and RefusedShare that share, from 0 to 1. RefusedService is empty if the node has sent
	// no single requests or runs an earlier build.
	RefusedService string
	RefusedShare   float64
}

// Source provides the status of a node.
type Source interface {
	Status() Status
}

const (
	serviceName  = "Node"
	methodStatus = serviceName + ".Status"
)

type service struct{ source Source }

// Register registers the service on an RPC server.
func Register(server *rpc.Server, source Source) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{source: source}), "register the status service")
}

// Status implements the RPC call for the node's status.
func (s *service) Status(_ Empty, status *Status) error {
	*status = s.source.Status()
	return nil
}

// Query queries the node at an internal address, IP:PORT. Nodes of builds without this call return
// an error.
func Query(ctx context.Context, address string) (status Status, err error) {
	err = nodecall.Call(ctx, address, methodStatus, Empty{}, &status)
	return status, err
}
