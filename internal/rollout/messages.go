package rollout

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// ReadRequest passes a trainer's read to the step's owner. It is sent again until
// it is answered; the owner knows a copy by its sender and ID.
type ReadRequest struct {
	// ID rises with each read of the sender's life.
	ID    uint64
	Step  string
	After string
	// Wait is how long the owner may hold the read from now on.
	Wait    time.Duration
	Version cluster.Version
}

// ReadHeld says that a read has arrived and is held.
type ReadHeld struct {
	ID uint64
}

// ReadAnswer ends a read at the owner.
type ReadAnswer struct {
	ID   uint64
	Read machine.SamplesRead
	// Failure is set when the read is answered with an error.
	Failure *machine.Failure
	// MovedTo names the node that holds the step, when this one does not.
	MovedTo cluster.NodeID
}

// ReadCancel says that the trainer has closed its connection.
type ReadCancel struct {
	ID   uint64
	Step string
}

// OwnerAnnounced tells every node who holds a step, so that reads take one hop.
// A lower epoch than the one known is ignored.
type OwnerAnnounced struct {
	Step  string
	Epoch record.Epoch
}

// StepHandover asks a node to take over a step whose holder is leaving.
type StepHandover struct {
	Step  string
	Epoch record.Epoch
	// Finished and Failed hold what the holder has and did not write.
	Finished []record.Result
	Failed   []record.SampleFailure
	// Progress holds what an engine could not stream again to the new owner.
	Progress []SampleProgress
}

// SampleProgress is what the owner has of an attempt that was moved between
// engines: the engine that runs it knows only its own part.
type SampleProgress struct {
	Sample   int
	Attempt  int
	Engine   cluster.BackendID
	Text     string
	Segments []record.Segment
}

// AttemptRef names one attempt of one sample of a step.
type AttemptRef struct {
	Sample  int
	Attempt int
}

// MirrorEntry is one entry of an owner's journal, kept by the step's replicas
// until it stands on the log. Exactly one of its lists is not empty.
type MirrorEntry struct {
	// Serial numbers the entries of one epoch from 1 on, without gaps.
	Serial   uint64
	Results  []record.Result
	Failures []record.SampleFailure
	Revoked  []AttemptRef
	// Newest is the version against which Revoked was judged.
	Newest cluster.Version
}

// Mirror asks a replica to keep entries. Without entries it asks whether the
// replica still takes the epoch.
type Mirror struct {
	Step  string
	Epoch record.Epoch
	// First is the serial of the oldest entry that is not on the log; a replica
	// that has none may begin there.
	First   uint64
	Entries []MirrorEntry
	// Probe is returned in the acknowledgement.
	Probe uint64
}

// MirrorAck answers Mirror.
type MirrorAck struct {
	Step  string
	Epoch record.Epoch
	// Serial is the last serial up to which the replica has every entry.
	Serial uint64
	Probe  uint64
	// Promised is set when the replica refuses: the higher epoch it has seen.
	Promised record.Epoch
}

// MirrorForget says that entries stand on the log: all of the epoch up to
// Serial, and all of lower epochs.
type MirrorForget struct {
	Step   string
	Epoch  record.Epoch
	Serial uint64
}

// MirrorCollect asks a replica for the entries of lower epochs, and to refuse
// those epochs from now on.
type MirrorCollect struct {
	Step  string
	Epoch record.Epoch
}

// MirrorState answers MirrorCollect.
type MirrorState struct {
	Step   string
	Epoch  record.Epoch
	Epochs []EpochEntries
}

// EpochEntries are the entries that a replica holds of one epoch.
type EpochEntries struct {
	Epoch   record.Epoch
	Entries []MirrorEntry
}

func init() {
	machine.RegisterMessage("rollout.read_request", ReadRequest{})
	machine.RegisterMessage("rollout.read_held", ReadHeld{})
	machine.RegisterMessage("rollout.read_answer", ReadAnswer{})
	machine.RegisterMessage("rollout.read_cancel", ReadCancel{})
	machine.RegisterMessage("rollout.owner_announced", OwnerAnnounced{})
	machine.RegisterMessage("rollout.step_handover", StepHandover{})
	machine.RegisterMessage("rollout.mirror", Mirror{})
	machine.RegisterMessage("rollout.mirror_ack", MirrorAck{})
	machine.RegisterMessage("rollout.mirror_forget", MirrorForget{})
	machine.RegisterMessage("rollout.mirror_collect", MirrorCollect{})
	machine.RegisterMessage("rollout.mirror_state", MirrorState{})
}
