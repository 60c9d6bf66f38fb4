package idempotency

import "time"

// ledger keeps what this node's attempts have come to for a key's lifetime, so
// that other coordinators that find a marker can ask.
type ledger struct {
	lifetime time.Duration
	entries  map[uint64]ledgerEntry
	// order holds the sequences in the order of their last change, with the
	// changes that came later still behind them.
	order []ledgerChange
}

type ledgerEntry struct {
	progress Progress
	expires  time.Time
}

type ledgerChange struct {
	sequence uint64
	expires  time.Time
}

func newLedger(lifetime time.Duration) *ledger {
	return &ledger{lifetime: lifetime, entries: make(map[uint64]ledgerEntry)}
}

func (l *ledger) put(now time.Time, attempt AttemptID, progress Progress) {
	expires := now.Add(l.lifetime)
	l.entries[attempt.Sequence] = ledgerEntry{progress: progress, expires: expires}
	l.order = append(l.order, ledgerChange{sequence: attempt.Sequence, expires: expires})
}

func (l *ledger) progress(attempt AttemptID) Progress {
	return l.entries[attempt.Sequence].progress
}

func (l *ledger) expire(now time.Time) {
	for len(l.order) > 0 && !now.Before(l.order[0].expires) {
		change := l.order[0]
		l.order = l.order[1:]
		if l.entries[change.sequence].expires.Equal(change.expires) {
			delete(l.entries, change.sequence)
		}
	}
}
