package quota

import "dalehook/internal/machine"

// The messages of this package. Their gob names are short, since gob writes the
// name with each message.
func init() {
	machine.RegisterMessage("quota.a", Ask{})
	machine.RegisterMessage("quota.g", Grant{})
	machine.RegisterMessage("quota.s", Survey{})
}

// Ask tells the allocator of a class what a node wants and what it has.
type Ask struct {
	Class string
	// Sequence grows with each Ask of a node on a class, over its incarnations
	// too. It makes a late Ask or Grant known as such.
	Sequence uint64
	// Want is zero when the node's reserve is enough for it.
	Want Amount
	// Held is the share that the node has by a lease, or what is in flight when
	// that is more.
	Held Amount
	// Term is that of the Survey that this answers, zero when it answers none.
	Term uint64
}

// Grant answers an Ask; more of them for the same Ask may follow, and the node
// takes each. Its share counts from the time at which the Ask was sent,
// for leaseTime.
type Grant struct {
	Class    string
	Sequence uint64
	Share    Amount
	// RenewMillis is the time in milliseconds after which to ask again.
	RenewMillis uint32
}

// Survey asks a node what it holds of a class. A new allocator sends it to every
// node; who answers takes no share from an earlier allocator any more.
type Survey struct {
	Class string
	Term  uint64
}
