// Package election keeps a lease in the store: one node holds it, renews it by
// records, and loses it when the others have seen no renewal for its time to live.
// Claims and renewals are appended on the condition of the partition's end, so
// that a holder that was paused can not renew over its successor's claim.
package election

import (
	"encoding/json"
	"fmt"
	"time"

	"dalehook/internal/liveness"
)

// kind says what a record does to the lease.
type kind string

const (
	kindClaim   kind = "claim"
	kindRenew   kind = "renew"
	kindRelease kind = "release"
)

// entry is one record of the lease's partition.
type entry struct {
	Kind   kind
	Holder string
	// Address is where the holder answers whether it runs; claims bear it.
	Address string `json:",omitempty"`
	// Asks says, in a claim, that the holder asks its predecessor for what it leaves, also where that
	// released the lease. Builds that do not tell may not do so.
	Asks bool `json:",omitempty"`
	// Epoch is one more than the offset of the holder's claim; claims have none.
	Epoch int64 `json:",omitempty"`
	// News is what the holder tells all nodes; nil where it tells nothing, as do builds without it.
	News *News `json:",omitempty"`
}

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is the time without a renewal after which the lease may be claimed.
	TTL time.Duration
	// SilentTTL is the same for a holder whose node did not answer, several times over.
	SilentTTL time.Duration
	// Renewal is the time between renewals.
	Renewal time.Duration
	// Doubt is the time without a renewal after which the holder is asked whether
	// it still runs.
	Doubt time.Duration
	// Margin is taken off TTL where the holder judges its own lease.
	Margin time.Duration
	// Handicap is how long this process leaves a lease that may be claimed to others,
	// which can do more with it.
	Handicap time.Duration
}

// Lease is what a holder may rely on.
type Lease struct {
	// Epoch rises with every claim; it serves as the fencing token.
	Epoch int64
	// ClaimedAt is when the claim was known to stand.
	ClaimedAt time.Time
	// Until is when the lease runs out unless it is renewed.
	Until time.Time
	// Succeeded says that another process held the lease before.
	Succeeded bool
	// Contested says that the process before may still run and act on the lease:
	// it did not release it, nor did a later process of its node answer.
	Contested bool
	// Yielded says where the process before hands its work over; it is zero unless that
	// process yielded or released the lease.
	Yielded Yielded
}

// SettledAt returns from when on nothing that the process before does on the lease can meet
// what this one does: at once, unless that process may still act, or nobody checks the epoch
// (not fenced); then after a pause.
func (l Lease) SettledAt(pause time.Duration, fenced bool) time.Time {
	if l.Contested || l.Succeeded && !fenced {
		return l.ClaimedAt.Add(pause)
	}
	return l.ClaimedAt
}

// Yielded names a lease that its holder gave up.
type Yielded struct {
	// Address is where the holder answers.
	Address string
	Epoch   int64
}

// silentAnswers is how often in a row a holder's node must not have answered for the
// lease to end sooner.
const silentAnswers = 2

// Machine is one node's view of a lease. It does no I/O; it is used by one
// goroutine.
type Machine struct {
	self    string
	address string
	timing  Timing

	// end is the offset after the last record that was read.
	end int64
	// holder is empty when the lease is free.
	holder string
	epoch  int64
	// seenAt is when the last claim or renewal of the holder was read.
	seenAt time.Time
	// readFailedAt is when a read last failed. Time in which the store could not
	// be read does not count against the holder.
	readFailedAt time.Time
	renewedAt    time.Time
	held         Lease
	leaving      bool
	// holderAddress is where the holder answers; holderAsks says that it asks its predecessor for what
	// that leaves.
	holderAddress string
	holderAsks    bool
	// ended says that the holder's process seems to have ended, certain that a
	// later process of its node answered.
	ended, certain       bool
	succeeded, contested bool
	// silent counts the times in a row that the holder's node did not answer.
	silent int
	// yields says that the holder has yielded, yielded that the one before had.
	yields  bool
	yielded Yielded
	// gaveUp is the epoch of the lease that this process has yielded; 0 for none.
	gaveUp int64
	// caughtUp is set once the log was read to its end: how old the renewals before
	// that were is not known.
	caughtUp bool
	// heard says that a claim or renewal of the holder came since then.
	heard bool
	// heldBefore says that the holder's claim stood before this process read the log to its end.
	heldBefore bool
	// startedAt is when this process started.
	startedAt time.Time
	// releasedAt is when a release was read; zero while the lease has a holder.
	releasedAt time.Time
	// freeAt is when the lease was first found free to claim; zero while it is not.
	freeAt time.Time
	// predecessor held the lease before the last claim, and answered at
	// predecessorAddress.
	predecessor, predecessorAddress string
	// news is what this process tells while it holds the lease, told the Next of what it told last.
	news *News
	told int64
	// heardNews is the last that the holder told; nil for none.
	heardNews *Heard
	// endAsked is when the log was asked for that was read to its end last, at readAt: what is read later was
	// appended after that. See Standing for readSince.
	endAsked, readAt, readSince time.Time
}

// NewMachine returns the machine of a node called self, a name that no other
// process has, nor an earlier one of this node.
// It answers at address whether it runs.
func NewMachine(now time.Time, self, address string, timing Timing) *Machine {
	return &Machine{self: self, address: address, timing: timing, startedAt: now}
}

// Append is a record to append at End.
type Append struct {
	End     int64
	Payload []byte
	// Renews says that the append extends a lease that is held.
	Renews bool
	news   *News
}

// End returns the offset from which to read on.
func (m *Machine) End() int64 { return m.end }

// Holder returns the node that holds the lease, as far as was read.
func (m *Machine) Holder() string { return m.holder }

// Standing is a node's place in the election.
type Standing struct {
	Lease Lease
	// Held says that the lease is in force.
	Held bool
	// Leading says that this node claimed last, as far as was read, though its
	// lease may have run out.
	Leading bool
	// Coordinator is where the holder answers, while that is another process which is
	// not thought to have ended; else it is empty.
	Coordinator string
	// CoordinatorAsks says that the coordinator asks its predecessor for what that leaves.
	CoordinatorAsks bool
	// Established says that the holder is another process, which held the lease before this one
	// began, and has renewed it since: the fleet was running already.
	Established bool
	// News is what the coordinator told last; nil where it tells nothing.
	News *Heard
	// ReadAt is when the log was last read to its end, ReadSince since when all reads were answered; that is zero
	// while they are not.
	ReadAt, ReadSince time.Time
}

// Standing returns this node's place.
func (m *Machine) Standing(now time.Time) Standing {
	lease, held := m.Held(now)
	leading := m.holder == m.self && lease.Epoch == m.epoch && !lease.ClaimedAt.IsZero() && m.gaveUp != m.epoch
	return Standing{Lease: lease, Held: held, Leading: leading, Coordinator: m.coordinator(), CoordinatorAsks: m.holderAsks, Established: m.established(), News: m.heardNews,
		ReadAt: m.readAt, ReadSince: m.readSince}
}

// coordinator returns where another process answers that holds the lease, as far as is known.
func (m *Machine) coordinator() string {
	if m.holder == "" || m.holder == m.self || m.ended || m.silent > 0 {
		return ""
	}
	return m.holderAddress
}

func (m *Machine) established() bool { return m.heldBefore && m.heard && m.coordinator() != "" }

// Held returns the lease while this node may rely on it.
func (m *Machine) Held(now time.Time) (Lease, bool) {
	held := m.holder == m.self && m.held.Epoch == m.epoch && m.gaveUp != m.epoch && now.Before(m.held.Until)
	return m.held, held
}

// HandleRecord takes the record at an offset.
func (m *Machine) HandleRecord(now time.Time, offset int64, payload []byte) error {
	m.end = offset + 1
	var read entry
	if err := json.Unmarshal(payload, &read); err != nil {
		return fmt.Errorf("decode a lease record at offset %d: %w", offset, err)
	}
	switch read.Kind {
	case kindClaim:
		m.succeeded = m.epoch != 0
		m.contested = m.holder != "" && !m.certain
		m.yielded = Yielded{}
		if m.yields || !m.releasedAt.IsZero() {
			m.yielded = Yielded{Address: m.holderAddress, Epoch: m.epoch}
		}
		m.clearDoubt()
		m.releasedAt, m.freeAt = time.Time{}, time.Time{}
		m.predecessor, m.predecessorAddress = m.holder, m.holderAddress
		m.holder = read.Holder
		m.holderAddress, m.holderAsks = read.Address, read.Asks
		m.heard = m.caughtUp
		m.heldBefore = !m.caughtUp
		m.epoch = offset + 1
		m.seenAt = now
		m.hear(now, read.News)
	case kindRenew:
		if read.Holder == m.holder && read.Epoch == m.epoch {
			m.seenAt = now
			m.hear(now, read.News)
			m.heard = m.caughtUp
			m.clearDoubt()
		}
	case kindRelease:
		if read.Holder == m.holder && read.Epoch == m.epoch {
			m.holder = ""
			m.releasedAt = now
		}
	}
	return nil
}

// clearDoubt forgets what asking after the holder told.
func (m *Machine) clearDoubt() {
	m.ended, m.certain, m.yields = false, false, false
	m.silent = 0
}

// HandleReadFailure notes that the store could not be read.
func (m *Machine) HandleReadFailure(now time.Time) { m.readFailedAt, m.readSince = now, time.Time{} }

// HandleTrimmed continues at the first record that is kept.
func (m *Machine) HandleTrimmed(first int64) { m.end = max(m.end, first) }

// Leave makes the machine release the lease and claim it no more.
func (m *Machine) Leave() { m.leaving = true }

// Tick returns the record to append now, or nil. The log was read to its end.
func (m *Machine) Tick(now time.Time) *Append {
	// An own claim whose append got no answer is found in the log, and renewed.
	if m.holder == m.self {
		return m.keep(now)
	}
	m.noteFree(now)
	if m.leaving || m.freeAt.IsZero() || m.ClaimIn(now) > 0 {
		return nil
	}
	return m.append(entry{Kind: kindClaim, Holder: m.self, Address: m.address, Asks: true, News: m.news}, false)
}

// noteFree notes since when the lease may be claimed.
func (m *Machine) noteFree(now time.Time) {
	free := m.holder == "" || m.expired(now) || m.ended
	switch {
	case !free:
		m.freeAt = time.Time{}
	case m.freeAt.IsZero():
		m.freeAt = now
	}
}

func (m *Machine) keep(now time.Time) *Append {
	if m.leaving || m.gaveUp == m.epoch {
		return m.append(entry{Kind: kindRelease, Holder: m.self, Epoch: m.epoch}, false)
	}
	if now.Sub(m.renewedAt) < m.timing.Renewal && !m.hasNews() {
		return nil
	}
	return m.append(entry{Kind: kindRenew, Holder: m.self, Epoch: m.epoch, News: m.news}, true)
}

// Doubtful returns the holder to ask after: another process that was not heard of
// for longer than it takes to renew, or not at all since this process started. The
// log was read to its end.
func (m *Machine) Doubtful(now time.Time) (holder, address string, doubtful bool) {
	m.caughtUp = true
	if m.leaving || m.holder == "" || m.holder == m.self || m.holderAddress == "" || m.ended {
		return "", "", false
	}
	return m.holder, m.holderAddress, !m.heard || now.Sub(m.seenAt) > m.timing.Doubt
}

// DoubtIn returns the time until the holder is in doubt; 0 when it is, when there is
// none, and for the holder itself.
func (m *Machine) DoubtIn(now time.Time) time.Duration {
	if m.holder == "" || m.holder == m.self || !m.heard {
		return 0
	}
	return max(m.seenAt.Add(m.timing.Doubt).Sub(now), 0)
}

// HandleVerdict takes what asking after a holder told. Where its process seems to have
// ended, or has yielded, the lease may be claimed; a holder that runs all the same is
// fenced by the claim.
func (m *Machine) HandleVerdict(holder string, verdict liveness.Verdict) {
	if m.holder != holder {
		return
	}
	if verdict == liveness.Unknown {
		m.silent++
		return
	}
	m.silent = 0
	m.ended = m.ended || verdict != liveness.Alive
	m.certain = m.certain || verdict == liveness.Replaced || verdict == liveness.Yielded
	m.yields = m.yields || verdict == liveness.Yielded
}

// GiveUp notes that this process has yielded the lease of an epoch. It acts on it no more,
// and releases it if nobody has claimed it.
func (m *Machine) GiveUp(epoch int64) { m.gaveUp = epoch }

// Epoch returns that of the lease, as far as was read.
func (m *Machine) Epoch() int64 { return m.epoch }

// After a release the youngest processes claim first: where nodes are stopped and
// started in turn, they are the ones that are not stopped next.
const (
	claimDelayShare = 100
	claimDelayMost  = 400 * time.Millisecond
)

// ClaimIn returns how long this process leaves a free lease to others.
func (m *Machine) ClaimIn(now time.Time) time.Duration {
	var claimAt time.Time
	if !m.freeAt.IsZero() {
		claimAt = m.freeAt.Add(m.timing.Handicap)
	}
	if !m.releasedAt.IsZero() {
		delay := min(m.releasedAt.Sub(m.startedAt)/claimDelayShare, claimDelayMost)
		claimAt = later(claimAt, m.releasedAt.Add(delay))
	}
	if claimAt.IsZero() {
		return 0
	}
	return max(claimAt.Sub(now), 0)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Predecessor returns the process before, while this one holds a lease on which that
// process may still act.
func (m *Machine) Predecessor() (holder, address string, mayAct bool) {
	mayAct = m.holder == m.self && m.held.Epoch == m.epoch && m.held.Contested && m.predecessorAddress != ""
	return m.predecessor, m.predecessorAddress, mayAct
}

// HandlePredecessorReplaced notes that a later process of its node answered for the
// predecessor: it acts no more.
func (m *Machine) HandlePredecessorReplaced(predecessor string) {
	if m.predecessor == predecessor {
		m.contested, m.held.Contested = false, false
	}
}

func (m *Machine) expired(now time.Time) bool {
	lasts := m.timing.TTL
	if m.timing.SilentTTL > 0 && m.silent >= silentAnswers {
		lasts = m.timing.SilentTTL
	}
	return now.Sub(m.seenAt) > lasts && now.Sub(m.readFailedAt) > lasts
}

func (m *Machine) append(e entry, renews bool) *Append {
	payload, err := json.Marshal(e)
	if err != nil {
		panic(err) // an entry holds only text and numbers
	}
	return &Append{End: m.end, Payload: payload, Renews: renews, news: e.News}
}

// HandleAppended notes that an append which was sent at sentAt stands at offset.
func (m *Machine) HandleAppended(now, sentAt time.Time, appended *Append, offset int64) {
	if err := m.HandleRecord(now, offset, appended.Payload); err != nil {
		return
	}
	if m.holder != m.self {
		return
	}
	if m.held.Epoch != m.epoch || m.held.ClaimedAt.IsZero() {
		m.held = Lease{Epoch: m.epoch, ClaimedAt: now, Succeeded: m.succeeded, Contested: m.contested, Yielded: m.yielded}
	}
	if appended.news != nil {
		m.told = appended.news.Next
	}
	m.renewedAt = sentAt
	m.held.Until = sentAt.Add(m.timing.TTL - m.timing.Margin)
}
