// Package nodestatus lets operators ask nodes which build they run and how fresh what they know is.
package nodestatus

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
)

// Nothing is the argument of a call that needs none.
type Nothing struct{}

// Status is what a node says of itself.
type Status struct {
	// Node names the machine, Build the revision that its program was built from.
	Node, Build string
	// Ready says whether it wants new connections, Leading whether it coordinates.
	Ready, Leading bool
	// Configuration is the version in force, 0 for none; ConfigurationAge is how long ago it was read.
	Configuration    int64
	ConfigurationAge time.Duration
	// Servers is the number of servers in the list; ListAge is how long ago that was read.
	Servers int
	ListAge time.Duration
}

// Teller tells the status of a node.
type Teller interface {
	Status() Status
}

const (
	serviceName  = "Node"
	methodStatus = serviceName + ".Status"
)

type service struct{ teller Teller }

// Register has a server answer operators' questions.
func Register(server *rpc.Server, teller Teller) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{teller: teller}), "register the status")
}

// Status tells the status of the node.
func (s *service) Status(_ Nothing, status *Status) error {
	*status = s.teller.Status()
	return nil
}

// Ask asks the node at an internal address, IP:PORT. Nodes of builds without this call give an error.
func Ask(ctx context.Context, address string) (status Status, err error) {
	err = nodecall.Call(ctx, address, methodStatus, Nothing{}, &status)
	return status, err
}
