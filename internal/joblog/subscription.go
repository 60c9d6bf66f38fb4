package joblog

import (
	"context"

	"go.uber.org/zap"

	"dalehook/internal/batch"
)

// subscribe follows the partition for a subscriber until the term ends. The next term subscribes
// only after this one has ended. The check with the mutex held therefore keeps a late
// subscription from replacing that of a later term.
func (p *partition) subscribe(termCtx context.Context, subscriber Subscriber) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if termCtx.Err() != nil {
		return
	}
	p.subscriber = subscriber
	context.AfterFunc(termCtx, func() { p.unsubscribe(subscriber) })
	p.fold.Jobs(func(state *batch.State) {
		subscriber.HandleChange(p.at.Number, batch.Change{Accepted: state})
	})
	p.fold.EarlyEnds(func(end *batch.EarlyEnd) {
		subscriber.HandleChange(p.at.Number, batch.Change{EarlyEnd: end})
	})
	p.notify()
}

// unsubscribe ends a subscription unless another has replaced it.
func (p *partition) unsubscribe(subscriber Subscriber) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.subscriber == subscriber {
		p.subscriber = nil
	}
}

// follow reads the partition from the start of the first open job until the term ends. If the index
// can not be read, the partition is read from its start.
func (p *partition) follow(termCtx context.Context) {
	from, err := p.index.openOffset(termCtx)
	if err != nil {
		p.logger.Warn("partition read from its start", zap.Stringer("partition", p.at), zap.Error(err))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.followedLocked() {
		p.resetLocked(from)
	}
	p.retainLocked(termCtx)
}

// retainLocked keeps the partition followed until the term ends. The subscription may begin later
// than idleTimeout, after which the partition would be read again from its start.
func (p *partition) retainLocked(termCtx context.Context) {
	p.activeTerms++
	p.notify()
	context.AfterFunc(termCtx, p.release)
}

func (p *partition) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.activeTerms--
}

// followed reports whether the partition is being read from the start of the first open job or from
// an earlier offset.
func (p *partition) followed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.followedLocked()
}

// touchFollowed reports whether the partition is followed, and if so extends its idle timeout: an
// idle partition is reset even while a caller waits for it.
func (p *partition) touchFollowed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	followed := p.followedLocked()
	if followed {
		p.touchLocked()
	}
	return followed
}

func (p *partition) followedLocked() bool {
	return p.subscriber != nil || p.next > p.from || p.wanted()
}

// handleChange handles the change made by the record at an offset. The caller holds the mutex.
func (p *partition) handleChange(change batch.Change, offset int64) {
	p.setOffset(change)
	if p.dropCopy(change) {
		return
	}
	if p.subscriber == nil || change == (batch.Change{}) {
		return
	}
	p.subscriber.HandleChange(p.at.Number, change)
	if change.Ended != nil {
		p.reportOpenFrom(offset + 1)
	}
}

// setOffset sets the offset of a job or an early end that was just read. A job that ended first has that of its end.
func (p *partition) setOffset(change batch.Change) {
	switch {
	case change.Accepted != nil && !change.Accepted.EndedFirst:
		change.Accepted.Start = p.messageOffset
	case change.EarlyEnd != nil:
		change.EarlyEnd.Offset = p.messageOffset
	}
}

// dropCopy drops a job or an early end that was just read if the job begins before the offset at which the read began,
// and reports whether it did: it is a second copy of the job, or a repeated end.
func (p *partition) dropCopy(change batch.Change) bool {
	switch {
	case change.Accepted != nil && p.startsBeforeFollowedLocked(change.Accepted.Job.ID):
		p.fold.Drop(change.Accepted.Job.ID)
		return true
	case change.EarlyEnd != nil && p.startsBeforeFollowedLocked(change.EarlyEnd.Key.ID):
		p.fold.ForgetEnd(change.EarlyEnd.Key)
		return true
	}
	return false
}

// startsBeforeFollowed reports whether a job is known to begin before the offset at which the read
// began, so that reading on can not find it.
func (p *partition) startsBeforeFollowed(jobID string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.startsBeforeFollowedLocked(jobID)
}

// startsBeforeFollowedLocked is startsBeforeFollowed for callers that hold the mutex. A copy of such a
// job that is found later is a duplicate.
func (p *partition) startsBeforeFollowedLocked(jobID string) bool {
	if p.from == 0 {
		return false
	}
	start, known := p.index.lookUp(jobID)
	return known && start < p.from
}

// reportOpenFrom reports the offset of the first open job to the subscriber, or next if no job is
// open. The caller holds the mutex.
func (p *partition) reportOpenFrom(next int64) {
	openFrom := next
	p.fold.Jobs(func(state *batch.State) {
		if !state.Ended {
			openFrom = min(openFrom, state.Start)
		}
	})
	if openFrom > p.openFrom {
		p.openFrom = openFrom
		p.subscriber.HandleOpenFrom(p.at.Number, openFrom)
	}
}
