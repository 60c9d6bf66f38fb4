//go:build !race

package frontend

const (
	// fleetNodes is the number of nodes in a large fleet.
	fleetNodes = 300
	// wholeFleetNodes is the number of nodes in a whole deployment.
	wholeFleetNodes = 1000
)
