package election

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/follow"
	"dalehook/internal/liveness"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// The timing of calls to the store.
const (
	// The holder reads often enough to renew in time; the others wait for its next
	// renewal, and read as often as the holder while it is in doubt.
	holderWait    = 200 * time.Millisecond
	followerWait  = 600 * time.Millisecond
	readTimeout   = 1300 * time.Millisecond
	appendTimeout = 450 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	slowestRead   = time.Second
	// A holder that may have to yield takes yieldWait to answer.
	askTimeout = yieldWait + 150*time.Millisecond
)

// Options configure Run.
type Options struct {
	Log store.Log
	// Number is the partition of the topic of leases.
	Number int
	Self   string
	// Address is where this process answers whether it runs.
	Address string
	// Ask asks at the node of a holder whether its process runs, and has it yield the
	// lease of an epoch if it can not reach the store.
	Ask    func(ctx context.Context, address, holder string, epoch int64) liveness.Verdict
	Timing Timing
	// Hold is told of this process's own lease; it may be nil.
	Hold   *Hold
	Logger *zap.Logger
	// News returns what this node tells the others while it holds the lease, nil for nothing; it may be nil.
	News func() *News
	// Observe is told after each step how this node stands.
	Observe func(Standing)
	// Leaving is closed when the node is to release the lease for good.
	Leaving <-chan struct{}
}

// Run takes part in the election until the context ends.
func Run(ctx context.Context, options Options) {
	runner := runner{Options: options, machine: NewMachine(clock.Now(), options.Self, options.Address, options.Timing)}
	runner.outage.Logger = options.Logger
	runner.at = store.Partition{Topic: store.TopicLeases, Number: options.Number}
	pace := follow.Pacer{Max: slowestRead, Retry: retryPause}
	for ctx.Err() == nil {
		err := runner.step(ctx)
		runner.outage.Note(err, zap.Stringer("partition", runner.at))
		wait := pace.Next(err)
		if err != nil && runner.holding {
			// The holder is to be the first that the store answers after an outage, so that
			// it need not yield; it is only one.
			wait = retryPause
		}
		pause.For(ctx, wait)
	}
}

type runner struct {
	Options
	machine *Machine
	at      store.Partition
	outage  follow.Outage
	holding bool
	// failing says that the last read failed.
	failing bool
}

func (r *runner) step(ctx context.Context) error {
	clock.Refresh()
	select {
	case <-r.Leaving:
		r.machine.Leave()
	default:
	}
	caughtUp, err := r.read(ctx)
	if err != nil {
		r.machine.HandleReadFailure(clock.Now())
		err = errors.Join(err, r.renewUnread(ctx))
		r.tell()
		return err
	}
	r.Hold.noteContact(clock.Now())
	r.machine.GiveUp(r.Hold.yieldedEpoch())
	if caughtUp {
		r.ask(ctx)
		r.askPredecessor(ctx)
		err = r.append(ctx)
	}
	r.tell()
	return err
}

func (r *runner) read(ctx context.Context) (caughtUp bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := holderWait
	if r.failing {
		// Whether the store answers again is to be known at once.
		wait = 0
	}
	if doubtIn := r.machine.DoubtIn(clock.Now()); doubtIn > 0 {
		wait = min(doubtIn, followerWait)
	}
	if claimIn := r.machine.ClaimIn(clock.Now()); claimIn > 0 {
		wait = min(wait, claimIn)
	}
	asked := clock.Now()
	batch, err := r.Log.Read(ctx, r.at, r.machine.End(), wait)
	r.failing = err != nil
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		r.machine.HandleTrimmed(trimmed.First)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := clock.Now()
	for _, record := range batch.Records {
		if err := r.machine.HandleRecord(now, record.Offset, record.Value); err != nil {
			r.Logger.Error("record void", zap.Error(err))
		}
	}
	caughtUp = r.machine.End() >= batch.End
	if caughtUp {
		r.machine.HandleReadToEnd(now, asked)
	}
	return caughtUp, nil
}

// ask asks after a holder that was not heard of.
func (r *runner) ask(ctx context.Context) {
	holder, address, doubtful := r.machine.Doubtful(clock.Now())
	if !doubtful || r.Ask == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	verdict := r.Ask(ctx, address, holder, r.machine.Epoch())
	r.machine.HandleVerdict(holder, verdict)
	if verdict == liveness.Unknown || verdict == liveness.Alive {
		return
	}
	r.Logger.Info("holder ended", zap.String("holder", holder), zap.Stringer("verdict", verdict), zap.Int64("offset", r.machine.End()))
}

// askPredecessor asks after a predecessor that may still act on the lease, since
// orders wait for what is known of it.
func (r *runner) askPredecessor(ctx context.Context) {
	predecessor, address, mayAct := r.machine.Predecessor()
	if !mayAct || r.Ask == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if r.Ask(ctx, address, predecessor, 0) == liveness.Replaced {
		r.machine.HandlePredecessorReplaced(predecessor)
		r.Logger.Info("predecessor ended", zap.String("predecessor", predecessor), zap.Int64("offset", r.machine.End()))
	}
}

// renewUnread renews a lease that this process holds though its partition could not be read:
// many nodes may read at once what is large, while appends go through. The record is
// appended only where the partition ends as it was read.
func (r *runner) renewUnread(ctx context.Context) error {
	r.machine.GiveUp(r.Hold.yieldedEpoch())
	if !r.machine.Standing(clock.Now()).Leading {
		return nil
	}
	return r.append(ctx)
}

func (r *runner) append(ctx context.Context) error {
	sentAt := clock.Now()
	if r.News != nil {
		r.machine.SetNews(r.News())
	}
	wanted := r.machine.Tick(sentAt)
	if wanted == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := r.Log.AppendAt(ctx, r.at, wanted.End, [][]byte{wanted.Payload})
	var condition *store.ConditionError
	if errors.As(err, &condition) {
		return nil // the record of another node is read next
	}
	if err != nil {
		return err
	}
	now := clock.Now()
	r.Hold.noteContact(now)
	r.machine.HandleAppended(now, sentAt, wanted, offset)
	return nil
}

// tell reports the lease and logs when it is taken or lost.
func (r *runner) tell() {
	r.machine.GiveUp(r.Hold.yieldedEpoch())
	standing := r.machine.Standing(clock.Now())
	lease := standing.Lease
	r.Hold.noteStanding(standing)
	if standing.Held != r.holding {
		r.holding = standing.Held
		word := "lease lost"
		if standing.Held {
			word = "lease taken"
		}
		r.Logger.Info(word, zap.Int64("epoch", lease.Epoch), zap.String("holder", r.machine.Holder()),
			zap.Bool("succeeded", lease.Succeeded), zap.Bool("contested", lease.Contested), zap.Int64("offset", r.machine.End()))
	}
	r.Observe(standing)
}
