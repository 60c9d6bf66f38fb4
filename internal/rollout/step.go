package rollout

import (
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// phase says what a node does about a step.
type phase int

const (
	// phaseLoading means that the node reads the step's log to its end.
	phaseLoading phase = iota
	// phaseAbsent means that no body stands on the step's log.
	phaseAbsent
	// phaseFollowing means that another node holds the step.
	phaseFollowing
	// phaseClaiming means that the node's claim is on its way.
	phaseClaiming
	// phaseRecovering means that the node holds the step and collects what the
	// holders before it had mirrored.
	phaseRecovering
	// phaseOwning means that the node runs the step.
	phaseOwning
)

// step is what one node knows of one step.
type step struct {
	id    string
	phase phase
	// phaseSince is when the phase began, touchedAt when the step was last
	// needed here.
	phaseSince time.Time
	touchedAt  time.Time
	fold       *record.Step
	read       logRead
	// claims are the valid claims on the log, in order.
	claims []claim
	// placedEpoch is the highest epoch with a valid placement: its holder had
	// recovered everything before it.
	placedEpoch record.Epoch
	// places holds the last placement on the log, and carried whether its engine
	// lacks the attempt's beginning, by sample.
	places  map[int]record.Placement
	carried map[int]bool
	// epoch is the node's own, in phaseRecovering and phaseOwning.
	epoch record.Epoch
	// handover is set when the step's holder asked this node to take over.
	handover *StepHandover
	claiming bool
	// claimID is the record id of the node's last claim.
	claimID record.ID
	// sure is cleared when the process was paused: its lease may be gone.
	sure        bool
	unsureSince time.Time

	body   record.StepBody
	demand record.RolloutDemand
	// named is the newest version that the trainer has named in a read.
	named cluster.Version
	// samples are the owner's, by index.
	samples []*sample
	// finished, failed and toPlace wait for the next record.
	finished []record.Result
	failed   []record.SampleFailure
	toPlace  []record.Placement
	lengths  lengths
	journal  journal
	recovery recovery
	reads    []*heldRead
	// readAt is when the trainer last read, ownedAt when this node took the
	// step, movesAt when stragglers were last looked for.
	readAt  time.Time
	ownedAt time.Time
	movesAt time.Time
	// handing is set while the step is being handed over: nothing new is started
	// or written. handedAt is when the step was last handed over to a successor.
	handing  bool
	handedAt time.Time
	// tailAt is when the director was last told of the step's last samples.
	tailAt time.Time
	// toldSettled is what the other nodes were last told of whether the step needs
	// no engine.
	toldSettled bool
	// acknowledged is set when a read presented a cursor that covers all.
	acknowledged bool
	closing      bool
	closedAt     time.Time
}

// claim is one valid claim of a step.
type claim struct {
	epoch    record.Epoch
	holder   cluster.NodeID
	replicas [record.ReplicaCount]record.Replica
}

// logRead is the read of a step's log that is on its way.
type logRead struct {
	outstanding bool
	from        uint64
	issuedAt    time.Time
	wait        time.Duration
	retryAt     time.Time
	failures    int
	// caughtUp is set when the last answer reached the log's end.
	caughtUp bool
}

// find returns the step, or begins to load it.
func (m *Machine) find(now time.Time, id string) *step {
	s := m.steps[id]
	if s == nil {
		s = &step{
			id:         id,
			fold:       record.NewStep(),
			places:     map[int]record.Placement{},
			carried:    map[int]bool{},
			sure:       true,
			phaseSince: now,
		}
		m.steps[id] = s
		m.order.insert(id)
	}
	s.touchedAt = now
	return s
}

// drop forgets a step.
func (m *Machine) drop(s *step) {
	delete(m.steps, s.id)
	m.order.remove(s.id)
}

// setPhase changes the phase.
func (s *step) setPhase(now time.Time, next phase) {
	s.phase = next
	s.phaseSince = now
}

// readLog asks for what is new on the step's log, unless that is on its way.
func (m *Machine) readLog(now time.Time, s *step, wait time.Duration) {
	if s.read.outstanding && now.Before(s.read.issuedAt.Add(s.read.wait+logReadGrace)) {
		return
	}
	if now.Before(s.read.retryAt) {
		return
	}
	s.read.outstanding = true
	s.read.from = s.fold.Offset() + 1
	s.read.issuedAt = now
	s.read.wait = wait
	m.send(machine.ReadLog{Log: record.StepLog(s.id), From: s.read.from, Wait: wait})
}

// followLog keeps a read of the log open, so that the owner sees its own records
// and a successor's claim at once.
func (m *Machine) followLog(now time.Time, s *step) {
	if !s.sure {
		m.readLog(now, s, 0)
		return
	}
	m.readLog(now, s, m.limits.LogWait)
}

// stepOfLog returns the step that a log belongs to.
func stepOfLog(log string) (string, bool) {
	return strings.CutPrefix(log, record.StepLog(""))
}

// HandleEntries takes what was read from a step's log.
func (m *Machine) HandleEntries(now time.Time, in machine.LogEntries) {
	m.observe(now)
	id, ok := stepOfLog(in.Log)
	s := m.steps[id]
	if !ok || s == nil {
		return
	}
	answersRead := s.read.outstanding && in.From == s.read.from
	if answersRead {
		s.read.outstanding = false
	}
	if in.Err != "" {
		s.read.failures++
		s.read.retryAt = now.Add(m.backoff(s.read.failures))
		return
	}
	s.read.failures = 0
	for _, entry := range in.Entries {
		change := s.fold.Apply(entry)
		if change.Reason == record.ReasonGap {
			m.gap(now, s, answersRead)
			return
		}
		if change.Reason != record.ReasonApplied {
			m.folded(now, s, entry, change)
		}
	}
	s.read.caughtUp = s.fold.Offset() >= in.End
	if answersRead && s.read.caughtUp && !s.read.issuedAt.Before(s.unsureSince) {
		s.sure = true
	}
	m.advance(now, s)
	m.movePending(now)
}

// gap acts on entries that do not follow on what was folded. In the answer to a
// loading node's own read it means that the log's beginning was removed.
func (m *Machine) gap(now time.Time, s *step, answersRead bool) {
	if answersRead && s.phase == phaseLoading {
		s.setPhase(now, phaseAbsent)
		m.serveReads(now, s)
	}
}

// folded acts on one entry of the step's log.
func (m *Machine) folded(now time.Time, s *step, entry record.Entry, change record.StepChange) {
	switch body := entry.Record.Body.(type) {
	case record.StepBody:
		if change.Valid && !change.Repeated {
			s.body = body
		}
	case record.LeaseClaimed:
		if change.Valid {
			m.claimFolded(now, s, entry, body)
		}
	case record.SamplesPlaced:
		if change.Valid {
			s.placedFolded(body)
		}
	case record.SamplesCommitted, record.SamplesRevoked, record.SamplesFailed:
		m.journalFolded(now, s, change)
	}
}

// placedFolded remembers where attempts run.
func (s *step) placedFolded(body record.SamplesPlaced) {
	s.placedEpoch = body.Epoch
	for _, placement := range body.Placements {
		s.places[placement.Sample] = placement
		s.carried[placement.Sample] = slices.Contains(body.Carried, placement.Sample)
	}
}
