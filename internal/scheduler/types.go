// Package scheduler decides where and when the items of batch jobs run and when
// engines load weights. It is a state machine without I/O: inputs are methods
// with the time, outputs are collected and taken by the driver.
package scheduler

import (
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
	"dalehook/internal/slowstart"
)

// AttemptID names one run of an item at one server.
type AttemptID uint64

// Start asks the driver to run an item at a server.
type Start struct {
	Attempt AttemptID
	JobID   string
	Host    string
	// Tenant is on whose behalf the item runs; empty for nobody's.
	Tenant string
	Item   *batch.Item
	Server Server
	// After is the id of the last event that is kept from earlier attempts; empty
	// when the item starts anew.
	After string
	// ExpectVersion, when above 0, is the only weight version that may serve.
	ExpectVersion int64
	// Deadline is when the item may be given up.
	Deadline time.Time
	Inputs   Inputs
}

// Inputs are what the choice of an engine went by, for logs.
type Inputs struct {
	// Term is the epoch of the lease.
	Term int64
	// Version is the weight version that the engine was taken to have.
	Version int64
	// Attempts is the number of items that ran there.
	Attempts int
	// Gap is the engine's time between events; 0 when unknown.
	Gap time.Duration
	// ReadAge is the age of what was known of the job.
	ReadAge time.Duration
}

// Server is the address of one incarnation of an engine.
type Server struct {
	ID string
	// Born is when this life of it began, in Unix milliseconds; 0 where it does not tell.
	Born    int64
	Address string
	Service string
}

func (s Server) incarnation() directory.Incarnation {
	return directory.Incarnation{ID: s.ID, Born: s.Born}
}

// Cancel asks the driver to end an attempt. The driver still reports its end.
type Cancel struct {
	Attempt AttemptID
}

// LoadMode says what happens to running requests while weights are loaded.
type LoadMode int

// The modes of a load.
const (
	// LoadWait lets running requests finish first.
	LoadWait LoadMode = iota
	// LoadKeep lets running requests go on under the new version.
	LoadKeep
)

// Order asks the driver to have a server load a weight version.
type Order struct {
	Server  Server
	Model   string
	Version int64
	Mode    LoadMode
	// Epoch is the lease's epoch, which fences the order.
	Epoch int64
}

// Output is what the driver carries out, in this order.
type Output struct {
	Cancels []Cancel
	Starts  []Start
	Orders  []Order
	// Results are to be appended to the store.
	Results []batch.Result
	// Progress is to be appended to the store, in this order.
	Progress []Progress
	// WithdrawnRewards are sends whose answers are of no more use.
	WithdrawnRewards []reward.SendID
	// Rewards are reward calls to send.
	Rewards []reward.Send
}

// Progress is what a run has made, with the job that it belongs to.
type Progress struct {
	JobID string
	batch.Progress
}

// EndReason says how an attempt ended.
type EndReason int

// The ways in which an attempt ends.
const (
	// EndCompleted: the stream came to its end.
	EndCompleted EndReason = iota
	// EndNotExecuted: the server did not run the item.
	EndNotExecuted
	// EndFailed: the server answered that the run failed.
	EndFailed
	// EndImpossible: the server answered that the item can never be run.
	EndImpossible
	// EndBroken: the connection broke, or the answer was not one.
	EndBroken
	// EndCancelled: the driver carried out a Cancel.
	EndCancelled
	// EndUnreached: there was no connection, and nothing was sent.
	EndUnreached
)

// String implements fmt.Stringer.
func (r EndReason) String() string {
	return [...]string{"completed", "not executed", "failed", "impossible", "broken", "cancelled", "unreached"}[r]
}

// Event is one event of an item's stream.
type Event struct {
	ID   string
	Data string
	// Version is the weight version that made the event.
	Version int64
}

// Load is what an order came to.
type Load struct {
	// Ordered says that the server took the order and was seen to carry it out.
	Ordered bool
	// Version is the version that the server has now; 0 when it is not known.
	Version int64
}

// Options configure a Machine.
type Options struct {
	// Term is the epoch of the lease under which the machine runs.
	Term int64
	// ConcurrentLoads is how many servers of one service may always load at once;
	// more do where loads do not become slower by it.
	ConcurrentLoads int
	// StallTimeout is the time without an event after which an item is moved.
	StallTimeout time.Duration
	// FreshnessLimit is the age of a partition's last read beyond which none of
	// its items is started.
	FreshnessLimit time.Duration
	// ServerPause is how long a server gets no items after it failed one.
	ServerPause time.Duration
	// SaveInterval is the time between two savings of the runs' progress.
	SaveInterval time.Duration
}

// The defaults of Options.
const (
	DefaultConcurrentLoads = 2
	DefaultStallTimeout    = 900 * time.Millisecond
	DefaultFreshnessLimit  = 1800 * time.Millisecond
	DefaultServerPause     = 500 * time.Millisecond
	DefaultSaveInterval    = 400 * time.Millisecond
)

// item is one item that has no result in the log.
type item struct {
	job    *job
	source *batch.Item
	// service is the target of the route that this item goes to.
	service string
	// text holds the data of the events so far.
	text    []string
	unsaved unsaved
	// checkpointAt is when all of the text was last saved; zero when what was saved
	// is not to be followed on.
	checkpointAt time.Time
	lastID       string
	versions     []int64
	failures     int
	// refused counts the attempts in a row that no engine took.
	refused int
	attempt *attempt
	// whole items have all of their text and wait for the answer to their reward call.
	whole bool
	// finished items wait for their result to stand in the log.
	finished bool
	// kept items are of jobs that ended; what they run may serve a later job.
	kept bool
	// carried items were in an earlier job; their trainer waits for them.
	carried bool
	// fingerprint tells the item from others; zero until it is needed.
	fingerprint quarantine.Fingerprint
	// final is the result of a finished item that completed.
	final *batch.Result
	// waitingSince is when the item last came to its job's queue.
	waitingSince time.Time
	// movedAt is when the item was last moved to a faster engine.
	movedAt time.Time
}

// unsaved is what an item's run made since its last progress.
type unsaved struct {
	from     string
	text     []string
	versions []int64
}

type job struct {
	id        string
	tenant    string
	host      string
	path      string
	model     string
	minimum   int64
	partition int
	route     *routetable.Route
	// cameAt is when the job was read.
	cameAt time.Time
	// giveUpAt is when its items may be given up; zero until the job has had a route.
	giveUpAt time.Time
	order    int
	items    map[string]*item
	// queue holds the items that wait, the first to start first.
	queue []*item
	// held holds the items that crash engines. They wait for nothing but the end of their time,
	// and keep nothing else waiting.
	held []*item
	// groups holds the number of items without a result by group.
	groups map[string]int
	// done holds the results in the log, by item.
	done map[string]*batch.Result
	// sources holds each item as it was submitted.
	sources map[string]*batch.Item
}

type attempt struct {
	id       AttemptID
	item     *item
	engine   *engine
	begun    time.Time
	lastSeen time.Time
	// excused is the time since the last event that counts for nothing, as nobody looked.
	excused time.Duration
	events  int
	// sampleBegan is when the sample of the engine's pace that is being taken began,
	// sampled the number of its events.
	sampleBegan time.Time
	sampled     int
	// cancelled attempts take no more events.
	cancelled bool
}

type engine struct {
	server  Server
	service string
	slots   int
	// warmUpRate is how many items a second the engine bears while it warms up, until warmAt; 0
	// for any. starts are those of the last second.
	warmUpRate float64
	warmAt     time.Time
	starts     slowstart.Window
	versions   map[string]int64
	listed     bool
	// model is the model whose new versions this engine loads.
	model    string
	attempts map[AttemptID]*attempt
	// draining engines take no items, since they are to load once they are idle.
	draining bool
	// loading is set from an order's start to its end, loadBegan is that start.
	loading   bool
	loadBegan time.Time
	// loadBeganAs is how many servers of the service loaded when this one began, with it.
	loadBeganAs int
	// loadsAtOnce is how many servers of the service loaded at once since this one began, at
	// the most.
	loadsAtOnce int
	pausedUntil time.Time
	// silentAt is when a run last ended here for want of an answer; zero once an event came.
	silentAt time.Time
	// gap is the smoothed time between two events, in seconds; 0 when unknown.
	gap float64
	// pacedAt is when the gap was last sampled.
	pacedAt time.Time
	// loadAfter delays the next order to this engine.
	loadAfter time.Time
}
