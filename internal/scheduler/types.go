// Package scheduler decides where and when the items of batch jobs run and when engines load
// weights. It is a state machine without I/O: inputs are method calls with the current time, and
// outputs are collected for the driver.
//
// An engine is a server that runs the items of batch jobs. An attempt, or run, is the execution of an
// item by one engine.
package scheduler

import (
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/reward"
)

// AttemptID identifies an attempt: one run of an item at one engine.
type AttemptID uint64

// Start asks the driver to run an item at an engine.
type Start struct {
	Attempt AttemptID
	JobID   string
	Host    string
	// Tenant is the tenant that the item runs for, or empty.
	Tenant string
	Item   *batch.Item
	Server Server
	// After is the ID of the last event kept from earlier attempts, or empty if the item starts
	// over.
	After string
	// ExpectVersion, if above 0, is the only weight version that may serve the item.
	ExpectVersion int64
	// Deadline is when the item expires.
	Deadline time.Time
	Inputs   Inputs
}

// TextOrigin is where a job got the first events of an item's text from.
type TextOrigin int

// Origins of texts.
const (
	// TextOwn: runs of the job itself generated all events.
	TextOwn TextOrigin = iota
	// TextRetained: this process kept the events of an earlier job.
	TextRetained
	// TextRecovered: the events were read from the progress that a predecessor saved.
	TextRecovered
)

// String implements fmt.Stringer.
func (o TextOrigin) String() string { return [...]string{"own", "retained", "recovered"}[o] }

// Inputs are the values that the choice of the engine was based on, for logs.
type Inputs struct {
	// Epoch is the epoch of the lease.
	Epoch int64
	// Version is the last known weight version of the engine.
	Version int64
	// KeptEvents is the number of events that the item's text holds before the run. After is the ID of the last one.
	KeptEvents int
	// KeptFrom is where the first of these events came from.
	KeptFrom TextOrigin
	// Attempts is the number of other items running on the engine.
	Attempts int
	// Gap is the engine's time between events, or 0 if unknown.
	Gap time.Duration
	// ReadAge is the time since the job's partition was last read.
	ReadAge time.Duration
	// Slack is the time by which the item could start later and still end when its job is due, or 0 if
	// the job is not ordered by slack. Negative values mean that it will be late.
	Slack time.Duration
	// Needed is set if the trainer waits for the item's group.
	Needed bool
	// PredictedEvents is the predicted number of events that the item still needs.
	PredictedEvents int
	// MemoryInUse, MemoryExpected and MemoryCapacity are those of the engine without the item, in
	// tokens. MemoryExpected includes what its runs are predicted to generate. MemoryCapacity is 0 if
	// unknown.
	MemoryInUse, MemoryExpected, MemoryCapacity int
}

// Server is the address of one incarnation of an engine.
type Server struct {
	ID string
	// Born is the start time of this incarnation in Unix milliseconds, or 0 if not reported.
	Born    int64
	Address string
	Service string
}

func (s Server) incarnation() directory.Incarnation {
	return directory.Incarnation{ID: s.ID, Born: s.Born}
}

// Cancel asks the driver to cancel an attempt. The driver still reports its end.
type Cancel struct {
	Attempt AttemptID
}

// Move says why an attempt is cancelled to resume its item on another engine. Its Cancel is in the same
// Output.
type Move struct {
	Attempt AttemptID
	JobID   string
	ItemID  string
	From    Server
	// To is the engine that the prediction is for. The item takes the best engine when its run has
	// ended.
	To Server
	// PredictedEvents is the predicted number of events that the item still needs.
	PredictedEvents int
	// Gain is how much sooner the item is predicted to end, after the cost of the move.
	Gain time.Duration
}

// LoadMode selects what happens to running requests during a load.
type LoadMode int

// Load modes.
const (
	// LoadWait lets running requests finish first.
	LoadWait LoadMode = iota
	// LoadKeep lets running requests continue under the new version.
	LoadKeep
)

// LoadOrder asks the driver to have an engine load a weight version.
type LoadOrder struct {
	Server  Server
	Model   string
	Version int64
	Mode    LoadMode
	// Epoch is the epoch of the lease, which fences the order.
	Epoch int64
}

// Output holds the actions for the driver, to be carried out in this order.
type Output struct {
	Cancels []Cancel
	// Moves explains some of the Cancels.
	Moves  []Move
	Starts []Start
	Orders []LoadOrder
	// Results are to be appended to the store.
	Results []batch.Result
	// Progress is to be appended to the store, in this order.
	Progress []Progress
	// WithdrawnRewards are sent reward calls whose answers are no longer needed.
	WithdrawnRewards []reward.SendID
	// Rewards are reward calls to send.
	Rewards []reward.Send
}

// Progress is the progress of a run, with its job.
type Progress struct {
	JobID string
	batch.Progress
}

// EndReason is the reason for the end of an attempt.
type EndReason int

// Reasons for the end of an attempt.
const (
	// EndCompleted: the stream ended normally.
	EndCompleted EndReason = iota
	// EndNotExecuted: the engine did not run the item.
	EndNotExecuted
	// EndFailed: the engine answered that the run failed.
	EndFailed
	// EndImpossible: the engine answered that the item can never run.
	EndImpossible
	// EndBroken: the connection broke, or the response was invalid.
	EndBroken
	// EndCancelled: the driver carried out a Cancel.
	EndCancelled
	// EndUnreached: no connection was made, and nothing was sent.
	EndUnreached
	// EndGone: another incarnation answered at the engine's address, and did not run the item.
	EndGone
)

// String implements fmt.Stringer.
func (r EndReason) String() string {
	return [...]string{"completed", "not executed", "failed", "impossible", "broken", "cancelled", "unreached", "gone"}[r]
}

// Event is one event of an item's stream.
type Event struct {
	ID   string
	Data string
	// Version is the weight version that generated the event.
	Version int64
}

// LoadResult is the result of a load order.
type LoadResult struct {
	// Confirmed is set if the engine accepted the order and was seen to carry it out.
	Confirmed bool
	// Version is the current version of the engine, or 0 if unknown.
	Version int64
}

// Options configures a Machine.
type Options struct {
	// Epoch is the epoch of the lease under which the machine runs.
	Epoch int64
	// ConcurrentLoads is the minimum load window of each service. The window grows while this does
	// not slow loads down.
	ConcurrentLoads int
	// StallTimeout is the time without an event after which an item is moved.
	StallTimeout time.Duration
	// FreshnessLimit is the maximum age of a partition's last read for its items to be started.
	FreshnessLimit time.Duration
	// EnginePause is how long an engine gets no items after a run on it broke or stalled.
	EnginePause time.Duration
	// SaveInterval is the time between two saves of progress.
	SaveInterval time.Duration
	// TenantWeights are the shares of tenants that compete for engines, relative to each other; 1 for
	// tenants without an entry.
	TenantWeights map[string]float64
}

// Defaults of Options.
const (
	// A window never shrinks below DefaultConcurrentLoads, so that one slow load does not hold up all
	// others.
	DefaultConcurrentLoads = 2
	// A longer DefaultStallTimeout keeps items longer on engines that hang; a shorter one moves items
	// whose events are only late.
	DefaultStallTimeout = 900 * time.Millisecond
	// DefaultFreshnessLimit bounds for how long after the end of a job this machine may start its items
	// and, together with the send timeout of package reward, cause its reward calls.
	DefaultFreshnessLimit = 1800 * time.Millisecond
	// A longer DefaultEnginePause leaves the slots of a recovered engine unused; a shorter one costs items
	// attempts at an engine that has not recovered.
	DefaultEnginePause = 500 * time.Millisecond
	// DefaultSaveInterval is about the time whose text is generated again after the loss of the
	// coordinator. A shorter one appends more records to the store.
	DefaultSaveInterval = 400 * time.Millisecond
)
