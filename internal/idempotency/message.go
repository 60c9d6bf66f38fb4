package idempotency

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// The messages between nodes. Each may be lost, doubled, delayed or reordered.

// Prepare asks a replica for its vote: that the attempt may run the key's request.
type Prepare struct {
	View    uint64
	Key     string
	Digest  string
	Attempt AttemptID
}

// Verdict is a replica's answer to Prepare.
type Verdict int

const (
	// VerdictGranted means that the replica holds the attempt's marker and no other.
	VerdictGranted Verdict = iota + 1
	// VerdictHeld means that the replica holds another attempt's marker.
	VerdictHeld
	// VerdictMemoryFull means that the replica holds no marker and can't take one.
	VerdictMemoryFull
	// VerdictNotReady means that the replica has not yet taken over the markers
	// of the view before.
	VerdictNotReady
	// VerdictLost means that it can't take them over, as a majority of those that
	// held them is gone.
	VerdictLost
	// VerdictOtherView means that the replica votes in another view.
	VerdictOtherView
)

// PrepareReply answers Prepare.
type PrepareReply struct {
	// View is that of the Prepare; ReplicaView is the replica's own.
	View        uint64
	ReplicaView uint64
	Key         string
	Attempt     AttemptID
	Verdict     Verdict
	// Markers are set with VerdictHeld.
	Markers []Marker
}

// Release takes back a marker whose attempt was not sent and never will be.
type Release struct {
	Key     string
	Attempt AttemptID
}

// Record tells a replica what an attempt has come to.
type Record struct {
	View   uint64
	Key    string
	Marker Marker
}

// RecordReply answers Record: the replica holds it.
type RecordReply struct {
	View    uint64
	Key     string
	Attempt AttemptID
}

// Ask asks a coordinator for the state of its attempt.
type Ask struct {
	Key     string
	Attempt AttemptID
}

// Progress is a coordinator's own word on an attempt.
type Progress int

const (
	// ProgressForgotten means that the node knows nothing of the attempt: it is
	// another process, or the attempt is older than a key's lifetime.
	ProgressForgotten Progress = iota
	// ProgressPreparing means that the attempt does not have its majority yet.
	ProgressPreparing
	// ProgressGranted means that it has the majority; it may have been sent.
	ProgressGranted
	// ProgressEnded means that it was sent and has ended.
	ProgressEnded
	// ProgressAbandoned means that it was not sent and never will be.
	ProgressAbandoned
	// ProgressRefused means the same, and that its caller was told so.
	ProgressRefused
)

// AskReply answers Ask.
type AskReply struct {
	Key      string
	Attempt  AttemptID
	Progress Progress
	// Marker is set with ProgressEnded.
	Marker Marker
}

// SlotCursor asks for the entries of a slot after a key.
type SlotCursor struct {
	Slot  int
	After string
}

// TransferRequest asks for the markers of slots as they stood in the view Source,
// so that the sender can vote in the view Target. Whoever answers votes in no
// view before Target any more.
type TransferRequest struct {
	Target uint64
	Source uint64
	Slots  []SlotCursor
}

// Entry is the markers of one key.
type Entry struct {
	Key     string
	Markers []Marker
	// ExpiresIn is the rest of the lifetime. A length needs no common clock.
	ExpiresIn time.Duration
}

// SlotPiece is a part of a slot's entries, in the order of their keys.
type SlotPiece struct {
	Slot int
	// After is the cursor that the piece answers.
	After string
	// Full says that the replica voted in the view Source. Otherwise it did not,
	// and never will.
	Full    bool
	Entries []Entry
	// More says that entries follow after the last one.
	More bool
}

// TransferReply answers TransferRequest for as many slots as fit.
type TransferReply struct {
	Target uint64
	Source uint64
	Pieces []SlotPiece
	// Base is the view directly before Source, to go back to when nobody is full
	// for it; its number is zero when the sender doesn't know it.
	Base cluster.View
}

// FullQuery asks which slots the receiver can vote on in a view.
type FullQuery struct {
	View  uint64
	Slots []int
}

// FullReply answers FullQuery with those slots of the query that are full.
type FullReply struct {
	View  uint64
	Slots []int
}

func init() {
	machine.RegisterMessage("idempotency.Prepare", Prepare{})
	machine.RegisterMessage("idempotency.PrepareReply", PrepareReply{})
	machine.RegisterMessage("idempotency.Release", Release{})
	machine.RegisterMessage("idempotency.Record", Record{})
	machine.RegisterMessage("idempotency.RecordReply", RecordReply{})
	machine.RegisterMessage("idempotency.Ask", Ask{})
	machine.RegisterMessage("idempotency.AskReply", AskReply{})
	machine.RegisterMessage("idempotency.TransferRequest", TransferRequest{})
	machine.RegisterMessage("idempotency.TransferReply", TransferReply{})
	machine.RegisterMessage("idempotency.FullQuery", FullQuery{})
	machine.RegisterMessage("idempotency.FullReply", FullReply{})
}
