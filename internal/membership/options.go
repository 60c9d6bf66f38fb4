package membership

import (
	"cmp"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Options configure a Machine. Self and Outbox are required; each timing field
// that is zero takes its default.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// SeedAddresses are peer addresses (host:port) to join by.
	SeedAddresses []string
	// Seed feeds the random choices.
	Seed uint64
	// Outbox takes the messages to send.
	Outbox *machine.Outbox
	// OnBackendRumor is called for each fact on a back end that is news to this
	// node and that this node did not spread itself; nil for none.
	OnBackendRumor func(now time.Time, rumor BackendRumor)

	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval time.Duration
	// ProbeAfter is how long a neighbour may be silent before it and others are
	// asked for a sign of life.
	ProbeAfter time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the neighbour
	// is suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute.
	SuspicionTimeout time.Duration
	// SpreadInterval is the shortest time between two batches of facts.
	SpreadInterval time.Duration
	// SyncInterval is the shortest time between two requests for missing facts.
	SyncInterval time.Duration
	// JoinInterval is the time between two attempts to find a first member.
	JoinInterval time.Duration
	// RetryInterval is the time between two attempts to reach a dead member, a
	// seed address or a listed node that is no live member.
	RetryInterval time.Duration
	// PauseThreshold is the shortest jump of this node's own time that counts
	// as a pause of the process.
	PauseThreshold time.Duration
	// ForgetAfter is how long a dead member or back end is remembered. For the
	// first half of this time the fact is also handed on.
	ForgetAfter time.Duration
}

// The defaults of the timing fields. A silent node is suspected 2.4 s and dead
// 4.9 s after its last message.
const (
	defaultHeartbeatInterval = time.Second
	defaultProbeAfter        = 1600 * time.Millisecond
	defaultProbeTimeout      = 800 * time.Millisecond
	defaultSuspicionTimeout  = 2500 * time.Millisecond
	defaultSpreadInterval    = 50 * time.Millisecond
	defaultSyncInterval      = 2 * time.Second
	defaultJoinInterval      = time.Second
	defaultRetryInterval     = 5 * time.Second
	defaultPauseThreshold    = 500 * time.Millisecond
	defaultForgetAfter       = 2 * time.Hour
)

// The bounds of what one message and one node hold.
const (
	// maxFacts is the largest number of facts in one message, about 5 KB when all
	// are in full.
	maxFacts = 48
	// maxSyncMessages is the largest number of messages that answer one request
	// for missing facts.
	maxSyncMessages = 2
	// maxMembers and maxBackends bound the tables.
	maxMembers  = 4096
	maxBackends = 8192
	// minDeadKept is the number of dead members that are always kept until
	// ForgetAfter; beyond it at most as many dead as live ones are kept.
	minDeadKept = 64
	// maxRelays bounds the probes that this node has taken on for others.
	maxRelays = 64
	// maxCandidates bounds the listed nodes that are yet to be contacted.
	maxCandidates = 256
	// probeHelpers is the number of other nodes asked about a silent neighbour.
	probeHelpers = 3
	// joinFanout is the number of addresses tried at once while alone.
	joinFanout = 3
)

// withDefaults fills the timing fields that were left zero.
func (o Options) withDefaults() Options {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.ProbeAfter = cmp.Or(o.ProbeAfter, defaultProbeAfter)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, defaultProbeTimeout)
	o.SuspicionTimeout = cmp.Or(o.SuspicionTimeout, defaultSuspicionTimeout)
	o.SpreadInterval = cmp.Or(o.SpreadInterval, defaultSpreadInterval)
	o.SyncInterval = cmp.Or(o.SyncInterval, defaultSyncInterval)
	o.JoinInterval = cmp.Or(o.JoinInterval, defaultJoinInterval)
	o.RetryInterval = cmp.Or(o.RetryInterval, defaultRetryInterval)
	o.PauseThreshold = cmp.Or(o.PauseThreshold, defaultPauseThreshold)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	return o
}
