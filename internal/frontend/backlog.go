package frontend

import (
	"sync"
	"time"

	"dalehook/internal/bytebudget"
	"dalehook/internal/clock"
)

const (
	// backlogShare is the share of the process's memory for the open jobs that a coordinator follows, if the settings
	// name none.
	backlogShare = 0.2
	// largeBacklogShare is the share of that which jobs may use that are not small, so that small ones find room
	// beside them. soleBacklogShare is what may be in use when a job is accepted that takes more than the rest, up to
	// soleBacklogFactor times the bound: a single job of the largest permitted size is accepted.
	largeBacklogShare = 0.75
	soleBacklogShare  = 0.1
	soleBacklogFactor = 2
	// visibleAfter is the time after which an accepted job is among those that the coordinator states: it reads and
	// states it within two renewals of its lease.
	visibleAfter = 2 * time.Second
	// minStatedMemory is the least memory of open jobs that a coordinator states: less is far from any node's bound.
	minStatedMemory = 1 << 20
)

// backlog bounds the memory of the open jobs. Every job is held by the coordinator until it is complete or ended,
// whichever node accepts it. It is safe for concurrent use. A nil backlog has no bound.
type backlog struct {
	// limit is the bound in bytes; 0 means none.
	limit int64
	// open returns the memory of the open jobs, as far as this node knows.
	open func() int64

	mutex sync.Mutex
	// recent are the jobs that were accepted within visibleAfter, recentBytes is their memory.
	recent      []acceptedJob
	recentBytes int64
}

// acceptedJob is a job that this node has accepted.
type acceptedJob struct {
	at    time.Time
	bytes int64
}

// admit reports whether a job of the given memory may be accepted, and if so counts it.
func (b *backlog) admit(bytes int64) bool {
	if b == nil || b.limit == 0 {
		return true
	}
	open := b.open()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := clock.Now()
	for len(b.recent) > 0 && now.Sub(b.recent[0].at) > visibleAfter {
		b.recentBytes -= b.recent[0].bytes
		b.recent = b.recent[1:]
	}
	if !b.fits(open+b.recentBytes, bytes) {
		return false
	}
	b.recent = append(b.recent, acceptedJob{at: now, bytes: bytes})
	b.recentBytes += bytes
	return true
}

// fits reports whether a job fits beside those that are open.
func (b *backlog) fits(open, bytes int64) bool {
	limit := float64(b.limit)
	switch {
	case bytes <= bytebudget.SmallBytes:
		return float64(open+bytes) <= limit
	case float64(open) <= soleBacklogShare*limit:
		return float64(bytes) <= soleBacklogFactor*limit
	}
	return float64(open+bytes) <= largeBacklogShare*limit
}

// openMemory returns the memory of the open jobs, as far as this node knows: those that it follows, or those that the
// coordinator has stated.
func (n *Node) openMemory() int64 {
	stated := int64(0)
	if state := n.electionState.Load(); state != nil && !state.Leading {
		stated = state.OpenMemory
	}
	return max(stated, n.jobLogs.OpenMemory())
}

// statedMemory returns the memory of open jobs that this node states as the coordinator.
func (n *Node) statedMemory() int64 {
	if open := n.jobLogs.OpenMemory(); open >= minStatedMemory {
		return open
	}
	return 0
}

// backlogMB returns the memory for open jobs, in MB; 0 if it has no bound.
func (s *Settings) backlogMB() int {
	if s.Clients.BacklogMB > 0 {
		return s.Clients.BacklogMB
	}
	return int(backlogShare * float64(s.MemoryMB))
}
