package scheduler

import (
	"cmp"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/lengths"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// Machine schedules the open batch jobs of all services. It is not safe for concurrent use.
type Machine struct {
	options Options
	table   *routetable.Table
	jobs    map[string]*job
	// workingSets selects the engines to use; engines holds these.
	workingSets workingSets
	engines     map[string]*engine
	// sortedEngineCache holds the engines ordered by ID, or nil if it must be rebuilt.
	sortedEngineCache []*engine
	attempts          map[AttemptID]*attempt
	newestVersions    map[string]int64
	lastRead          map[int]time.Time
	lastID            AttemptID
	arrivals          int
	// retained holds the state of items whose jobs ended before their groups were complete. They
	// may be resubmitted in a later job.
	retained map[string]*retainedItem
	// tokensPerStep holds the expected tokens per step of each model.
	tokensPerStep map[string]float64
	// loadWindows limits the concurrent loads of each service.
	loadWindows map[string]*loadWindow
	// activeLoads counts the loading engines of each service.
	activeLoads map[string]int
	// loadsOrderedAt is when loads were last ordered.
	loadsOrderedAt time.Time
	// progressSavedAt is when progress was last saved.
	progressSavedAt time.Time
	// rewards holds the reward calls of items with complete texts.
	rewards *reward.Queue
	// recovered is the progress saved by predecessors, by partition and item.
	recovered   map[int]map[string]*batch.Partial
	recoveredAt time.Time

	// lengths predicts the lengths of items by the name of their route.
	lengths *lengths.Estimator
	// runningByTenant counts the running attempts of each tenant.
	runningByTenant map[string]int
	// slowdowns holds the effect of concurrent runs on the engines of each service.
	slowdowns map[string]*slowdown
	// slotQueues are the predicted queues for slots at the time of a recent decision that needed them.
	slotQueues slotQueues

	mayOrder bool
	epoch    int64
	// A stopped machine starts and orders nothing; its runs continue.
	stopped bool

	output Output
}

// NewMachine returns a machine without jobs or engines.
func NewMachine(options Options) *Machine {
	options.ConcurrentLoads = cmp.Or(options.ConcurrentLoads, DefaultConcurrentLoads)
	options.StallTimeout = cmp.Or(options.StallTimeout, DefaultStallTimeout)
	options.FreshnessLimit = cmp.Or(options.FreshnessLimit, DefaultFreshnessLimit)
	options.SaveInterval = cmp.Or(options.SaveInterval, DefaultSaveInterval)
	options.EnginePause = cmp.Or(options.EnginePause, DefaultEnginePause)
	return &Machine{
		options:         options,
		jobs:            make(map[string]*job),
		workingSets:     newWorkingSets(),
		engines:         make(map[string]*engine),
		attempts:        make(map[AttemptID]*attempt),
		newestVersions:  make(map[string]int64),
		lastRead:        make(map[int]time.Time),
		retained:        make(map[string]*retainedItem),
		tokensPerStep:   make(map[string]float64),
		loadWindows:     make(map[string]*loadWindow),
		activeLoads:     make(map[string]int),
		rewards:         reward.NewQueue(),
		recovered:       make(map[int]map[string]*batch.Partial),
		lengths:         lengths.NewEstimator(),
		runningByTenant: make(map[string]int),
		slowdowns:       make(map[string]*slowdown),
	}
}

// TakeOutput returns the output collected since the last call, and clears it.
func (m *Machine) TakeOutput() Output {
	taken := m.output
	m.output = Output{}
	return taken
}

// Running returns the number of running attempts.
func (m *Machine) Running() int { return len(m.attempts) }

// Waiting returns the number of items that wait for an engine.
func (m *Machine) Waiting() int {
	waiting := 0
	for _, job := range m.jobs {
		waiting += len(job.queue)
	}
	return waiting
}

// UnfinishedItems returns the number of items without a complete text, by service.
func (m *Machine) UnfinishedItems() map[string]int {
	unfinishedItems := make(map[string]int)
	for _, job := range m.jobs {
		for _, unfinished := range job.items {
			if !unfinished.finished && !unfinished.textComplete {
				unfinishedItems[unfinished.service]++
			}
		}
	}
	return unfinishedItems
}

// Unscored returns the number of items with a complete text and no score.
func (m *Machine) Unscored() int { return m.rewards.Len() }

// Open returns the number of open jobs.
func (m *Machine) Open() int { return len(m.jobs) }

// HandleTable applies a new configuration.
func (m *Machine) HandleTable(now time.Time, table *routetable.Table) {
	m.table = table
	m.rewards.HandleTable(table)
	for _, job := range m.jobs {
		m.route(job)
	}
	for _, eng := range m.engines {
		m.applyService(eng)
	}
	m.setTokensPerEvent()
	m.schedule(now)
}

// HandleVersion processes the newest weight version of a model.
func (m *Machine) HandleVersion(now time.Time, model string, version int64) {
	m.newestVersions[model] = max(m.newestVersions[model], version)
	m.schedule(now)
}

// HandleLease sets whether this machine may order loads, and the epoch that fences its orders.
func (m *Machine) HandleLease(now time.Time, epoch int64, mayOrder bool) {
	changed := m.mayOrder != mayOrder || m.epoch != epoch
	m.mayOrder, m.epoch = mayOrder, epoch
	if changed {
		m.schedule(now)
	}
}

// HandlePartitionRead records that a partition was read to its end by a call sent at
// requestedAt.
func (m *Machine) HandlePartitionRead(now time.Time, partition int, requestedAt time.Time) {
	stale := now.Sub(m.lastRead[partition]) > m.options.FreshnessLimit
	m.lastRead[partition] = requestedAt
	if stale {
		m.schedule(now)
	}
}

// Tick processes timeouts.
func (m *Machine) Tick(now time.Time) {
	if m.stopped {
		m.saveProgress(now)
		return
	}
	m.cancelStalled(now)
	m.moveToFaster(now)
	m.expireJobs(now)
	m.expireRetained(now)
	m.expireRecovered(now)
	m.saveProgress(now)
	m.saveUnscoredTexts(now)
	m.schedule(now)
}
