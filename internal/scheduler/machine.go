package scheduler

import (
	"cmp"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/quarantine"
	"dalehook/internal/reward"
	"dalehook/internal/routetable"
)

// Machine schedules the open batch jobs of all services. It is not safe for
// concurrent use.
type Machine struct {
	options Options
	table   *routetable.Table
	jobs    map[string]*job
	// sets choose the engines that are used; engines holds these.
	sets    workingSets
	engines map[string]*engine
	// ordered holds the engines by id; nil when it is to be made anew.
	ordered  []*engine
	attempts map[AttemptID]*attempt
	newest   map[string]int64
	fresh    map[int]time.Time
	lastID   AttemptID
	arrivals int
	// kept holds what is known of items whose jobs ended before their groups
	// were whole; they may come again in a later job.
	kept map[string]*keptItem
	// demand holds the expected tokens of a step of each model.
	demand map[string]float64
	// windows bound the loads of each service.
	windows map[string]*loadWindow
	// loading counts the engines of each service that load.
	loading map[string]int
	// loadsOrderedAt is when loads were last ordered.
	loadsOrderedAt time.Time
	// savedAt is when progress was last saved.
	savedAt time.Time
	// rewards holds the reward calls of items whose text is whole.
	rewards *reward.Queue
	// recovered is what predecessors saved of their runs, by partition and item.
	recovered   map[int]map[string]*batch.Partial
	recoveredAt time.Time

	// suspicions are what is known against items that engines ended under.
	suspicions map[quarantine.Fingerprint]quarantine.Suspicion

	mayOrder bool
	epoch    int64
	// resigned machines start and order nothing any more; their runs go on.
	resigned bool

	output Output
}

// NewMachine returns a machine that knows no job and no engine.
func NewMachine(options Options) *Machine {
	options.ConcurrentLoads = cmp.Or(options.ConcurrentLoads, DefaultConcurrentLoads)
	options.StallTimeout = cmp.Or(options.StallTimeout, DefaultStallTimeout)
	options.FreshnessLimit = cmp.Or(options.FreshnessLimit, DefaultFreshnessLimit)
	options.SaveInterval = cmp.Or(options.SaveInterval, DefaultSaveInterval)
	options.ServerPause = cmp.Or(options.ServerPause, DefaultServerPause)
	return &Machine{
		options:   options,
		jobs:      make(map[string]*job),
		sets:      newWorkingSets(),
		engines:   make(map[string]*engine),
		attempts:  make(map[AttemptID]*attempt),
		newest:    make(map[string]int64),
		fresh:     make(map[int]time.Time),
		kept:      make(map[string]*keptItem),
		demand:    make(map[string]float64),
		windows:   make(map[string]*loadWindow),
		loading:   make(map[string]int),
		rewards:   reward.NewQueue(),
		recovered: make(map[int]map[string]*batch.Partial),
	}
}

// Take returns what the driver is to carry out, and forgets it.
func (m *Machine) Take() Output {
	taken := m.output
	m.output = Output{}
	return taken
}

// Running returns the number of attempts under way, and Open that of open jobs.
func (m *Machine) Running() int { return len(m.attempts) }

// Waiting returns the number of items that wait for an engine.
func (m *Machine) Waiting() int {
	waiting := 0
	for _, open := range m.jobs {
		waiting += len(open.queue)
	}
	return waiting
}

// Demand returns the number of items by service whose texts are not whole.
func (m *Machine) Demand() map[string]int {
	demand := make(map[string]int)
	for _, open := range m.jobs {
		for _, known := range open.items {
			if !known.finished && !known.whole {
				demand[known.service]++
			}
		}
	}
	return demand
}

// Unscored returns the number of items whose text is whole and has no score yet.
func (m *Machine) Unscored() int { return m.rewards.Len() }

// Open returns the number of open jobs.
func (m *Machine) Open() int { return len(m.jobs) }

// HandleTable takes a new configuration.
func (m *Machine) HandleTable(now time.Time, table *routetable.Table) {
	m.table = table
	m.rewards.HandleTable(table)
	for _, job := range m.jobs {
		m.route(job)
	}
	for _, known := range m.engines {
		known.warmUpRate = m.table.WarmUpRate(known.service)
	}
	m.schedule(now)
}

// HandleVersion takes the newest weight version of a model.
func (m *Machine) HandleVersion(now time.Time, model string, version int64) {
	m.newest[model] = max(m.newest[model], version)
	m.schedule(now)
}

// HandleLease says whether this machine may give orders, and under which epoch.
func (m *Machine) HandleLease(now time.Time, epoch int64, mayOrder bool) {
	changed := m.mayOrder != mayOrder || m.epoch != epoch
	m.mayOrder, m.epoch = mayOrder, epoch
	if changed {
		m.schedule(now)
	}
}

// HandleFresh says that a partition was read to its end by a call that began at since.
func (m *Machine) HandleFresh(now time.Time, partition int, since time.Time) {
	stale := now.Sub(m.fresh[partition]) > m.options.FreshnessLimit
	m.fresh[partition] = since
	if stale {
		m.schedule(now)
	}
}

// Tick lets time-outs take effect.
func (m *Machine) Tick(now time.Time) {
	if m.resigned {
		m.saveAll(now)
		return
	}
	m.moveStalled(now)
	m.moveToFaster(now)
	m.giveUp(now)
	m.forgetKept(now)
	m.forgetRecovered(now)
	m.saveAll(now)
	m.saveWholeTexts(now)
	m.schedule(now)
}
