package follower

import (
	"cmp"
	"slices"

	"dalehook/internal/cluster"
	"dalehook/internal/membership"
)

// member finds a member by id.
func (m *Machine) member(id cluster.NodeID) (membership.Member, bool) {
	members := m.options.Members()
	at, found := slices.BinarySearchFunc(members, id, func(known membership.Member, id cluster.NodeID) int {
		return cmp.Compare(known.ID, id)
	})
	if !found {
		return membership.Member{}, false
	}
	return members[at], true
}

// alive reports whether a member is known and answers.
func (m *Machine) alive(id cluster.NodeID) bool {
	known, found := m.member(id)
	return found && known.State == membership.StateAlive
}

// peers returns the other members that can be asked: all but the dead.
func (m *Machine) peers() []cluster.Node {
	var peers []cluster.Node
	for _, known := range m.options.Members() {
		if known.ID != m.options.Self.ID && known.State != membership.StateDead {
			peers = append(peers, known.Node)
		}
	}
	return peers
}
