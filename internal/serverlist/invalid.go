package serverlist

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/logs"
)

// invalidLogInterval is the time between two log lines about invalid server entries, which their writer may
// repeat constantly.
const invalidLogInterval = time.Second

// invalidEntries counts and logs the entries that are left out. It is safe for concurrent use.
type invalidEntries struct {
	logger *zap.Logger
	// observe is called for each entry; it may be nil.
	observe func()

	mutex    sync.Mutex
	loggedAt time.Time
}

// note records an entry that is left out.
func (i *invalidEntries) note(serverID string, err error) {
	if i.observe != nil {
		i.observe()
	}
	if i.mayLog(clock.Now()) {
		i.logger.Error("invalid server entry", zap.String("server", serverID), logs.QuotedError(err))
	}
}

func (i *invalidEntries) mayLog(now time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if now.Sub(i.loggedAt) < invalidLogInterval {
		return false
	}
	i.loggedAt = now
	return true
}
