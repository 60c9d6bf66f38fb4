package rollout

import (
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// While the log is down the owner mirrors its journal to the replicas that its
// claim names. An entry that a majority of them has is safe: a successor has to
// ask a majority before it acts, and a replica that was asked refuses lower
// epochs from then on.

// group returns the replicas of the owner's own claim.
func (s *step) group() [record.ReplicaCount]record.Replica {
	if len(s.claims) == 0 {
		return [record.ReplicaCount]record.Replica{}
	}
	return s.claims[len(s.claims)-1].replicas
}

// mirror sends what the replicas lack. It is quiet while nothing is missing.
func (m *Machine) mirror(now time.Time, s *step) {
	missing := !s.sure || slices.ContainsFunc(s.journal.entries, func(e *journalEntry) bool { return !e.safe })
	if !missing || (!s.journal.changed && now.Sub(s.journal.sentAt) < resendInterval) {
		return
	}
	s.journal.sentAt = now
	s.journal.changed = false
	s.journal.mirrored = true
	for i, replica := range s.group() {
		if replica.Node == "" {
			continue
		}
		message := s.mirrorMessage(i)
		if m.isSelf(replica.Node) {
			ack := m.replicaStore.mirror(now, message)
			m.takeAck(now, s, replica, ack)
			continue
		}
		m.sendTo(replica.Node, message)
	}
}

// mirrorMessage returns what one replica lacks.
func (s *step) mirrorMessage(replica int) Mirror {
	message := Mirror{Step: s.id, Epoch: s.epoch, First: s.journal.first(), Probe: s.journal.probe}
	for _, entry := range s.journal.entries {
		if entry.Serial > s.journal.acked[replica] {
			message.Entries = append(message.Entries, entry.MirrorEntry)
		}
	}
	return message
}

// handleMirrorAck takes a replica's answer.
func (m *Machine) handleMirrorAck(now time.Time, in machine.PeerMessage, ack MirrorAck) {
	s := m.steps[ack.Step]
	if s == nil || s.epoch != ack.Epoch || (s.phase != phaseOwning && s.phase != phaseRecovering) {
		return
	}
	m.takeAck(now, s, record.Replica{Node: in.From, Incarnation: in.FromIncarnation}, ack)
	m.advance(now, s)
}

// takeAck counts an answer of a replica of the owner's group.
func (m *Machine) takeAck(now time.Time, s *step, replica record.Replica, ack MirrorAck) {
	group := s.group()
	index := slices.Index(group[:], replica)
	if index < 0 {
		return
	}
	if ack.Promised > s.epoch {
		if s.sure {
			m.suspend(now, s) // somebody has claimed the step; the log will say so
		}
		return
	}
	s.journal.acked[index] = max(s.journal.acked[index], ack.Serial)
	s.journal.probed[index] = max(s.journal.probed[index], ack.Probe)
	members := countReplicas(group)
	if reached(s.journal.probed, group, members) >= s.journal.probe && s.journal.probe > 0 && m.environment.StoreDown() {
		s.sure = true
	}
	safe := reached(s.journal.acked, group, members)
	for _, entry := range slices.Clone(s.journal.entries) {
		if entry.Serial <= safe && !entry.safe {
			m.apply(now, s, entry, samplesOf(entry.MirrorEntry))
		}
	}
}

// countReplicas returns the number of replicas in a group.
func countReplicas(group [record.ReplicaCount]record.Replica) int {
	count := 0
	for _, replica := range group {
		if replica.Node != "" {
			count++
		}
	}
	return count
}

// reached returns the highest number that a majority of the group has reached.
func reached(numbers [record.ReplicaCount]uint64, group [record.ReplicaCount]record.Replica, members int) uint64 {
	var sorted []uint64
	for i, replica := range group {
		if replica.Node != "" {
			sorted = append(sorted, numbers[i])
		}
	}
	if members == 0 {
		return 0
	}
	slices.Sort(sorted)
	return sorted[members-majority(members)]
}

// suspend keeps a step from handing anything over until the log, or a majority
// of replicas, has shown that it is still this node's.
func (m *Machine) suspend(now time.Time, s *step) {
	s.sure = false
	s.unsureSince = now
	s.read.caughtUp = false
	s.journal.probe++
	s.journal.changed = true
}

// forgetMirrors tells the replicas what stands on the log. Entries that do not
// are kept under the owner's own epoch.
func (m *Machine) forgetMirrors(s *step) {
	message := MirrorForget{Step: s.id, Epoch: s.epoch, Serial: s.journal.first() - 1}
	var told []cluster.NodeID
	for _, earlier := range s.claims {
		if earlier.epoch < s.placedEpoch && earlier.epoch != s.epoch {
			continue
		}
		for _, replica := range earlier.replicas {
			if replica.Node == "" || slices.Contains(told, replica.Node) {
				continue
			}
			told = append(told, replica.Node)
			if m.isSelf(replica.Node) {
				m.replicaStore.forget(message)
				continue
			}
			m.sendTo(replica.Node, message)
		}
	}
}
