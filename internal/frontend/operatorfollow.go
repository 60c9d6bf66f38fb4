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
		Log: log, Topic: store.TopicOperator, MinInterval: operatorMinInterval, Wait: n.operatorReadWait(), LargeTopic: true, Logger: n.options.Logger.Named("operator"),
		Replace: n.replaceOperatorRecords, Change: n.handleOperatorRecords, OnRead: n.recordOperatorRead, ReadRelayed: n.readOperatorRelayed,
		Selector: n.operatorGuide, Fetch: n.fetchOperator, OnApplied: n.operatorCache.Update,
	}
}

func (n *Node) newOperatorGuide() *fanout.Guide {
	return fanout.NewGuide(fanout.GuideOptions{
		Share:      float64(xxhash.Sum64String(n.processID())>>11) / (1 << 53),
		OnUpToDate: n.recordOperatorFreshness,
	})
}

// operatorAnnouncement returns what this node announces while it is the coordinator. It is nil in a small
// fleet, whose nodes learn of changes sooner by their own reads, and with fail_closed, since keys
// would go stale and be refused while the coordinator is replaced.
func (n *Node) operatorAnnouncement() *election.Announcement {
	if !n.servers.LargeFleet() || n.options.Settings.Access.FailClosed {
		return nil
	}
	return announcementOf(n.operatorCache)
}

func announcementOf(cache *fanout.Cache) *election.Announcement {
	state, ok := cache.State()
	if !ok {
		return nil
	}
	return &election.Announcement{Next: state.Next, Large: state.Large, AgeMs: clock.Since(state.AskedAt).Milliseconds() + 1}
}

// updateOperatorGuide passes the coordinator's announcement to the guide.
func (n *Node) updateOperatorGuide(state election.State) {
	n.operatorGuide.Observe(fanoutObservation(state, n.servers.LargeFleet()))
}

// fanoutObservation returns what a node knows of the coordinator's announcements; large is true for a
// large fleet.
func fanoutObservation(state election.State, large bool) fanout.Observation {
	observation := fanout.Observation{Announces: state.Leading && large, ReadAt: state.ReadAt, ReadableSince: state.ReadableSince}
	if announced := state.Announcement; announced != nil && !state.Leading {
		observation.Announcement = &fanout.Announcement{
			Next: announced.Next, Large: announced.Large, Age: time.Duration(announced.AgeMs) * time.Millisecond,
			AskedAt: announced.AskedAt, ReceivedAt: announced.ReceivedAt, From: state.Coordinator,
		}
	}
	return observation
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
	n.operatorCache.MarkUpToDate(at)
}

// fetchOperator fetches a change from the coordinator, or from a node to which the coordinator
// referred this one.
func (n *Node) fetchOperator(ctx context.Context, from int64) (follow.RelayedRecords, error) {
	asked := clock.Now()
	announcement := n.operatorGuide.Announcement()
	answer, err := fanout.Fetch(ctx, fanout.CallNode, announcement.From, fanout.Question{From: from, Next: announcement.Large, Asker: n.options.Settings.Listen.Internal})
	if err != nil {
		return follow.RelayedRecords{}, err
	}
	n.logger.Info("change fetched from another node", zap.Int64("offset", from), zap.Int64("next", answer.Next),
		zap.Int("records", len(answer.Records)), zap.Duration("took", clock.Since(asked)))
	n.recordOperatorFreshness(asked.Add(-answer.Age))
	return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}, nil
}

// readOperatorRelayed reads the operator topic by way of other nodes while the store doesn't answer
// this one. In a large fleet the coordinator gives the records to a few nodes, which pass them on.
// Otherwise another node reads the store for this one; for hundreds of nodes at once that would
// fill its link.
func (n *Node) readOperatorRelayed(ctx context.Context, from int64) (follow.RelayedRecords, error) {
	asked := clock.Now()
	if n.operatorGuide.HasAnnouncement() {
		poll, cancel := n.operatorGuide.UntilReadable(ctx)
		defer cancel()
		answer, err := fanout.Poll(poll, fanout.CallNode, n.peers.Addresses(), from, n.options.Settings.Listen.Internal)
		if err == nil {
			n.recordOperatorFreshness(asked.Add(-answer.Age))
			return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}, nil
		}
		if errors.Is(err, fanout.ErrStale) || poll.Err() != nil {
			return follow.RelayedRecords{}, err
		}
		n.logger.Debug("no node passes the operator topic on", zap.Error(err))
		asked = clock.Now()
	}
	answer, err := storeproxy.ReadVia(ctx, &n.peers, storeproxy.ReadRequest{From: from})
	if err != nil {
		return follow.RelayedRecords{}, err
	}
	n.recordOperatorFreshness(asked.Add(-answer.Age))
	return relayFrom(answer), nil
}

func relayFrom(answer storeproxy.ReadReply) follow.RelayedRecords {
	return follow.RelayedRecords{Records: answer.Records, Snapshot: answer.Whole, Next: answer.Next}
}
