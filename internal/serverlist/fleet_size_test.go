//go:build !race

package serverlist

// fleetSizes are the simulated fleets: as many nodes and servers as one deployment has, and twice that.
var fleetSizes = []fleetSize{{nodes: 1000, servers: 10_000}, {nodes: 2000, servers: 20_000}}
