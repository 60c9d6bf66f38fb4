// Package cluster holds the identities that every other package shares: nodes,
// back ends, zones and the placement view. It has no behaviour beyond small
// helpers on those values.
package cluster

import "slices"

// NodeID names a dalehook node. It is unique over the life of a cluster only
// together with an Incarnation, since a replaced machine may take the same name.
type NodeID string

// Incarnation tells two lives of one NodeID apart. A process takes its start
// time in milliseconds of Unix time; a higher one replaces a lower one.
type Incarnation uint64

// ZoneName names a failure domain inside a region.
type ZoneName string

// RegionName names a group of zones.
type RegionName string

// Node is a dalehook process as its peers know it.
type Node struct {
	ID          NodeID      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Zone        ZoneName    `json:"zone"`
	Region      RegionName  `json:"region,omitempty"`
	// PeerAddress is host:port of the node-to-node listener.
	PeerAddress string `json:"peer_address"`
	// ClientAddress is host:port of the HTTP listener.
	ClientAddress string `json:"client_address"`
}

// BackendID names a model engine or a service server.
type BackendID string

// BackendKind says which protocol a back end speaks.
type BackendKind string

// The kinds of machines on the platform's list.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
	KindNode    BackendKind = "node"
)

// MachineState is the platform's word on a machine. It lags behind the truth.
type MachineState string

// The states of a machine on the platform's list, and of a back end as its
// watchers see it.
const (
	StateLive    MachineState = "live"
	StateLeaving MachineState = "leaving"
	StateDead    MachineState = "dead"
)

// Machine is one line of the platform's lagging machine list. For an engine the
// pool is the name of the model pool, for a service server the service's name.
type Machine struct {
	ID      BackendID    `json:"id"`
	Kind    BackendKind  `json:"kind"`
	Pool    string       `json:"pool"`
	Zone    ZoneName     `json:"zone"`
	Region  RegionName   `json:"region,omitempty"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
	// Incarnation tells two lives of one machine name apart, where the list
	// knows it.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// PeerAddress is set for nodes only.
	PeerAddress string `json:"peer_address,omitempty"`
}

// View is the placement view: the members over which keys and steps are placed.
// Its number is the offset of its record on the control log. The zero View
// means that none was published yet.
type View struct {
	Number  uint64 `json:"number"`
	Members []Node `json:"members"`
}

// Find returns the member with the given id.
func (v View) Find(id NodeID) (Node, bool) {
	index := slices.IndexFunc(v.Members, func(n Node) bool { return n.ID == id })
	if index < 0 {
		return Node{}, false
	}
	return v.Members[index], true
}

// Version is a weight version of one model. Versions of a model are ordered;
// zero means that none is known.
type Version int64

// ModelName names a model whose weights have versions.
type ModelName string
