package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/reward"
)

// complete takes an item whose text is whole: it is listed once it has its score, at
// once when it needs none.
func (m *Machine) complete(now time.Time, owner *item) {
	if owner.source.Reward == nil {
		m.finishScored(owner, "")
		return
	}
	owner.whole = true
	m.saveCheckpoint(now, owner, m.noRunName())
	m.rewards.Add(now, owner.name(), owner.source.Reward, owner.job.partition, owner.job.giveUpAt)
}

// name returns what the item's reward call goes by.
func (i *item) name() reward.Item {
	return reward.Item{Tenant: i.job.tenant, JobID: i.job.id, ItemID: i.source.ID}
}

// saveWholeTexts saves the texts that have waited long for their score once more, so
// that a successor makes the reward call and not the text.
func (m *Machine) saveWholeTexts(now time.Time) {
	if m.rewards.Len() == 0 {
		return
	}
	var due []*item
	for _, open := range m.jobs {
		for _, unscored := range open.items {
			waits := unscored.whole && !unscored.finished
			if waits && now.Sub(unscored.checkpointAt) >= checkpointInterval {
				due = append(due, unscored)
			}
		}
	}
	slices.SortFunc(due, func(a, b *item) int { return cmp.Compare(a.source.ID, b.source.ID) })
	for _, unscored := range due {
		m.saveCheckpoint(now, unscored, m.noRunName())
	}
}

// sendRewards sends the reward calls that there is room for.
func (m *Machine) sendRewards(now time.Time) {
	if m.resigned {
		return
	}
	sends := m.rewards.Next(now, func(partition int) bool { return m.isFresh(now, partition) })
	m.output.Rewards = append(m.output.Rewards, sends...)
}

// withdrawReward forgets the reward call of an item.
func (m *Machine) withdrawReward(owner *item) {
	if !owner.whole {
		return
	}
	if send := m.rewards.Remove(owner.name()); send != 0 {
		m.output.WithdrawnRewards = append(m.output.WithdrawnRewards, send)
	}
}

// HandleReward takes what a send of a reward call came to.
func (m *Machine) HandleReward(now time.Time, id reward.SendID, answer reward.Answer) reward.Verdict {
	name, verdict := m.rewards.HandleAnswer(now, id, answer)
	if owner := m.unscored(name); owner != nil {
		switch verdict {
		case reward.VerdictScored:
			m.finishScored(owner, answer.Score)
		case reward.VerdictDead:
			m.finishDead(owner)
		}
	}
	m.sendRewards(now)
	return verdict
}

// unscored returns an item that waits for its score, or nil.
func (m *Machine) unscored(name reward.Item) *item {
	open := m.jobs[name.JobID]
	if open == nil {
		return nil
	}
	owner := open.items[name.ItemID]
	if owner == nil || owner.finished {
		return nil
	}
	return owner
}
