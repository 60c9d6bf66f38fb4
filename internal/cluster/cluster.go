// Package cluster defines the identities that all other packages share: nodes, back ends, zones and
// the placement view.
package cluster

import "slices"

// NodeID is the name of a dalehook node. A replacement machine may take the same name, so that only
// NodeID and Incarnation together are unique over the lifetime of a cluster.
type NodeID string

// Incarnation distinguishes successive processes with the same NodeID. It is the process's start
// time in milliseconds of Unix time; a higher one supersedes a lower one.
type Incarnation uint64

// ZoneName is the name of a failure domain within a region.
type ZoneName string

// RegionName is the name of a group of zones.
type RegionName string

// Node describes a dalehook process to its peers.
type Node struct {
	ID          NodeID      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Zone        ZoneName    `json:"zone"`
	Region      RegionName  `json:"region,omitempty"`
	// PeerAddress is the host:port of the node-to-node listener.
	PeerAddress string `json:"peer_address"`
	// ClientAddress is the host:port of the HTTP listener.
	ClientAddress string `json:"client_address"`
}

// BackendID is the name of a model engine or a service server.
type BackendID string

// BackendKind is the kind of a machine, which determines the protocol that it speaks.
type BackendKind string

// Kinds of machines in the platform's machine list.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
	KindNode    BackendKind = "node"
)

// MachineState is a machine's state as the platform reports it, with a delay.
type MachineState string

// States of a machine in the platform's list, and of a back end as its watchers see it.
const (
	StateLive    MachineState = "live"
	StateLeaving MachineState = "leaving"
	StateDead    MachineState = "dead"
)

// Machine is an entry of the platform's machine list, which lags behind the machines' actual state.
// For an engine, Pool is the name of the model pool; for a service server, the name of the service.
type Machine struct {
	ID      BackendID    `json:"id"`
	Kind    BackendKind  `json:"kind"`
	Pool    string       `json:"pool"`
	Zone    ZoneName     `json:"zone"`
	Region  RegionName   `json:"region,omitempty"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
	// Incarnation distinguishes successive machines with the same name, if the list has it.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// PeerAddress is set only for nodes.
	PeerAddress string `json:"peer_address,omitempty"`
}

// View is the placement view: the members over which keys and steps are placed. Number is the
// offset of the view's record in the control log. The zero View means that none has been published.
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

// Version is a version of a model's weights. A model's versions are ordered; zero means unknown.
type Version int64

// ModelName is the name of a model.
type ModelName string
