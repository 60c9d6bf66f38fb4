//go:build !race

package frontend

const (
	// fleetNodes is the number of nodes of a large fleet.
	fleetNodes = 300
	// wholeFleetNodes is that of a fleet of the size of a whole deployment.
	wholeFleetNodes = 1000
)
