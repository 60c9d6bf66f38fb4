//go:build race

package frontend

// fleetNodes and wholeFleetNodes are smaller under the race detector: with 300 nodes in one
// synctest bubble, the detector or the runtime occasionally crashed (docs/findings.md).
const fleetNodes, wholeFleetNodes = 60, 60
