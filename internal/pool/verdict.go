package pool

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/membership"
)

// judgeAnswer publishes what an answer shows: that the back end is leaving, or
// that it is back.
func (m *Machine) judgeAnswer(e *entry) {
	leaving := e.report.Leaving
	switch {
	case leaving && e.state() == cluster.StateLive:
		m.setState(e, cluster.StateLeaving)
	case !e.watched() || e.answers < answersUntilLive:
		return
	case e.state() == cluster.StateDead && leaving:
		m.setState(e, cluster.StateLeaving)
	case e.state() == cluster.StateDead && !leaving:
		m.setState(e, cluster.StateLive)
	case e.state() == cluster.StateLeaving && !leaving && !e.rumor.Listed:
		m.setState(e, cluster.StateLive)
	}
}

// fail counts a poll without an answer. A watcher asks the others, and polls
// again at once.
func (m *Machine) fail(e *entry) {
	e.polledAt = time.Time{}
	e.answers = 0
	e.failures++
	m.answerAskers(e, false)
	if e.failures >= failuresUntilDead {
		m.avoid(e)
	}
	if !e.watched() || e.state() == cluster.StateDead {
		return
	}
	if e.inquiry.since.IsZero() {
		e.inquiry = inquiry{since: m.now}
		m.askWatchers(e, doubt{Backend: e.id(), Vote: true})
		m.poll(e)
	}
	m.decide(e)
}

// askWatchers sends a message to the other watchers.
func (m *Machine) askWatchers(e *entry, message doubt) {
	for _, node := range e.watchers {
		if node.ID != m.options.Self.ID {
			m.outbox.Add(machine.SendPeer{To: node.ID, Address: node.PeerAddress, Message: message})
		}
	}
}

// decide ends a watcher's inquiry: the back end is dead when enough polls have
// failed and no other watcher has reached it. A watcher that others contradict
// only avoids it for itself.
func (m *Machine) decide(e *entry) {
	if e.inquiry.since.IsZero() {
		return
	}
	if e.inquiry.answered > 0 {
		m.avoid(e)
		e.inquiry = inquiry{}
		return
	}
	waited := m.now.Sub(e.inquiry.since)
	heardAll := e.inquiry.failed >= len(e.watchers)-1
	enough := e.failures+e.inquiry.failed >= failuresUntilDead
	if enough && (heardAll || waited >= verdictTimeout) && m.mayJudge(e) {
		m.setState(e, cluster.StateDead)
		return
	}
	if waited >= lonelyTimeout {
		m.avoid(e)
		e.inquiry = inquiry{}
	}
}

// mayJudge reports whether this node's failures say something about the back end
// and not about its own network. Another watcher's failure is enough. A node that
// no other watcher answers waits for the membership to replace them, and one that
// has lost all its peers does not judge while most of its polls fail.
func (m *Machine) mayJudge(e *entry) bool {
	if e.inquiry.failed > 0 {
		return true
	}
	if len(e.watchers) > 1 {
		return false
	}
	if len(m.members) == 1 {
		return true
	}
	failing := 0
	for _, polled := range m.polled {
		if polled.failures > 0 {
			failing++
		}
	}
	return 2*failing <= len(m.polled)
}

// alarm asks the watchers of a back end to poll it at once.
func (m *Machine) alarm(e *entry) {
	if m.now.Sub(e.alarmedAt) < alarmInterval || e.state() == cluster.StateDead {
		return
	}
	e.alarmedAt = m.now
	if e.watched() {
		m.poll(e)
	}
	m.askWatchers(e, doubt{Backend: e.id()})
}

// handleDoubt polls a back end for another node.
func (m *Machine) handleDoubt(from cluster.NodeID, in doubt) {
	e := m.index[in.Backend]
	if e == nil {
		return
	}
	if in.Vote && !slices.Contains(e.askers, from) && len(e.askers) < len(m.members) {
		e.askers = append(e.askers, from)
	}
	m.poll(e)
}

// answerAskers tells the watchers that asked how a poll ended.
func (m *Machine) answerAskers(e *entry, answered bool) {
	for _, asker := range e.askers {
		at, found := slices.BinarySearchFunc(m.members, asker, func(known membership.Member, id cluster.NodeID) int {
			return cmp.Compare(known.ID, id)
		})
		if found {
			node := m.members[at].Node
			message := vote{Backend: e.id(), Answered: answered}
			m.outbox.Add(machine.SendPeer{To: node.ID, Address: node.PeerAddress, Message: message})
		}
	}
	e.askers = nil
}

// handleVote counts what another watcher saw.
func (m *Machine) handleVote(in vote) {
	e := m.index[in.Backend]
	if e == nil || e.inquiry.since.IsZero() {
		return
	}
	if in.Answered {
		e.inquiry.answered++
	} else {
		e.inquiry.failed++
	}
	m.decide(e)
}
