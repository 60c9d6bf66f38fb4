package record

import (
	"time"

	"dalehook/internal/cluster"
)

// ControlLog is the name of the log that carries configuration, versions,
// leases, views and the register of steps.
const ControlLog = "control"

// Revision numbers the configuration in force: the offset, on the control log,
// of the last valid configuration record. Zero means none.
type Revision uint64

// Epoch numbers the holders of a lease: the offset of the valid claim. Zero
// means that the duty was never claimed.
type Epoch uint64

// Duty names something that has one holder at a time.
type Duty string

// DutyView publishes the placement view.
const DutyView Duty = "view"

// DutyStep is the duty of owning a step; it is claimed on the step's own log.
const DutyStep Duty = "step"

// DutyPool returns the duty of directing one pool of engines.
func DutyPool(pool string) Duty { return Duty("pool/" + pool) }

// PlanConfirmed puts a plan in force. It is valid only when Base is the
// revision in force where the record stands on the log.
type PlanConfirmed struct {
	Base     Revision `json:"base"`
	Operator string   `json:"operator,omitempty"`
	Plan     Plan     `json:"plan"`
}

// EventWithdrawn takes a confirmed event out of force. It is decided like
// PlanConfirmed.
type EventWithdrawn struct {
	Base     Revision `json:"base"`
	Operator string   `json:"operator,omitempty"`
	Event    string   `json:"event"`
}

// VersionAnnounced says that a trainer has put a version into the weight store.
type VersionAnnounced struct {
	Model   cluster.ModelName `json:"model"`
	Version cluster.Version   `json:"version"`
	At      time.Time         `json:"at"`
}

// LeaseClaimed asks for a duty. It is valid only when Supersedes is the epoch
// in force where the record stands; its own offset becomes the new epoch.
type LeaseClaimed struct {
	Duty        Duty                `json:"duty"`
	Holder      cluster.NodeID      `json:"holder"`
	Incarnation cluster.Incarnation `json:"incarnation"`
	Supersedes  Epoch               `json:"supersedes"`
	// Replicas are the nodes to which the holder of a step mirrors what it can't
	// append while the log is down; a successor asks them before it acts. In a
	// cluster of fewer nodes the last ones are zero.
	Replicas [ReplicaCount]Replica `json:"replicas,omitzero"`
}

// ReplicaCount is the number of nodes that keep a copy of something in memory.
const ReplicaCount = 3

// Replica names one life of a node that keeps a copy of something in memory.
type Replica struct {
	Node        cluster.NodeID      `json:"node"`
	Incarnation cluster.Incarnation `json:"incarnation"`
}

// ViewPublished replaces the placement view. It is valid only when Epoch is the
// epoch of DutyView in force.
type ViewPublished struct {
	Epoch   Epoch          `json:"epoch"`
	Members []cluster.Node `json:"members"`
}

// StepOpened registers an accepted step; its samples stand on the step's log.
type StepOpened struct {
	Step     string    `json:"step"`
	Event    string    `json:"event"`
	Trainer  string    `json:"trainer"`
	Samples  int       `json:"samples"`
	Digest   string    `json:"digest"`
	Deadline time.Time `json:"deadline,omitzero"`
}

// StepClosed ends a step: each of its samples was handed over or has a final
// error, or the trainer no longer reads it.
type StepClosed struct {
	Step string `json:"step"`
	// Lengths is what the step taught about the lengths of its trainer's
	// samples, so that the owners of later steps can order theirs.
	Lengths []GroupLength `json:"lengths,omitempty"`
}

// GroupLength is the mean length of the finished samples of one prompt group,
// or of all samples when Group is empty.
type GroupLength struct {
	Group   string `json:"group,omitempty"`
	Samples int    `json:"samples"`
	// Tokens is the mean number of generated tokens.
	Tokens int `json:"tokens"`
}
