package crashwatch

import (
	"maps"
	"time"

	"dalehook/internal/quarantine"
)

// sweep drops what is no longer of use.
func (t *Tracker) sweep(now time.Time) {
	if !t.Active() {
		return
	}
	tidies := t.options.Tidies()
	t.mutex.Lock()
	for _, broken := range t.breaks {
		if now.Sub(broken.brokeAt) > listPatience {
			t.dropLocked(broken)
		}
	}
	for server, foundAt := range t.ended {
		if now.Sub(foundAt) > endedFor {
			delete(t.ended, server)
		}
	}
	t.confirmLocked(now, tidies)
	changed := t.forgetLocked(now, tidies) || t.ledger.HasUnclear()
	t.updateLocked()
	t.mutex.Unlock()
	if changed {
		t.signal()
	}
}

// confirmAfter is how long a proof has to stand before later ends of other requests no longer count
// against it: all nodes have told by then what they were running at the last end.
const confirmAfter = time.Second

// confirmLocked confirms the proofs that have stood for a while. One node writes that to the store, for
// nodes that start later.
func (t *Tracker) confirmLocked(now time.Time, tidies bool) {
	for fingerprint, since := range t.held {
		if now.Sub(since) >= confirmAfter && t.ledger.Confirm(fingerprint) && tidies {
			t.shareLocked(quarantine.End{Fingerprint: fingerprint, At: now})
		}
	}
}

// forgetLocked drops the requests under which no server has ended for long.
func (t *Tracker) forgetLocked(now time.Time, tidies bool) bool {
	expired := t.ledger.Expire(now)
	if tidies {
		t.unshareLocked(expired)
		for _, end := range expired {
			t.takeBackLocked(verdictOn(end.Fingerprint))
		}
	}
	maps.DeleteFunc(t.unshared, func(fingerprint quarantine.Fingerprint, _ bool) bool { return !t.ledger.Knows(fingerprint) })
	return len(expired) > 0
}
