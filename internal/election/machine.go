// Package election elects a leader by means of a lease kept in the store: one node holds it, renews it by
// appending records, and loses it when the others have seen no renewal for its time to live. Claims and
// renewals are conditional appends at the expected end of the partition, so that a holder that was paused
// cannot renew over the claim of its successor.
package election

import (
	"encoding/json"
	"fmt"
	"time"

	"dalehook/internal/liveness"
)

// kind is the effect of a record on the lease.
type kind string

const (
	kindClaim   kind = "claim"
	kindRenew   kind = "renew"
	kindRelease kind = "release"
)

// entry is one record in the lease's partition.
type entry struct {
	Kind   kind
	Holder string
	// Address is where the holder answers liveness probes; only claims carry it.
	Address string `json:",omitempty"`
	// Asks is set in a claim if the holder requests a handover from its predecessor even where that one
	// released the lease. Builds that do not set it may not do so.
	Asks bool `json:",omitempty"`
	// Epoch is the offset of the holder's claim plus one; claims leave it empty.
	Epoch int64 `json:",omitempty"`
	// News is the holder's announcement to all nodes; nil if it announces nothing, as builds without this
	// field.
	News *Announcement `json:",omitempty"`
	// OpenMemory is the memory of the open jobs at the holder, in bytes; 0 if it is small, or not stated as by builds
	// without this field.
	OpenMemory int64 `json:",omitempty"`
}

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is the time without a renewal after which the lease can be claimed.
	TTL time.Duration
	// UnresponsiveTTL replaces TTL for a holder whose node repeatedly failed to answer.
	UnresponsiveTTL time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// SuspectAfter is the time without a renewal after which the holder is probed.
	SuspectAfter time.Duration
	// SafetyMargin is subtracted from TTL when the holder evaluates its own lease.
	SafetyMargin time.Duration
	// ClaimDelay is how long this process leaves a claimable lease to others that have more processor capacity
	// to lead with.
	ClaimDelay time.Duration
}

// Lease is the lease as its holder sees it.
type Lease struct {
	// Epoch rises with every claim and serves as the fencing token.
	Epoch int64
	// ClaimedAt is when the claim was confirmed.
	ClaimedAt time.Time
	// ExpiresAt is when the lease expires unless it is renewed.
	ExpiresAt time.Time
	// HasPredecessor is set if another process held the lease before.
	HasPredecessor bool
	// Contested is set if the predecessor may still run and act on the lease: it did not release it, and no
	// later process of its node has answered.
	Contested bool
	// HandoverFrom is the predecessor's lease, whose handover can be requested; zero unless that process yielded
	// or released the lease.
	HandoverFrom FormerLease
}

// SettledAt returns the time from which actions of the predecessor can no longer conflict with those of
// this process: immediately, unless the predecessor may still act or the epoch is not checked (not fenced),
// in which case it is after a pause.
func (l Lease) SettledAt(pause time.Duration, fenced bool) time.Time {
	if l.Contested || l.HasPredecessor && !fenced {
		return l.ClaimedAt.Add(pause)
	}
	return l.ClaimedAt
}

// FormerLease identifies a lease that its holder yielded or released.
type FormerLease struct {
	// Address is where the former holder answers.
	Address string
	Epoch   int64
}

// minUnanswered is the number of consecutive unanswered probes after which UnresponsiveTTL applies.
const minUnanswered = 2

// Machine is the state machine of one node's view of a lease. It does no I/O and must be used by one
// goroutine only.
type Machine struct {
	self    string
	address string
	timing  Timing

	// end is the offset after the last record that was read.
	end int64
	// holder is empty if the lease is free.
	holder string
	epoch  int64
	// renewalSeenAt is when the holder's last claim or renewal was read.
	renewalSeenAt time.Time
	// readFailedAt is when a read last failed. Time in which the store could not be read does not count against
	// the holder.
	readFailedAt time.Time
	renewedAt    time.Time
	ownLease     Lease
	resigning    bool
	// holderAddress is where the holder answers; holderRequestsHandover is set if the holder requests a handover
	// from its predecessor.
	holderAddress          string
	holderRequestsHandover bool
	// holderEnded is set if the holder's process appears to have ended, endConfirmed if a later process of its
	// node answered or the holder yielded.
	holderEnded, endConfirmed bool
	hasPredecessor, contested bool
	// unanswered counts consecutive unanswered probes of the holder.
	unanswered int
	// holderYielded is set if the holder has yielded; handoverFrom is the lease that the predecessor yielded or
	// released.
	holderYielded bool
	handoverFrom  FormerLease
	// yieldedEpoch is the epoch of the lease that this process has yielded; 0 for none.
	yieldedEpoch int64
	// caughtUp is set once the log has been read to its end. The age of the renewals before that is unknown.
	caughtUp bool
	// renewedSinceCaughtUp is set if a claim or renewal of the holder was read after that.
	renewedSinceCaughtUp bool
	// claimedBeforeCaughtUp is set if the holder's claim predates this process's first read to the end of the
	// log.
	claimedBeforeCaughtUp bool
	// startedAt is when this process started.
	startedAt time.Time
	// releasedAt is when a release was read; zero while the lease has a holder.
	releasedAt time.Time
	// claimableSince is when the lease was first found claimable; zero while it is not.
	claimableSince time.Time
	// predecessor held the lease before the last claim and answered at predecessorAddress.
	predecessor, predecessorAddress string
	// announcement is what this process announces while it holds the lease; announcedNext is the Next of its
	// last announcement.
	announcement  *Announcement
	announcedNext int64
	// received is the holder's last announcement; nil for none.
	received *ReceivedAnnouncement
	// openMemory is what this process states while it holds the lease, holderOpenMemory what the holder stated last.
	openMemory, holderOpenMemory int64
	// lastReadSentAt is when the last read that reached the end of the log was sent, and readAt when it
	// returned: records that a later read returns were appended after lastReadSentAt. See State for
	// readableSince.
	lastReadSentAt, readAt, readableSince time.Time
}

// NewMachine returns the state machine of a process called self. No other process may have that name, nor
// an earlier process of the same node. The process answers liveness probes at address.
func NewMachine(now time.Time, self, address string, timing Timing) *Machine {
	return &Machine{self: self, address: address, timing: timing, startedAt: now}
}

// Append is a record to append if the partition ends at ExpectedEnd.
type Append struct {
	ExpectedEnd int64
	Payload     []byte
	// Renews is set if the append extends a lease that is held.
	Renews       bool
	announcement *Announcement
}

// NextOffset returns the offset of the next record to read.
func (m *Machine) NextOffset() int64 { return m.end }

// Holder returns the name of the process that holds the lease, according to the records read so far.
func (m *Machine) Holder() string { return m.holder }

// State is a process's role in the election.
type State struct {
	Lease Lease
	// Held is set while the lease is in force.
	Held bool
	// Leading is set if this process's claim is the last one read and was not yielded, even if its lease may have expired.
	Leading bool
	// Coordinator is the address of the holder if that is another process not believed to have ended; otherwise
	// it is empty.
	Coordinator string
	// CoordinatorRequestsHandover is set if the coordinator requests a handover from its predecessor.
	CoordinatorRequestsHandover bool
	// Established is set if the holder is another process that held the lease before this process started and
	// has renewed it since: the fleet was already running.
	Established bool
	// Announcement is the coordinator's last announcement; nil if it announces nothing.
	Announcement *ReceivedAnnouncement
	// OpenMemory is the memory of the open jobs at the coordinator, as it stated last.
	OpenMemory int64
	// ReadAt is when the log was last read to its end. ReadableSince is the time since which every read has
	// succeeded; zero while reads fail.
	ReadAt, ReadableSince time.Time
}

// State returns this process's role in the election.
func (m *Machine) State(now time.Time) State {
	lease, held := m.Held(now)
	leading := m.holder == m.self && lease.Epoch == m.epoch && !lease.ClaimedAt.IsZero() && m.yieldedEpoch != m.epoch
	return State{Lease: lease, Held: held, Leading: leading, Coordinator: m.coordinator(), CoordinatorRequestsHandover: m.holderRequestsHandover, Established: m.established(), Announcement: m.received, OpenMemory: m.holderOpenMemory,
		ReadAt: m.readAt, ReadableSince: m.readableSince}
}

// coordinator returns the address of the other process that holds the lease, if known.
func (m *Machine) coordinator() string {
	if m.holder == "" || m.holder == m.self || m.holderEnded || m.unanswered > 0 {
		return ""
	}
	return m.holderAddress
}

func (m *Machine) established() bool {
	return m.claimedBeforeCaughtUp && m.renewedSinceCaughtUp && m.coordinator() != ""
}

// Held returns this process's lease and whether it is in force.
func (m *Machine) Held(now time.Time) (Lease, bool) {
	held := m.holder == m.self && m.ownLease.Epoch == m.epoch && m.yieldedEpoch != m.epoch && now.Before(m.ownLease.ExpiresAt)
	return m.ownLease, held
}

// HandleRecord applies the record at an offset.
func (m *Machine) HandleRecord(now time.Time, offset int64, payload []byte) error {
	m.end = offset + 1
	var record entry
	if err := json.Unmarshal(payload, &record); err != nil {
		return fmt.Errorf("decode a lease record at offset %d: %w", offset, err)
	}
	switch record.Kind {
	case kindClaim:
		m.hasPredecessor = m.epoch != 0
		m.contested = m.holder != "" && !m.endConfirmed
		m.handoverFrom = FormerLease{}
		if m.holderYielded || !m.releasedAt.IsZero() {
			m.handoverFrom = FormerLease{Address: m.holderAddress, Epoch: m.epoch}
		}
		m.clearSuspicion()
		m.releasedAt, m.claimableSince = time.Time{}, time.Time{}
		m.predecessor, m.predecessorAddress = m.holder, m.holderAddress
		m.holder = record.Holder
		m.holderAddress, m.holderRequestsHandover = record.Address, record.Asks
		m.renewedSinceCaughtUp = m.caughtUp
		m.claimedBeforeCaughtUp = !m.caughtUp
		m.epoch = offset + 1
		m.renewalSeenAt = now
		m.receive(now, record.News)
		m.holderOpenMemory = record.OpenMemory
	case kindRenew:
		if record.Holder == m.holder && record.Epoch == m.epoch {
			m.renewalSeenAt = now
			m.receive(now, record.News)
			m.holderOpenMemory = record.OpenMemory
			m.renewedSinceCaughtUp = m.caughtUp
			m.clearSuspicion()
		}
	case kindRelease:
		if record.Holder == m.holder && record.Epoch == m.epoch {
			m.holder = ""
			m.releasedAt = now
		}
	}
	return nil
}

// clearSuspicion discards the results of probing the holder.
func (m *Machine) clearSuspicion() {
	m.holderEnded, m.endConfirmed, m.holderYielded = false, false, false
	m.unanswered = 0
}

// HandleReadFailure records that the store could not be read.
func (m *Machine) HandleReadFailure(now time.Time) {
	m.readFailedAt, m.readableSince = now, time.Time{}
}

// HandleTrimmed continues at the first retained record.
func (m *Machine) HandleTrimmed(first int64) { m.end = max(m.end, first) }

// Resign makes the machine release the lease and never claim it again, because the process ends.
func (m *Machine) Resign() { m.resigning = true }

// SetOpenMemory sets the memory of open jobs that this process states while it holds the lease.
func (m *Machine) SetOpenMemory(bytes int64) { m.openMemory = bytes }

// Tick returns the record to append now, or nil. The log must have been read to its end.
func (m *Machine) Tick(now time.Time) *Append {
	// A claim of this process whose append got no answer is found in the log and renewed.
	if m.holder == m.self {
		return m.renewOrRelease(now)
	}
	m.updateClaimable(now)
	if m.resigning || m.claimableSince.IsZero() || m.ClaimIn(now) > 0 {
		return nil
	}
	return m.append(entry{Kind: kindClaim, Holder: m.self, Address: m.address, Asks: true, News: m.announcement, OpenMemory: m.openMemory}, false)
}

// updateClaimable records since when the lease can be claimed.
func (m *Machine) updateClaimable(now time.Time) {
	claimable := m.holder == "" || m.expired(now) || m.holderEnded
	switch {
	case !claimable:
		m.claimableSince = time.Time{}
	case m.claimableSince.IsZero():
		m.claimableSince = now
	}
}

func (m *Machine) renewOrRelease(now time.Time) *Append {
	if m.resigning || m.yieldedEpoch == m.epoch {
		return m.append(entry{Kind: kindRelease, Holder: m.self, Epoch: m.epoch}, false)
	}
	if now.Sub(m.renewedAt) < m.timing.RenewInterval && !m.hasNewAnnouncement() {
		return nil
	}
	return m.append(entry{Kind: kindRenew, Holder: m.self, Epoch: m.epoch, News: m.announcement, OpenMemory: m.openMemory}, true)
}

// Suspect returns the holder to probe: another process that has not renewed for longer than SuspectAfter,
// or not at all since this process started. The log must have been read to its end, which this also records
// in caughtUp.
func (m *Machine) Suspect(now time.Time) (holder, address string, suspect bool) {
	m.caughtUp = true
	if m.resigning || m.holder == "" || m.holder == m.self || m.holderAddress == "" || m.holderEnded {
		return "", "", false
	}
	return m.holder, m.holderAddress, !m.renewedSinceCaughtUp || now.Sub(m.renewalSeenAt) > m.timing.SuspectAfter
}

// SuspectIn returns the time until the holder becomes suspect; 0 if it already is, if there is no holder,
// and for the holder itself.
func (m *Machine) SuspectIn(now time.Time) time.Duration {
	if m.holder == "" || m.holder == m.self || !m.renewedSinceCaughtUp {
		return 0
	}
	return max(m.renewalSeenAt.Add(m.timing.SuspectAfter).Sub(now), 0)
}

// HandleVerdict takes the result of probing a holder. If its process appears to have ended, or has yielded,
// the lease can be claimed; a holder that runs nevertheless is fenced by the claim.
func (m *Machine) HandleVerdict(holder string, verdict liveness.Verdict) {
	if m.holder != holder {
		return
	}
	if verdict == liveness.Unknown {
		m.unanswered++
		return
	}
	m.unanswered = 0
	m.holderEnded = m.holderEnded || verdict != liveness.Alive
	m.endConfirmed = m.endConfirmed || verdict == liveness.Replaced || verdict == liveness.Yielded
	m.holderYielded = m.holderYielded || verdict == liveness.Yielded
}

// NoteYielded records that this process has yielded the lease of an epoch. It no longer acts on the lease
// and releases it unless another process has claimed it.
func (m *Machine) NoteYielded(epoch int64) { m.yieldedEpoch = epoch }

// Epoch returns the epoch of the lease, according to the records read so far.
func (m *Machine) Epoch() int64 { return m.epoch }

// After a release the youngest processes claim first: in a rolling restart they are the ones that are not
// stopped next.
const (
	// claimDelayDivisor divides the age of a process into the time for which it leaves a released lease to
	// younger ones, at most maxClaimDelay: processes from 40 s of age on wait equally long.
	claimDelayDivisor = 100
	maxClaimDelay     = 400 * time.Millisecond
)

// ClaimIn returns how long this process still leaves a claimable lease to others.
func (m *Machine) ClaimIn(now time.Time) time.Duration {
	var claimAt time.Time
	if !m.claimableSince.IsZero() {
		claimAt = m.claimableSince.Add(m.timing.ClaimDelay)
	}
	if !m.releasedAt.IsZero() {
		delay := min(m.releasedAt.Sub(m.startedAt)/claimDelayDivisor, maxClaimDelay)
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

// Predecessor returns the predecessor while this process holds a lease on which the predecessor may still
// act.
func (m *Machine) Predecessor() (holder, address string, mayAct bool) {
	mayAct = m.holder == m.self && m.ownLease.Epoch == m.epoch && m.ownLease.Contested && m.predecessorAddress != ""
	return m.predecessor, m.predecessorAddress, mayAct
}

// HandlePredecessorReplaced records that a later process of the predecessor's node has answered: the
// predecessor no longer acts.
func (m *Machine) HandlePredecessorReplaced(predecessor string) {
	if m.predecessor == predecessor {
		m.contested, m.ownLease.Contested = false, false
	}
}

func (m *Machine) expired(now time.Time) bool {
	ttl := m.timing.TTL
	if m.timing.UnresponsiveTTL > 0 && m.unanswered >= minUnanswered {
		ttl = m.timing.UnresponsiveTTL
	}
	return now.Sub(m.renewalSeenAt) > ttl && now.Sub(m.readFailedAt) > ttl
}

func (m *Machine) append(e entry, renews bool) *Append {
	payload, err := json.Marshal(e)
	if err != nil {
		panic(err) // an entry holds only text and numbers
	}
	return &Append{ExpectedEnd: m.end, Payload: payload, Renews: renews, announcement: e.News}
}

// HandleAppended records that an append sent at sentAt was stored at offset.
func (m *Machine) HandleAppended(now, sentAt time.Time, appended *Append, offset int64) {
	if err := m.HandleRecord(now, offset, appended.Payload); err != nil {
		return
	}
	if m.holder != m.self {
		return
	}
	if m.ownLease.Epoch != m.epoch || m.ownLease.ClaimedAt.IsZero() {
		m.ownLease = Lease{Epoch: m.epoch, ClaimedAt: now, HasPredecessor: m.hasPredecessor, Contested: m.contested, HandoverFrom: m.handoverFrom}
	}
	if appended.announcement != nil {
		m.announcedNext = appended.announcement.Next
	}
	m.renewedAt = sentAt
	m.ownLease.ExpiresAt = sentAt.Add(m.timing.TTL - m.timing.SafetyMargin)
}
