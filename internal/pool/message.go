package pool

import (
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// The messages of this package, under short gob names.
func init() {
	machine.RegisterMessage("pool.d", doubt{})
	machine.RegisterMessage("pool.v", vote{})
}

// doubt asks a watcher to poll a back end at once, since the sender could not
// reach it. Vote is set when the sender is a watcher that wants to know.
type doubt struct {
	Backend cluster.BackendID
	Vote    bool
}

// vote answers a doubt with the result of a poll that ended after it.
type vote struct {
	Backend  cluster.BackendID
	Answered bool
}
