package pool

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// Options configure a Machine.
type Options struct {
	// Self is this process.
	Self cluster.Node
	// Outbox takes polls and messages.
	Outbox *machine.Outbox
	// Seed feeds the random choices.
	Seed uint64
	// Members returns the known members, sorted by id. A slice that it has
	// returned must not be changed later, so that an unchanged list is noticed.
	Members func() []membership.Member
	// SpreadBackend tells every node a fact about a back end.
	SpreadBackend func(rumor membership.BackendRumor)
}

const (
	// watcherCount is the number of nodes that watch a back end: two poll it,
	// the third helps to confirm a failure.
	watcherCount = 3
	// pollingWatchers is the number of watchers that poll all the time.
	pollingWatchers = 2
	// watchInterval is the time between two polls by one watcher. The watchers
	// of a back end poll in turn as far as their clocks agree.
	watchInterval = 1500 * time.Millisecond
	// deadInterval is the time between two polls of a dead back end.
	deadInterval = 5 * time.Second
	// pollTimeout is how long a poll may stay unanswered before it counts as a
	// failure.
	pollTimeout = 600 * time.Millisecond
	// verdictTimeout is how long the other watchers have to say what they see:
	// pollTimeout and the way there and back.
	verdictTimeout = 700 * time.Millisecond
	// lonelyTimeout ends an inquiry that no other watcher has answered; by then
	// the membership has replaced watchers that died.
	lonelyTimeout = 6 * time.Second
	// recentAnswer is how long an answer speaks against another node's verdict.
	recentAnswer = 2 * time.Second
	// failuresUntilDead is the number of failed polls in a row, or of watchers
	// with one, that make a back end dead.
	failuresUntilDead = 2
	// answersUntilLive is the number of answers in a row that bring a dead back
	// end, or one that was leaving, back.
	answersUntilLive = 2

	// subscribedInterval is the shortest time between two polls of an engine
	// that is only subscribed to, and subscribedRate the largest number of such
	// polls a second.
	subscribedInterval = 2 * time.Second
	subscribedRate     = 4
	// subscribedBurst bounds the polls that a new subscription sends at once.
	subscribedBurst = 24
	// loadingInterval is the time between two polls of a subscribed engine that
	// loads a version.
	loadingInterval = time.Second

	// avoidFirst and avoidLongest bound how long this node avoids a back end
	// that it could not use while others can.
	avoidFirst   = time.Second
	avoidLongest = 10 * time.Second
	// alarmInterval is the shortest time between two messages of this node to
	// the watchers of one back end.
	alarmInterval = time.Second

	// listInterval is the longest time between two readings of the machine list
	// by the node of each zone that does so, and idleListInterval by the others.
	// A short list is read more often: every listPausePerLine times its length,
	// but not more often than every minListInterval.
	listInterval     = time.Minute
	listPausePerLine = 100 * time.Millisecond
	minListInterval  = 2 * time.Second
	idleListInterval = 30 * time.Minute
	// listRetry is the time between two attempts to read the first list.
	listRetry = time.Second

	// subsetSize is the number of servers of a service that one node uses, and
	// subsetCover how many nodes each server is to have at the least.
	subsetSize  = 8
	subsetCover = 2

	// maxBackends bounds the table. forgetAfter is how long a dead back end is
	// remembered.
	maxBackends = 8192
	forgetAfter = 2 * time.Hour
	// sweepInterval is the time between two searches for back ends to forget.
	sweepInterval = time.Minute
)
