package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/election"
	"dalehook/internal/fanout"
	"dalehook/internal/follow"
	"dalehook/internal/store"
	"dalehook/internal/storeproxy"
)

// operatorFollowing says how this node follows what operators and trainers put. In a large fleet the coordinator reads
// it and tells the others, so that a large configuration is not read from the store by each node.
func (n *Node) operatorFollowing(log store.Log) follow.KeyedOptions {
	return follow.KeyedOptions{
		Log: log, Topic: store.TopicOperator, MinInterval: operatorPace, Wait: n.operatorHold(), LargeTopic: true, Logger: n.options.Logger.Named("operator"),
		Replace: n.replaceOperator, Change: n.handleOperator, OnRead: n.noteOperatorRead, ReadRelayed: n.readRelayed,
		Selector: n.operatorGuide, Fetch: n.fetchOperator, OnApplied: n.operatorSource.Update,
	}
}

func (n *Node) newOperatorGuide() *fanout.Guide {
	return fanout.NewGuide(fanout.GuideOptions{
		Share:      float64(xxhash.Sum64String(n.process())>>11) / (1 << 53),
		OnUpToDate: n.noteOperatorAge,
	})
}

// operatorNews is what this node tells the others while it coordinates: nothing in a small fleet, whose nodes know
// sooner what they read themselves, nor where old keys are refused, which would be while the coordinator is replaced.
func (n *Node) operatorNews() *election.Announcement {
	if !n.servers.LargeFleet() || n.options.Settings.Access.FailClosed {
		return nil
	}
	return newsOf(n.operatorSource)
}

func newsOf(source *fanout.Source) *election.Announcement {
	state, ok := source.State()
	if !ok {
		return nil
	}
	return &election.Announcement{Next: state.Next, Large: state.Large, AgeMs: clock.Since(state.AskedAt).Milliseconds() + 1}
}

// guideOperator takes what the coordinator tells.
func (n *Node) guideOperator(state election.State) {
	n.operatorGuide.Observe(reportOf(state, n.servers.LargeFleet()))
}

// reportOf returns what a node of a fleet that may be large knows of the coordinator's telling.
func reportOf(state election.State, large bool) fanout.Observation {
	observation := fanout.Observation{Announces: state.Leading && large, ReadAt: state.ReadAt, ReadableSince: state.ReadableSince}
	if received := state.Announcement; received != nil && !state.Leading {
		observation.Announcement = &fanout.Announcement{
			Next: received.Next, Large: received.Large, Age: time.Duration(received.AgeMs) * time.Millisecond,
			AskedAt: received.AskedAt, ReceivedAt: received.ReceivedAt, From: state.Coordinator,
		}
	}
	return observation
}

// noteOperatorRead notes that the store, asked at asked, said what the newest configuration is.
func (n *Node) noteOperatorRead(_ int64, _ bool, asked time.Time) {
	n.operatorReadAt.advance(clock.Now())
	n.noteOperatorAge(asked)
}

// noteOperatorAge notes that this node knows all that there was at a time.
func (n *Node) noteOperatorAge(at time.Time) {
	n.configuredAt.advance(at)
	n.operatorSource.MarkUpToDate(at)
}

// fetchOperator has a change from the coordinator, or from a node to which that gave it.
func (n *Node) fetchOperator(ctx context.Context, from int64) (follow.Relay, error) {
	asked := clock.Now()
	announcement := n.operatorGuide.Announcement()
	answer, err := fanout.Fetch(ctx, fanout.CallNode, announcement.From, fanout.Question{From: from, Next: announcement.Large, Asker: n.options.Settings.Listen.Internal})
	if err != nil {
		return follow.Relay{}, err
	}
	n.logger.Info("change had from other nodes", zap.Int64("offset", from), zap.Int64("next", answer.Next),
		zap.Int("records", len(answer.Records)), zap.Duration("took", clock.Since(asked)))
	n.noteOperatorAge(asked.Add(-answer.Age))
	return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}, nil
}

// readRelayed has what operators put from other nodes while the store turns this one away. In a large fleet the
// coordinator gives it to a few of them; else a node reads the store for this one, which for hundreds at once would
// take all of its link.
func (n *Node) readRelayed(ctx context.Context, from int64) (follow.Relay, error) {
	asked := clock.Now()
	if n.operatorGuide.HasAnnouncement() {
		poll, cancel := n.operatorGuide.UntilReadable(ctx)
		defer cancel()
		answer, err := fanout.Poll(poll, fanout.CallNode, n.peers.Known(), from, n.options.Settings.Listen.Internal)
		if err == nil {
			n.noteOperatorAge(asked.Add(-answer.Age))
			return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}, nil
		}
		if errors.Is(err, fanout.ErrStale) || poll.Err() != nil {
			return follow.Relay{}, err
		}
		n.logger.Debug("no node gives what operators put", zap.Error(err))
		asked = clock.Now()
	}
	answer, err := storeproxy.Ask(ctx, &n.peers, storeproxy.Question{From: from})
	if err != nil {
		return follow.Relay{}, err
	}
	n.noteOperatorAge(asked.Add(-answer.Age))
	return relayOf(answer), nil
}

func relayOf(answer storeproxy.Answer) follow.Relay {
	return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}
}
