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

// operatorFollowOptions returns how this node follows the operator topic. In a large fleet the
// coordinator reads the topic and announces changes, so that not every node reads a large
// configuration from the store.
func (n *Node) operatorFollowOptions(log store.Log) follow.KeyedOptions {
	return follow.KeyedOptions{
		Log: log, Topic: store.TopicOperator, Pace: operatorMinInterval, Wait: n.operatorReadWait(), Large: true, Logger: n.options.Logger.Named("operator"),
		Replace: n.replaceOperatorRecords, Change: n.handleOperatorRecords, Read: n.recordOperatorRead, Relayed: n.readOperatorRelayed,
		Guide: n.operatorGuide, Fetch: n.fetchOperator, Took: n.operatorSource.Take,
	}
}

func (n *Node) newOperatorGuide() *fanout.Guide {
	return fanout.NewGuide(fanout.GuideOptions{
		Share:    float64(xxhash.Sum64String(n.processID())>>11) / (1 << 53),
		UpToDate: n.recordOperatorFreshness,
	})
}

// operatorNews returns what this node announces while it is the coordinator. It is nil in a small
// fleet, whose nodes learn of changes sooner by their own reads, and with fail_closed, since keys
// would go stale and be refused while the coordinator is replaced.
func (n *Node) operatorNews() *election.News {
	if !n.servers.Large() || n.options.Settings.Access.FailClosed {
		return nil
	}
	return newsFrom(n.operatorSource)
}

func newsFrom(source *fanout.Source) *election.News {
	known, ok := source.Known()
	if !ok {
		return nil
	}
	return &election.News{Next: known.Next, Large: known.Large, AgeMs: clock.Since(known.AskedAt).Milliseconds() + 1}
}

// updateOperatorGuide passes the coordinator's announcement to the guide.
func (n *Node) updateOperatorGuide(standing election.Standing) {
	n.operatorGuide.Observe(fanoutReport(standing, n.servers.Large()))
}

// fanoutReport returns what a node knows of the coordinator's announcements; large is true for a
// large fleet.
func fanoutReport(standing election.Standing, large bool) fanout.Report {
	report := fanout.Report{Tells: standing.Leading && large, ReadAt: standing.ReadAt, ReadSince: standing.ReadSince}
	if announced := standing.News; announced != nil && !standing.Leading {
		report.News = &fanout.News{
			Next: announced.Next, Large: announced.Large, Age: time.Duration(announced.AgeMs) * time.Millisecond,
			At: announced.At, HeardAt: announced.HeardAt, From: standing.Coordinator,
		}
	}
	return report
}

// recordOperatorRead records that the store, in an answer to a request sent at asked, confirmed the
// newest configuration.
func (n *Node) recordOperatorRead(_ int64, _ bool, asked time.Time) {
	n.operatorReadAt.advance(clock.Now())
	n.recordOperatorFreshness(asked)
}

// recordOperatorFreshness records that this node has all records that the operator topic held at a
// time.
func (n *Node) recordOperatorFreshness(at time.Time) {
	n.configurationAsOf.advance(at)
	n.operatorSource.NoteAsked(at)
}

// fetchOperator fetches a change from the coordinator, or from a node to which the coordinator
// referred this one.
func (n *Node) fetchOperator(ctx context.Context, from int64) (follow.Relay, error) {
	asked := clock.Now()
	news := n.operatorGuide.News()
	answer, err := fanout.Fetch(ctx, fanout.CallNode, news.From, fanout.Question{From: from, Next: news.Large, Asker: n.options.Settings.Listen.Internal})
	if err != nil {
		return follow.Relay{}, err
	}
	n.logger.Info("change fetched from another node", zap.Int64("offset", from), zap.Int64("next", answer.Next),
		zap.Int("records", len(answer.Records)), zap.Duration("took", clock.Since(asked)))
	n.recordOperatorFreshness(asked.Add(-answer.Age))
	return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}, nil
}

// readOperatorRelayed reads the operator topic by way of other nodes while the store doesn't answer
// this one. In a large fleet the coordinator gives the records to a few nodes, which pass them on.
// Otherwise another node reads the store for this one; for hundreds of nodes at once that would
// fill its link.
func (n *Node) readOperatorRelayed(ctx context.Context, from int64) (follow.Relay, error) {
	asked := clock.Now()
	if n.operatorGuide.Told() {
		poll, cancel := n.operatorGuide.UntilContact(ctx)
		defer cancel()
		answer, err := fanout.Poll(poll, fanout.CallNode, n.peers.Known(), from, n.options.Settings.Listen.Internal)
		if err == nil {
			n.recordOperatorFreshness(asked.Add(-answer.Age))
			return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}, nil
		}
		if errors.Is(err, fanout.ErrOld) || poll.Err() != nil {
			return follow.Relay{}, err
		}
		n.logger.Debug("no node passes the operator topic on", zap.Error(err))
		asked = clock.Now()
	}
	answer, err := storeproxy.Ask(ctx, &n.peers, storeproxy.Question{From: from})
	if err != nil {
		return follow.Relay{}, err
	}
	n.recordOperatorFreshness(asked.Add(-answer.Age))
	return relayFrom(answer), nil
}

func relayFrom(answer storeproxy.Answer) follow.Relay {
	return follow.Relay{Records: answer.Records, Whole: answer.Whole, Next: answer.Next}
}
