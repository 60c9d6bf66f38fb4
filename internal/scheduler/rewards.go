package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dalehook/internal/reward"
)

// completeText handles an item whose text is complete. Its result is recorded when it has its
// score, or at once if it needs none.
func (m *Machine) completeText(now time.Time, owner *item) {
	if owner.source.Reward == nil {
		m.recordCompleted(owner, "")
		return
	}
	owner.textComplete = true
	owner.waitingSince = now
	m.saveCheckpoint(now, owner, m.detachedRunName())
	m.rewards.Add(now, owner.rewardItem(), owner.source.Reward, owner.job.partition, owner.job.expiresAt)
}

// rewardItem returns the key of the item's reward call.
func (i *item) rewardItem() reward.Item {
	return reward.Item{Tenant: i.job.tenant, JobID: i.job.id, ItemID: i.source.ID}
}

// saveUnscoredTexts saves texts that have waited long for their score again, so that a successor
// only has to repeat the reward call.
func (m *Machine) saveUnscoredTexts(now time.Time) {
	if m.rewards.Len() == 0 {
		return
	}
	var due []*item
	for _, job := range m.jobs {
		for _, unscored := range job.items {
			pending := unscored.textComplete && !unscored.finished
			if pending && now.Sub(unscored.checkpointAt) >= checkpointInterval {
				due = append(due, unscored)
			}
		}
	}
	slices.SortFunc(due, func(a, b *item) int { return cmp.Compare(a.source.ID, b.source.ID) })
	for _, unscored := range due {
		m.saveCheckpoint(now, unscored, m.detachedRunName())
	}
}

// sendRewards sends the reward calls that there is capacity for.
func (m *Machine) sendRewards(now time.Time) {
	if m.stopped {
		return
	}
	sends := m.rewards.Next(now, func(partition int) bool { return m.isFresh(now, partition) })
	m.output.Rewards = append(m.output.Rewards, sends...)
}

// withdrawReward removes the reward call of an item.
func (m *Machine) withdrawReward(owner *item) {
	if !owner.textComplete {
		return
	}
	if send := m.rewards.Remove(owner.rewardItem()); send != 0 {
		m.output.WithdrawnRewards = append(m.output.WithdrawnRewards, send)
	}
}

// HandleReward processes the outcome of a sent reward call.
func (m *Machine) HandleReward(now time.Time, id reward.SendID, answer reward.Answer) reward.Verdict {
	name, verdict := m.rewards.HandleAnswer(now, id, answer)
	if owner := m.unscoredItem(name); owner != nil {
		switch verdict {
		case reward.VerdictScored:
			m.recordCompleted(owner, answer.Score)
		case reward.VerdictDead:
			m.recordDead(owner)
		}
	}
	m.sendRewards(now)
	return verdict
}

// unscoredItem returns an item that waits for its score, or nil.
func (m *Machine) unscoredItem(name reward.Item) *item {
	job := m.jobs[name.JobID]
	if job == nil {
		return nil
	}
	owner := job.items[name.ItemID]
	if owner == nil || owner.finished {
		return nil
	}
	return owner
}
