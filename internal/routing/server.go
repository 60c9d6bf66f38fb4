package routing

import "dalehook/internal/cluster"

// Server is a service server as this node sees it.
type Server struct {
	ID      cluster.BackendID
	Address string
	Zone    cluster.ZoneName
	// Load is the number of requests that the server has by its own last word;
	// negative when it never said.
	Load int
	// InFlight counts the requests that this node has open at the server.
	InFlight int
	// Usable is false for a server that is leaving, dead or failing its checks.
	Usable bool
}
