package scheduler

import (
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/routetable"
	"dalehook/internal/slowstart"
)

// item is the scheduling state of a batch item that has no result in the log, or that is retained.
type item struct {
	job    *job
	source *batch.Item
	// service is the target of the route that this item goes to.
	service string
	text    generatedText
	unsaved unsaved
	// checkpointAt is when the full text was last saved; zero if the next save must be a
	// checkpoint.
	checkpointAt time.Time
	failures     int
	// refusals counts the attempts that engines refused since the item's last event. Engines that crash or are
	// gone say nothing about the item.
	refusals int
	attempt  *attempt
	// textComplete is set while the item waits for the answer to its reward call.
	textComplete bool
	// finished items need nothing more from this machine. Until their result has been read back from the log,
	// they keep their text: the end of the job may come first and void the result.
	finished bool
	// retained items belong to ended jobs; their runs may be claimed by a later job.
	retained bool
	// resubmitted items were in an earlier job, and their trainer is waiting for them.
	resubmitted bool
	// promptHash identifies the prompt of the item's group; 0 until first needed.
	promptHash uint64
	// result is the result of an item that finished with OutcomeCompleted. It holds the text.
	result *batch.Result
	// waitingSince is when the item last entered its job's queue, or when its text was completed.
	waitingSince time.Time
	// movedAt is when the item was last moved to a faster engine.
	movedAt time.Time
	// group is the item's group; nil for retained items without an open job.
	group *group
	// startBy is the latest time at which a waiting item may start to end when its job is due; zero if
	// it must be computed.
	startBy time.Time
	// lengthObserved is set when the length of the item's result was recorded in the length estimator, possibly
	// in an earlier job. Each result counts once.
	lengthObserved bool
}

// generatedText is what the runs of an item have generated so far. All of it is kept, or nothing.
type generatedText struct {
	// events holds the data of the events.
	events []string
	// lastID is the ID of the last event, after which another engine continues; empty without events, and for a
	// complete text that was retained or recovered.
	lastID string
	// versions are the weight versions that generated the events, in ascending order.
	versions []int64
	// origin is where the item's job got the first events from.
	origin TextOrigin
}

// add appends an event.
func (t *generatedText) add(event Event) {
	t.events = append(t.events, event.Data)
	t.lastID = event.ID
	t.versions = batch.MergeVersions(t.versions, []int64{event.Version})
}

// joined returns the data of all events, joined by line feeds.
func (t *generatedText) joined() string { return joinLines(t.events) }

// unsaved holds the events of an item's run since its last saved progress.
type unsaved struct {
	from     string
	text     []string
	versions []int64
}

// job is the scheduling state of an open batch job.
type job struct {
	id        string
	tenant    string
	host      string
	path      string
	model     string
	minimum   int64
	partition int
	route     *routetable.Route
	// receivedAt is when the job was read.
	receivedAt time.Time
	// acceptedAt is when a node accepted the job, and dueAt when its results are due. acceptedAt is
	// checked when the job first has a route.
	acceptedAt        time.Time
	acceptedAtChecked bool
	dueAt             time.Time
	// wantedGroups is the number of whole groups that the trainer waits for.
	wantedGroups int
	// medianEstimate is the median of the caller's estimates of the items, in tokens, or 0.
	medianEstimate int
	// groups holds the groups in the order of their first items. rankedAt is when they were last
	// ranked.
	groups   []*group
	rankedAt time.Time
	// expiresAt is when the job's items expire; zero until the job has had a route.
	expiresAt time.Time
	arrival   int
	items     map[string]*item
	// queue holds the waiting items in the order in which they start. queueDirty is set if it must be
	// ordered by slack again.
	queue      []*item
	queueDirty bool
	// unfinishedByGroup counts the items without a result in each group.
	unfinishedByGroup map[string]int
	// results holds the results in the log, by item.
	results map[string]*batch.Result
	// sources holds each item as it was submitted.
	sources map[string]*batch.Item
}

// attempt is the state of one run of an item at an engine.
type attempt struct {
	id          AttemptID
	item        *item
	engine      *engine
	startedAt   time.Time
	lastEventAt time.Time
	// excusedStall is the time since the last event that was excused because this process was
	// stalled.
	excusedStall time.Duration
	events       int
	// sampleStart is when the current gap sample of the engine started, and sampleEvents the
	// number of its events.
	sampleStart  time.Time
	sampleEvents int
	// sampleRuns is the number of runs on the engine when the sample started.
	sampleRuns int
	// memory is what the run uses of the engine's memory.
	memory memoryUse
	// cancelled attempts accept no more events.
	cancelled bool
}

// engine is the state of one incarnation of an engine: its attempts, weight versions, loads and speed.
type engine struct {
	server  Server
	service string
	slots   int
	// warmUpRate is the items per second that the engine sustains until warmAt; 0 means no limit.
	// recentStarts holds the starts of the last second.
	warmUpRate   float64
	warmAt       time.Time
	recentStarts slowstart.Window
	versions     map[string]int64
	listed       bool
	// model is the model whose new versions this engine loads.
	model    string
	attempts map[AttemptID]*attempt
	// draining engines take no items, so that they become idle and can load.
	draining bool
	// loading is set while a load order is in progress, since loadStartedAt.
	loading       bool
	loadStartedAt time.Time
	// loadEndedAt is when the result of the last load order was processed.
	loadEndedAt time.Time
	// concurrentAtStart is the number of loads in the service when this one started, including it.
	concurrentAtStart int
	// maxConcurrentLoads is the highest number of loads in the service since this one started.
	maxConcurrentLoads int
	pausedUntil        time.Time
	// unresponsiveAt is when a run last ended here without a response; zero after the next event.
	unresponsiveAt time.Time
	// gap is the smoothed time between two events in seconds, or 0 if unknown.
	gap float64
	// gapRuns is the smoothed number of concurrent runs that gap was measured at, or 0 if unknown.
	gapRuns float64
	// gapSampledAt is when the gap was last sampled.
	gapSampledAt time.Time
	// lastSample is the newest sample of the gap.
	lastSample paceSample
	// slowdown is shared by all engines of the service; nil stands for initialSlowdown.
	slowdown *slowdown
	// memory is the sum of the memory use of the attempts.
	memory memoryUse
	// memoryTokens is the memory's capacity in tokens, and tokensPerEvent the tokens that an event
	// holds; 0 if unknown.
	memoryTokens, tokensPerEvent int
	// recentPrompts holds the prompts that the engine has read recently.
	recentPrompts recentPrompts
	// nextLoadAt is the earliest time of the next load order to this engine.
	nextLoadAt time.Time
}
