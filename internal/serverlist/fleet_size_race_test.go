//go:build race

package serverlist

// fleetSizes are smaller under the race detector, which takes ten times the time and memory.
var fleetSizes = []fleetSize{{nodes: 40, servers: 600}}
