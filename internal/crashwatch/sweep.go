package crashwatch

import (
	"time"

	"dalehook/internal/quarantine"
)

// sweep drops expired state.
func (t *Tracker) sweep(now time.Time) {
	if !t.Active() {
		return
	}
	removesExpired := t.options.RemovesExpired()
	t.mutex.Lock()
	for _, disconnected := range t.disconnectedServers {
		if now.Sub(disconnected.firstBreakAt) > replacementTimeout {
			t.stopWatchingLocked(disconnected)
		}
	}
	for server, foundAt := range t.ended {
		if now.Sub(foundAt) > endedRetention {
			delete(t.ended, server)
		}
	}
	t.confirmLocked(now, removesExpired)
	changed := t.expireLocked(now, removesExpired)
	t.updateLocked()
	t.mutex.Unlock()
	if changed {
		t.signal()
	}
}

// confirmDelay is how long a request must be held as proven before later ends of other requests no
// longer weaken the proof: by then all nodes have reported what they were running at the last end.
const confirmDelay = time.Second

// confirmLocked confirms the proofs that are at least confirmDelay old. One node writes the
// confirmations to the store, for nodes that start later.
func (t *Tracker) confirmLocked(now time.Time, removesExpired bool) {
	for fingerprint, since := range t.heldSince {
		if now.Sub(since) >= confirmDelay && t.ledger.Confirm(fingerprint) && removesExpired {
			t.enqueueLocked(quarantine.End{Fingerprint: fingerprint, At: now})
		}
	}
}

// expireLocked drops the requests whose last end is older than the retention of the ledger.
func (t *Tracker) expireLocked(now time.Time, removesExpired bool) bool {
	expired := t.ledger.Expire(now)
	if removesExpired {
		t.retractLocked(expired)
		for _, end := range expired {
			t.enqueueRetractionLocked(confirmationOf(end.Fingerprint))
		}
	}
	return len(expired) > 0
}
