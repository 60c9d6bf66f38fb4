//go:build race

package frontend

// fleetNodes is the number of nodes of a fleet under the race detector. With 300 of them in one
// bubble the detector itself, or the runtime under it, ended now and then (docs/findings.md).
const fleetNodes, wholeFleetNodes = 60, 60
