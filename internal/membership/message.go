package membership

import (
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// The messages of this package. Their gob names are short, since gob writes the
// name with each message.
func init() {
	machine.RegisterMessage("membership.h", heartbeat{})
	machine.RegisterMessage("membership.f", facts{})
	machine.RegisterMessage("membership.s", syncRequest{})
	machine.RegisterMessage("membership.j", join{})
	machine.RegisterMessage("membership.p", probe{})
	machine.RegisterMessage("membership.a", probeAnswer{})
}

// heartbeat is a sign of life. The digests cover the sender's tables, so that
// two neighbours notice when they know different things.
type heartbeat struct {
	Members  uint32
	Backends uint32
	// Ask is set when the sender wants a heartbeat in return at once.
	Ask bool
}

// memberFact is one member's state. The short form, without zone and addresses,
// goes to nodes that know the member already; gob leaves out zero fields.
type memberFact struct {
	ID          cluster.NodeID
	Incarnation cluster.Incarnation
	Sequence    uint64
	State       State
	// AgeSeconds is the time since the member was found dead.
	AgeSeconds    uint32
	Zone          cluster.ZoneName
	Region        cluster.RegionName
	PeerAddress   string
	ClientAddress string
}

// backendFact is one back end's state. The short form, from Kind on empty, says
// that a known back end is leaving or dead.
type backendFact struct {
	ID          cluster.BackendID
	Incarnation cluster.Incarnation
	Sequence    uint64
	State       cluster.MachineState
	Listed      bool
	// AgeSeconds is the time since the back end was found dead.
	AgeSeconds uint32
	Kind       cluster.BackendKind
	Pool       string
	Zone       cluster.ZoneName
	Region     cluster.RegionName
	Address    string
}

// facts carries news, or answers a syncRequest.
type facts struct {
	Members  []memberFact
	Backends []backendFact
	// Last is set on the last message of an answer, More when the answer was cut
	// short.
	Last bool
	More bool
}

// syncRequest asks for the facts in those buckets whose digest differs. A table
// whose digests are absent is not asked for.
type syncRequest struct {
	Members  []byte
	Backends []byte
}

// join presents the sender to a node that may not know it.
type join struct {
	Self memberFact
	// Sync asks for missing facts; its digests are absent when the sender only
	// wants to be heard.
	Sync syncRequest
}

// probe asks whether the receiver hears a node that the sender does not hear.
type probe struct {
	Target cluster.NodeID
}

// probeAnswer says that the target was heard AgoMillis milliseconds ago.
type probeAnswer struct {
	Target    cluster.NodeID
	AgoMillis uint32
}
