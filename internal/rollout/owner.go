package rollout

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/logwriter"
	"dalehook/internal/machine"
	"dalehook/internal/placement"
	"dalehook/internal/record"
)

// candidates returns the nodes that may own steps: the live members of the view,
// or all live nodes while no view names one of them.
func (m *Machine) candidates() []cluster.Node {
	live := m.environment.LiveNodes()
	view := m.environment.Control().View()
	members := slices.DeleteFunc(slices.Clone(live), func(node cluster.Node) bool {
		_, ok := view.Find(node.ID)
		return !ok
	})
	if len(members) == 0 {
		return live
	}
	return members
}

// preferred returns the node on which placement puts a step. All open steps of
// one trainer go to one node, which runs the oldest first.
func (m *Machine) preferred(id string) (cluster.Node, bool) {
	key := id
	if open, ok := m.environment.Control().Step(id); ok {
		key = "trainer/" + open.Event + "/" + open.Trainer
	}
	return placement.Owner(m.candidates(), key)
}

// isSelf reports whether a node is this process.
func (m *Machine) isSelf(id cluster.NodeID) bool { return id == m.self.ID }

// holderAlive reports whether the holder in force still lives, as far as this
// node knows.
func (m *Machine) holderAlive(lease record.Lease) bool {
	if lease.Epoch == 0 {
		return false
	}
	if m.isSelf(lease.Holder) {
		return false // an owner does not ask; the state of that lease is gone
	}
	node, known := m.environment.Node(lease.Holder)
	return known && node.Incarnation == lease.Incarnation && m.environment.Alive(lease.Holder)
}

// wants reports whether this node is to hold the step.
func (m *Machine) wants(s *step) bool {
	if m.leaving {
		return false
	}
	if s.handover != nil && s.handover.Epoch == s.fold.Epoch() {
		return true
	}
	if m.isSelf(s.fold.Holder()) {
		return true // it held the step before and let go of its state
	}
	node, ok := m.preferred(s.id)
	return ok && m.isSelf(node.ID)
}

// advance moves a step on from its present phase as far as it can go.
func (m *Machine) advance(now time.Time, s *step) {
	switch s.phase {
	case phaseLoading, phaseAbsent, phaseFollowing:
		m.decide(now, s)
	case phaseClaiming:
		m.checkClaim(now, s)
	case phaseRecovering:
		m.recover(now, s)
	case phaseOwning:
		m.followLog(now, s)
		m.flushJournal(now, s)
	}
	m.advancePost(now, s)
	m.serveReads(now, s)
}

// decide chooses between following a holder and claiming the step.
func (m *Machine) decide(now time.Time, s *step) {
	if !s.read.caughtUp {
		m.readLog(now, s, 0)
		return
	}
	if _, ok := s.fold.Body(); !ok {
		if s.phase != phaseAbsent {
			s.setPhase(now, phaseAbsent)
		}
		return
	}
	lease := s.fold.Lease()
	handedOver := s.handover != nil && s.handover.Epoch == lease.Epoch
	if m.wants(s) && (handedOver || !m.holderAlive(lease)) && m.needed(s) {
		m.claim(now, s)
		return
	}
	if s.phase != phaseFollowing {
		s.setPhase(now, phaseFollowing)
	}
	if m.holderAlive(lease) {
		m.hints.set(s.id, ownerHint{node: lease.Holder, incarnation: lease.Incarnation, epoch: lease.Epoch})
	}
}

// needed reports whether somebody has to own the step: it is open, or a trainer
// reads it after its end.
func (m *Machine) needed(s *step) bool {
	_, open := m.environment.Control().Step(s.id)
	return open || len(s.reads) > 0 || s.handover != nil
}

// claim asks for the step's lease.
func (m *Machine) claim(now time.Time, s *step) {
	if s.claiming || m.environment.StoreDown() {
		return
	}
	s.claiming = true
	if s.phase != phaseOwning {
		s.setPhase(now, phaseClaiming)
	}
	body := record.LeaseClaimed{
		Duty:        record.DutyStep,
		Holder:      m.self.ID,
		Incarnation: m.self.Incarnation,
		Supersedes:  s.fold.Epoch(),
		Replicas:    m.replicas(s.id),
	}
	s.claimID = m.writer.Append(now, record.StepLog(s.id), body, func(now time.Time, result logwriter.Result) {
		s.claiming = false
		if m.steps[s.id] != s {
			return
		}
		s.read.caughtUp = false
		if result.Outcome != logwriter.Done && s.phase == phaseClaiming {
			s.setPhase(now, phaseLoading)
		}
		m.advance(now, s)
	}, logwriter.GiveUpAfter(claimTimeout))
}

// replicas returns the step's replica group by the view in force.
func (m *Machine) replicas(id string) [record.ReplicaCount]record.Replica {
	view := m.environment.Control().View()
	if len(view.Members) == 0 {
		view.Members = m.environment.LiveNodes()
	}
	var group [record.ReplicaCount]record.Replica
	for i, node := range placement.Group(view, id) {
		group[i] = record.Replica{Node: node.ID, Incarnation: m.incarnation(node)}
	}
	return group
}

// incarnation returns the present life of a member of the view, which may have
// been replaced since the view was published.
func (m *Machine) incarnation(member cluster.Node) cluster.Incarnation {
	if m.isSelf(member.ID) {
		return m.self.Incarnation
	}
	if node, known := m.environment.Node(member.ID); known {
		return node.Incarnation
	}
	return member.Incarnation
}

// claimFolded acts on a valid claim on the step's log.
func (m *Machine) claimFolded(now time.Time, s *step, entry record.Entry, body record.LeaseClaimed) {
	epoch := record.Epoch(entry.Offset)
	s.claims = append(s.claims, claim{epoch: epoch, holder: body.Holder, replicas: body.Replicas})
	s.handover = s.handover.after(epoch, body.Supersedes)
	mine := entry.Record.ID == s.claimID
	switch {
	case mine && s.phase == phaseOwning:
		s.epoch = epoch // the claim was renewed for a new replica group
		s.journal.renew()
	case mine:
		m.beginRecovery(now, s, epoch)
	case s.phase == phaseOwning || s.phase == phaseRecovering:
		m.stepDown(now, s)
	}
}

// after returns the handover as it stands after a claim: one that is older than
// the handover, or that answers it, leaves it as it is, and a later one ends it.
func (h *StepHandover) after(claimed, superseded record.Epoch) *StepHandover {
	if h == nil || claimed <= h.Epoch || superseded == h.Epoch {
		return h
	}
	return nil
}

// checkClaim sees whether another node's claim came first.
func (m *Machine) checkClaim(now time.Time, s *step) {
	if s.claiming || !s.read.caughtUp {
		m.readLog(now, s, 0)
		return
	}
	s.setPhase(now, phaseLoading)
	m.decide(now, s)
}

// stepDown gives up a step that another node holds now. What runs is the new
// holder's: nothing is cancelled, and nothing more is answered from here.
func (m *Machine) stepDown(now time.Time, s *step) {
	s.setPhase(now, phaseFollowing)
	s.epoch = 0
	s.samples = nil
	s.finished = nil
	s.failed = nil
	s.toPlace = nil
	s.journal = journal{}
	s.recovery = recovery{}
	s.handover = nil
	s.closing = false
	s.handing = false
	m.subscribe()
}

// begin starts to run a step whose log is complete and whose earlier holders
// were asked for what they had mirrored.
func (m *Machine) begin(now time.Time, s *step) {
	s.body, _ = s.fold.Body()
	m.loadDemand(s)
	s.setPhase(now, phaseOwning)
	s.ownedAt = now
	s.samples = make([]*sample, len(s.body.Samples))
	for index := range s.body.Samples {
		s.samples[index] = m.takeOver(now, s, index)
	}
	m.applyMirrored(now, s)
	m.takeFinished(s)
	s.lengths = m.learned.forTrainer(trainerKey{event: s.body.Event, trainer: s.body.Trainer}, s.demand)
	m.forgetMirrors(s)
	s.handover = nil
	m.subscribe()
	m.announce(s)
	m.followLog(now, s)
	m.schedule(now)
	m.serveReads(now, s)
}

// takeOver returns a sample as the log and the step's last holder leave it.
func (m *Machine) takeOver(now time.Time, s *step, index int) *sample {
	p := &sample{index: index}
	s.sync(p)
	if p.ended() {
		return p
	}
	revoked, _ := s.fold.Revoked(index)
	place, placed := s.places[index]
	if !placed || place.Attempt <= revoked {
		p.attempt = revoked + 1
		return p
	}
	p.attempt = place.Attempt
	p.engine = place.Engine
	p.startedAt = now
	if !s.carried[index] {
		p.resume = true
		return p
	}
	if progress, ok := s.handover.progress(p); ok {
		p.text.WriteString(progress.Text)
		p.segments = slices.Clone(progress.Segments)
		p.tokens = progress.Segments[len(progress.Segments)-1].ToToken
		p.carried = p.tokens
		p.stay = true
		return p
	}
	p.attempt++ // what the first engine produced is lost with the last holder
	return p
}

// sync sets a sample's state to what stands on the log.
func (s *step) sync(p *sample) {
	if failure, _, ok := s.fold.Failed(p.index); ok {
		p.state, p.failure = sampleFailed, failure
		return
	}
	if result, _, ok := s.fold.Committed(p.index); ok {
		p.state, p.result = sampleCommitted, result
	}
}

// announce tells every node who holds the step.
func (m *Machine) announce(s *step) {
	m.hints.set(s.id, ownerHint{node: m.self.ID, incarnation: m.self.Incarnation, epoch: s.epoch})
	for _, node := range m.environment.LiveNodes() {
		if !m.isSelf(node.ID) {
			m.sendTo(node.ID, OwnerAnnounced{Step: s.id, Epoch: s.epoch})
		}
	}
}

// scan looks for steps that this node is to own, and lets go of those that
// nobody needs here.
func (m *Machine) scan(now time.Time) {
	if now.Before(m.scanAt) {
		return
	}
	m.scanAt = now.Add(scanInterval)
	for _, open := range m.environment.Control().Steps() {
		if m.steps[open.Step] == nil && m.wantsOpen(open.Step) {
			m.advance(now, m.find(now, open.Step))
		}
	}
	for _, s := range m.all() {
		m.scanStep(now, s)
	}
	m.subscribe()
}

// wantsOpen reports whether this node is to look at an open step that it does
// not know: it is preferred, and no other holder is known to live.
func (m *Machine) wantsOpen(id string) bool {
	if m.leaving {
		return false
	}
	if hint, ok := m.hints.get(id); ok && !m.isSelf(hint.node) && m.hintAlive(id, hint) {
		return false
	}
	node, ok := m.preferred(id)
	return ok && m.isSelf(node.ID)
}

// scanStep keeps one step moving and drops it once it is not needed here.
func (m *Machine) scanStep(now time.Time, s *step) {
	switch s.phase {
	case phaseOwning:
		m.followLog(now, s)
		m.renewClaim(now, s)
		return
	case phaseLoading, phaseClaiming, phaseRecovering:
		m.advance(now, s)
	case phaseAbsent, phaseFollowing:
		m.recheck(now, s)
	}
	idle := now.Sub(s.touchedAt) > m.limits.OwnerTimeout
	if idle && len(s.reads) == 0 && m.posts[s.id] == nil && s.phase <= phaseFollowing {
		m.drop(s)
	}
}

// recheck reads the log again when this node would have to take over.
func (m *Machine) recheck(now time.Time, s *step) {
	if s.phase == phaseFollowing && m.holderAlive(s.fold.Lease()) && s.handover == nil {
		return
	}
	if !m.needed(s) || (s.phase == phaseFollowing && !m.wants(s)) {
		return
	}
	s.read.caughtUp = false
	m.readLog(now, s, 0)
}

// renewClaim claims the step again once a replica of its group is gone for good,
// so that the group can take a majority when the log goes down.
func (m *Machine) renewClaim(now time.Time, s *step) {
	last := len(s.claims) - 1
	idle := s.journal.empty() && !s.claiming && !m.environment.StoreDown() && s.sure
	if last < 0 || !idle || m.leaving || now.Sub(s.phaseSince) < m.limits.OwnerTimeout {
		return
	}
	lost := slices.ContainsFunc(s.claims[last].replicas[:], m.lost)
	if lost && m.replicas(s.id) != s.claims[last].replicas {
		s.setPhase(now, phaseOwning)
		m.claim(now, s)
	}
}

// lost reports whether a replica's memory is gone for good: its node was
// replaced, or it is neither alive nor a member of the view.
func (m *Machine) lost(replica record.Replica) bool {
	if replica.Node == "" {
		return false
	}
	if m.isSelf(replica.Node) {
		return replica.Incarnation != m.self.Incarnation
	}
	if node, known := m.environment.Node(replica.Node); known && node.Incarnation > replica.Incarnation {
		return true
	}
	_, member := m.environment.Control().View().Find(replica.Node)
	return !member && !m.environment.Alive(replica.Node)
}

// bound returns the step's staleness bound in versions.
func (s *step) bound() int64 { return s.demand.StalenessBound }

// newest returns the newest version that this node knows of the step's model,
// by the log or by the trainer's own word.
func (m *Machine) newest(s *step) cluster.Version {
	return max(m.environment.Control().Newest(s.demand.Model), s.named)
}

// Status lists the steps that this node owns, sorted by step.
func (m *Machine) Status() []machine.StepStatus {
	var list []machine.StepStatus
	for _, s := range m.all() {
		if s.phase != phaseOwning {
			continue
		}
		status := machine.StepStatus{Step: s.id, Epoch: s.epoch, Samples: len(s.samples)}
		for _, p := range s.samples {
			switch p.state {
			case sampleCommitted, sampleFailed:
				status.Committed++
			case sampleRunning:
				status.Running++
			}
		}
		list = append(list, status)
	}
	return list
}
