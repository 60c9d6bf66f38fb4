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

// Timing of calls to the store.
const (
	// holderReadWait is how long the store may hold a read of the holder, which renews between two reads.
	holderReadWait = 200 * time.Millisecond
	// followerReadWait is how long the store may hold a read of the others, which wait for the next renewal.
	// They read as often as the holder while it is suspect.
	followerReadWait = 600 * time.Millisecond
	// readTimeout bounds a read and appendTimeout an append. With a RenewInterval of 500 ms the sum is 2.25 s,
	// less than TTL - SafetyMargin, 2.3 s (package frontend): a single read that times out before a renewal does
	// not cost the holder its lease.
	readTimeout   = 1300 * time.Millisecond
	appendTimeout = 450 * time.Millisecond
	// retryDelay is the delay after a failed step, maxReadDelay the longest while the store throttles reads.
	retryDelay   = 100 * time.Millisecond
	maxReadDelay = time.Second
	// A holder that may have to yield takes up to yieldWait to answer.
	probeTimeout = yieldWait + 150*time.Millisecond
)

// Options configures Run.
type Options struct {
	Log store.Log
	// Number is the partition number in the topic of leases.
	Number int
	Self   string
	// Address is where this process answers liveness probes.
	Address string
	// Probe asks a holder's node whether its process runs, and has it yield the lease of an epoch if it cannot
	// reach the store.
	Probe  func(ctx context.Context, address, holder string, epoch int64) liveness.Verdict
	Timing Timing
	// Yielder is kept up to date on this process's own lease; it may be nil.
	Yielder *Yielder
	Logger  *zap.Logger
	// Announcement returns what this node announces while it holds the lease, nil for nothing; the function may
	// be nil.
	Announcement func() *Announcement
	// OpenMemory returns the memory of the open jobs that this node states while it holds the lease, 0 for nothing;
	// the function may be nil.
	OpenMemory func() int64
	// Observe is called with the node's state after each step.
	Observe func(State)
	// Resign is closed when the node is to release the lease for good.
	Resign <-chan struct{}
}

// Run takes part in the election until the context ends.
func Run(ctx context.Context, options Options) {
	runner := runner{Options: options, machine: NewMachine(clock.Now(), options.Self, options.Address, options.Timing)}
	runner.outage.Logger = options.Logger
	runner.partition = store.Partition{Topic: store.TopicLeases, Number: options.Number}
	pace := follow.Pacer{Max: maxReadDelay, Retry: retryDelay}
	for ctx.Err() == nil {
		err := runner.step(ctx)
		runner.outage.Note(err, zap.Stringer("partition", runner.partition))
		wait := pace.Next(err)
		if err != nil && runner.holdsLease {
			// After an outage the holder is to be the first to get an answer from the store, so that it need not yield.
			// There is only one holder, so its retries add little load.
			wait = retryDelay
		}
		pause.For(ctx, wait)
	}
}

type runner struct {
	Options
	machine    *Machine
	partition  store.Partition
	outage     follow.Outage
	holdsLease bool
	// lastReadFailed is set if the last read failed.
	lastReadFailed bool
}

func (r *runner) step(ctx context.Context) error {
	clock.Refresh()
	select {
	case <-r.Resign:
		r.machine.Resign()
	default:
	}
	caughtUp, err := r.read(ctx)
	if err != nil {
		r.machine.HandleReadFailure(clock.Now())
		err = errors.Join(err, r.renewWithoutRead(ctx))
		r.publishState()
		return err
	}
	r.Yielder.handleStoreContact(clock.Now())
	r.machine.NoteYielded(r.Yielder.lastYieldedEpoch())
	if caughtUp {
		r.probeHolder(ctx)
		r.probePredecessor(ctx)
		err = r.append(ctx)
	}
	r.publishState()
	return err
}

func (r *runner) read(ctx context.Context) (caughtUp bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := holderReadWait
	if r.lastReadFailed {
		// Find out immediately whether the store answers again.
		wait = 0
	}
	if suspectIn := r.machine.SuspectIn(clock.Now()); suspectIn > 0 {
		wait = min(suspectIn, followerReadWait)
	}
	if claimIn := r.machine.ClaimIn(clock.Now()); claimIn > 0 {
		wait = min(wait, claimIn)
	}
	sentAt := clock.Now()
	batch, err := r.Log.Read(ctx, r.partition, r.machine.NextOffset(), wait)
	r.lastReadFailed = err != nil
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
			r.Logger.Error("invalid lease record", zap.Error(err))
		}
	}
	caughtUp = r.machine.NextOffset() >= batch.End
	if caughtUp {
		r.machine.HandleCaughtUp(now, sentAt)
	}
	return caughtUp, nil
}

// probeHolder probes a holder that is suspect.
func (r *runner) probeHolder(ctx context.Context) {
	holder, address, suspect := r.machine.Suspect(clock.Now())
	if !suspect || r.Probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	verdict := r.Probe(ctx, address, holder, r.machine.Epoch())
	r.machine.HandleVerdict(holder, verdict)
	if verdict == liveness.Unknown || verdict == liveness.Alive {
		return
	}
	r.Logger.Info("holder ended", zap.String("holder", holder), zap.Stringer("verdict", verdict), zap.Int64("offset", r.machine.NextOffset()))
}

// probePredecessor probes a predecessor that may still act on the lease, because orders to servers wait
// until its end is known.
func (r *runner) probePredecessor(ctx context.Context) {
	predecessor, address, mayAct := r.machine.Predecessor()
	if !mayAct || r.Probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if r.Probe(ctx, address, predecessor, 0) == liveness.Replaced {
		r.machine.HandlePredecessorReplaced(predecessor)
		r.Logger.Info("predecessor ended", zap.String("predecessor", predecessor), zap.Int64("offset", r.machine.NextOffset()))
	}
}

// renewWithoutRead renews a lease held by this process although its partition could not be read: many nodes
// reading large records at once can block reads while appends succeed. The append still requires that the
// partition ends where this process last read it.
func (r *runner) renewWithoutRead(ctx context.Context) error {
	r.machine.NoteYielded(r.Yielder.lastYieldedEpoch())
	if !r.machine.State(clock.Now()).Leading {
		return nil
	}
	return r.append(ctx)
}

func (r *runner) append(ctx context.Context) error {
	sentAt := clock.Now()
	if r.Announcement != nil {
		r.machine.SetAnnouncement(r.Announcement())
	}
	if r.OpenMemory != nil {
		r.machine.SetOpenMemory(r.OpenMemory())
	}
	pending := r.machine.Tick(sentAt)
	if pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := r.Log.AppendAt(ctx, r.partition, pending.ExpectedEnd, [][]byte{pending.Payload})
	var condition *store.ConditionError
	if errors.As(err, &condition) {
		return nil // the record of another node is read next
	}
	if err != nil {
		return err
	}
	now := clock.Now()
	r.Yielder.handleStoreContact(now)
	r.machine.HandleAppended(now, sentAt, pending, offset)
	return nil
}

// publishState reports the state to its observers and logs when the lease is taken or lost.
func (r *runner) publishState() {
	r.machine.NoteYielded(r.Yielder.lastYieldedEpoch())
	state := r.machine.State(clock.Now())
	lease := state.Lease
	r.Yielder.handleState(state)
	if state.Held != r.holdsLease {
		r.holdsLease = state.Held
		message := "lease lost"
		if state.Held {
			message = "lease taken"
		}
		r.Logger.Info(message, zap.Int64("epoch", lease.Epoch), zap.String("holder", r.machine.Holder()),
			zap.Bool("succeeded", lease.HasPredecessor), zap.Bool("contested", lease.Contested), zap.Int64("offset", r.machine.NextOffset()))
	}
	r.Observe(state)
}
