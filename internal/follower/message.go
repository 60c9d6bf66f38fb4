package follower

import (
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// The messages of this package, under short gob names.
func init() {
	machine.RegisterMessage("follower.o", offer{})
	machine.RegisterMessage("follower.q", ask{})
	machine.RegisterMessage("follower.e", push{})
	machine.RegisterMessage("follower.p", pull{})
	machine.RegisterMessage("follower.r", pieceRequest{})
	machine.RegisterMessage("follower.s", piece{})
	machine.RegisterMessage("follower.l", logStatus{})
}

// offer says how far its sender has folded the control log. It is also the
// heartbeat by which a node notices that it missed entries.
type offer struct {
	Offset uint64
	Ready  bool
	// AskedMillis is the sender's own time in Unix milliseconds when it wants an
	// offer in return, and EchoMillis is that of the receiver which asked. Only
	// an echo proves that an offer was made after the question: a process that
	// was paused finds old messages in its sockets.
	AskedMillis int64
	EchoMillis  int64
	// FreshMillis is one more than the time since the sender held everything on
	// the log, zero when it never did.
	FreshMillis uint64
}

// ask wants an offer in return at once.
type ask struct{}

// push carries entries in order without gaps. Offset is the sender's own.
type push struct {
	Entries []record.Entry
	Offset  uint64
}

// pull asks for the entries from an offset on.
type pull struct {
	From uint64
}

// pieceRequest asks for a piece of the snapshot taken at Offset.
type pieceRequest struct {
	Offset uint64
	Number int
}

// piece is a part of a gob-encoded record.Snapshot that was taken at Offset.
// Pieces are numbered from 0 to Count-1.
type piece struct {
	Offset uint64
	Number int
	Count  int
	Data   []byte
}

// logStatus says whether a reader can read the log. It is passed on to all
// nodes; a later sequence of the same life replaces an earlier one.
type logStatus struct {
	Reader      cluster.NodeID
	Incarnation cluster.Incarnation
	Sequence    uint64
	Down        bool
}
