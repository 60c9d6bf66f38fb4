package rollout

import (
	"cmp"
	"time"
)

// Limits bound the time and the memory that a Machine uses. A zero field takes
// its default.
type Limits struct {
	// PostTimeout is how long a post waits before it is answered with an unknown
	// outcome.
	PostTimeout time.Duration
	// MaxPosts bounds the posts that wait for the log at one node.
	MaxPosts int
	// MaxOpenSteps bounds the open steps of the cluster.
	MaxOpenSteps int
	// MaxTrainerSteps bounds the open steps of one trainer.
	MaxTrainerSteps int
	// MaxReads bounds the reads that are open at one node.
	MaxReads int
	// MaxWait bounds the time that a read is held.
	MaxWait time.Duration
	// MaxAnswerSamples and MaxAnswerBytes bound one answer to a read.
	MaxAnswerSamples int
	MaxAnswerBytes   int
	// OwnerTimeout is how long a read waits for a step's owner to be found.
	OwnerTimeout time.Duration
	// LogWait is how long the log may hold back the answer to a read.
	LogWait time.Duration
	// PauseThreshold is the time between two inputs from which on the process
	// counts as paused, so that its leases may have been taken over.
	PauseThreshold time.Duration
	// StallTimeout is the time without a chunk after which a stream counts as
	// cut.
	StallTimeout time.Duration
	// MaxAttempts bounds the attempts of one sample that start from nothing.
	MaxAttempts int
	// ClosedRetention is how long the state of a closed step stays in memory.
	ClosedRetention time.Duration
	// IdleRetention is how long a finished step waits for its trainer to read
	// before it is closed.
	IdleRetention time.Duration
	// ReplicaRetention is how long a replica keeps entries of a step that it
	// hears nothing of.
	ReplicaRetention time.Duration
	// MaxReplicaBytes bounds the memory for the entries of other owners.
	MaxReplicaBytes int
	// LeaveGrace is how long a planned stop lets the last samples of a step run
	// before the step is handed over.
	LeaveGrace time.Duration
}

// The times of the protocol between nodes, and other fixed sizes.
const (
	// scanInterval is the time between two looks at which steps to own.
	scanInterval = 250 * time.Millisecond
	// resendInterval is the time after which an unanswered message goes out
	// again.
	resendInterval = 300 * time.Millisecond
	// readPingInterval is the time between two signs of life of a held read.
	readPingInterval = time.Second
	// logReadGrace is added to a log read's wait before it counts as lost.
	logReadGrace = 5 * time.Second
	// moveInterval is the time between two looks for stragglers to move.
	moveInterval = 500 * time.Millisecond
	// engineGrace is how long a new owner waits to hear of the engine that runs
	// an attempt before it gives the attempt up.
	engineGrace = 2 * time.Second
	// reportGrace is how long a new owner waits for the reports of its engines
	// before it places samples on those that it knows.
	reportGrace = 300 * time.Millisecond
	// eventGrace is how long a step waits for an event that names its demand.
	eventGrace = 30 * time.Second
	// claimTimeout is how long the append of a claim is tried. A claim that comes
	// later is void or, at worst, makes this node claim again.
	claimTimeout = 10 * time.Second
	// shortRetryAfter is the Retry-After of errors that pass by themselves.
	shortRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while the log is down.
	storeRetryAfter = 5 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.PostTimeout = cmp.Or(l.PostTimeout, 10*time.Second)
	l.MaxPosts = cmp.Or(l.MaxPosts, 64)
	l.MaxOpenSteps = cmp.Or(l.MaxOpenSteps, 3072)
	l.MaxTrainerSteps = cmp.Or(l.MaxTrainerSteps, 64)
	l.MaxReads = cmp.Or(l.MaxReads, 1024)
	l.MaxWait = cmp.Or(l.MaxWait, time.Minute)
	l.MaxAnswerSamples = cmp.Or(l.MaxAnswerSamples, 256)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, 4<<20)
	l.OwnerTimeout = cmp.Or(l.OwnerTimeout, 3*time.Second)
	l.LogWait = cmp.Or(l.LogWait, 2*time.Second)
	l.PauseThreshold = cmp.Or(l.PauseThreshold, time.Second)
	l.StallTimeout = cmp.Or(l.StallTimeout, 20*time.Second)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 32)
	l.ClosedRetention = cmp.Or(l.ClosedRetention, time.Minute)
	l.IdleRetention = cmp.Or(l.IdleRetention, time.Hour)
	l.ReplicaRetention = cmp.Or(l.ReplicaRetention, 2*time.Hour)
	l.MaxReplicaBytes = cmp.Or(l.MaxReplicaBytes, 256<<20)
	l.LeaveGrace = cmp.Or(l.LeaveGrace, 2*time.Second)
	return l
}
