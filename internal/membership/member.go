package membership

import "dalehook/internal/cluster"

// State is what this node believes of a member.
type State uint8

// The states of a member, in the order in which a later one overrides an
// earlier one of the same incarnation and sequence.
const (
	StateAlive State = iota
	// StateLeaving is a planned stop that the member announced itself; it
	// still answers.
	StateLeaving
	// StateSuspect is a member that its monitors no longer hear.
	StateSuspect
	// StateDead is a member that did not refute its suspicion in time.
	StateDead
)

// String returns the state's name in status output.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Member is a node with its state.
type Member struct {
	cluster.Node
	State State
}

// BackendRumor is a fact about one back end that nodes tell each other. Of two
// rumours on one back end the newer wins: by Machine.Incarnation, then by
// Sequence, then by state (dead over leaving over live).
type BackendRumor struct {
	Machine cluster.Machine
	// Sequence grows by one with each change of state in one incarnation.
	Sequence uint64
	// Listed marks a leaving state that comes from the platform's list and
	// not from the back end itself.
	Listed bool
}
