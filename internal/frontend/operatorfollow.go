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
		Selector: n.operatorGuide, Fetch: n.fetchOperator, OnApplied: n.operatorSource.Take,
	}
}

func (n *Node) newOperatorGuide() *fanout.Guide {
	return fanout.NewGuide(fanout.GuideOptions{
		Share:    float64(xxhash.Sum64String(n.process())>>11) / (1 << 53),
		UpToDate: n.noteOperatorAge,
	})
}

// operatorNews is what this node tells the others while it coordinates: nothing in a small fleet, whose nodes know
// sooner what they read themselves, nor where old keys are refused, which would be while the coordinator is replaced.
func (n *Node) operatorNews() *election.News {
	if !n.servers.Large() || n.options.Settings.Access.FailClosed {
		return nil
	}
	return newsOf(n.operatorSource)
}

func newsOf(source *fanout.Source) *election.News {
	known, ok := source.Known()
	if !ok {
		return nil
	}
	return &election.News{Next: known.Next, Large: known.Large, AgeMs: clock.Since(known.AskedAt).Milliseconds() + 1}
}

// guideOperator takes what the coordinator tells.
func (n *Node) guideOperator(standing election.Standing) {
	n.operatorGuide.Observe(reportOf(standing, n.servers.Large()))
}

// reportOf returns what a node of a fleet that may be large knows of the coordinator's telling.
func reportOf(standing election.Standing, large bool) fanout.Report {
	report := fanout.Report{Tells: standing.Leading && large, ReadAt: standing.ReadAt, ReadSince: standing.ReadSince}
	if heard := standing.News; heard != nil && !standing.Leading {
		report.News = &fanout.News{
			Next: heard.Next, Large: heard.Large, Age: time.Duration(heard.AgeMs) * time.Millisecond,
			At: heard.At, HeardAt: heard.HeardAt, From: standing.Coordinator,
		}
	}
	return report
}

// noteOperatorRead notes that the store, asked at asked, said what the newest configuration is.
func (n *Node) noteOperatorRead(_ int64, _ bool, asked time.Time) {
	n.operatorReadAt.advance(clock.Now())
	n.noteOperatorAge(asked)
}

// noteOperatorAge notes that this node knows all that there was at a time.
func (n *Node) noteOperatorAge(at time.Time) {
	n.configuredAt.advance(at)
	n.operatorSource.NoteAsked(at)
}

// fetchOperator has a change from the coordinator, or from a node to which that gave it.
func (n *Node) fetchOperator(ctx context.Context, from int64) (follow.Relay, error) {
	asked := clock.Now()
	news := n.operatorGuide.News()
	answer, err := fanout.Fetch(ctx, fanout.CallNode, news.From, fanout.Question{From: from, Next: news.Large, Asker: n.options.Settings.Listen.Internal})
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
	if n.operatorGuide.Told() {
		poll, cancel := n.operatorGuide.UntilContact(ctx)
		defer cancel()
		answer, err := fanout.Poll(poll, fanout.CallNode, n.peers.Known(), from, n.options.Settings.Listen.Internal)
		if err == nil {
			n.noteOperatorAge(asked.Add(-answer.Age))
			return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}, nil
		}
		if errors.Is(err, fanout.ErrOld) || poll.Err() != nil {
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
