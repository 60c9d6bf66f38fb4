package joblog

import (
	"context"

	"go.uber.org/zap"

	"dalehook/internal/batch"
)

// subscribe follows the partition for a subscriber until the term ends. Whoever subscribes next
// does so after the end of the term before. The check, which is made with the mutex held, thus
// keeps a subscription that comes late from replacing that of a later term.
func (p *partition) subscribe(term context.Context, subscriber Subscriber) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if term.Err() != nil {
		return
	}
	p.subscriber = subscriber
	context.AfterFunc(term, func() { p.unsubscribe(subscriber) })
	p.fold.Jobs(func(state *batch.State) {
		subscriber.HandleChange(p.at.Number, batch.Change{Accepted: state})
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

// follow has the partition read from where the first open job begins, until the term ends. What
// the index can not tell is read.
func (p *partition) follow(term context.Context) {
	from, err := p.index.findOpen(term)
	if err != nil {
		p.logger.Warn("partition read from its start", zap.Stringer("partition", p.at), zap.Error(err))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.followedLocked() {
		p.resetLocked(from)
	}
	p.holdLocked(term)
}

// holdLocked has the partition followed until the term ends. The subscription may come later than
// a reader's interest lasts, and what was read would be read once more, from the very start.
func (p *partition) holdLocked(term context.Context) {
	p.terms++
	p.notify()
	context.AfterFunc(term, p.release)
}

func (p *partition) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.terms--
}

// followed says whether the partition is being read from where the first open job begins, or
// from an earlier offset.
func (p *partition) followed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.followedLocked()
}

// touchFollowed says whether the partition is followed, and has it be so for a while longer: what
// nobody asks for is forgotten, also under a caller that waits for it.
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

// handleChange takes what the record at an offset changed. The mutex is held.
func (p *partition) handleChange(change batch.Change, offset int64) {
	if change.Accepted != nil {
		change.Accepted.Start = p.message
		if p.isCopy(change.Accepted.Job.ID) {
			p.fold.Drop(change.Accepted.Job.ID)
			return
		}
	}
	if p.subscriber == nil || change == (batch.Change{}) {
		return
	}
	p.subscriber.HandleChange(p.at.Number, change)
	if change.Ended != nil {
		p.tellOpenFrom(offset + 1)
	}
}

// beginsBefore says that a job is known to stand in the partition before the reading began: no
// reading on brings it.
func (p *partition) beginsBefore(jobID string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isCopy(jobID)
}

// isCopy says that a job stands in the partition before the reading began, so that what was
// read now is a void copy. The mutex is held.
func (p *partition) isCopy(jobID string) bool {
	if p.from == 0 {
		return false
	}
	start, known := p.index.lookUp(jobID)
	return known && start < p.from
}

// tellOpenFrom tells the subscriber where the first open job begins, next when none is open.
// The mutex is held.
func (p *partition) tellOpenFrom(next int64) {
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
