package rollout

import (
	"slices"
	"time"

	"dalehook/internal/record"
)

// replicaStore is what this node keeps in memory for the owners of other steps.
type replicaStore struct {
	limits Limits
	steps  map[string]*replicaStep
	order  sortedNames
	bytes  int
}

// replicaStep holds the mirrored entries of one step.
type replicaStep struct {
	// promised is the highest epoch seen; lower ones are refused.
	promised  record.Epoch
	epochs    []EpochEntries
	last      uint64
	touchedAt time.Time
}

func newReplicaStore(limits Limits) *replicaStore {
	return &replicaStore{limits: limits, steps: map[string]*replicaStep{}}
}

// at returns the replica of a step, and begins one.
func (r *replicaStore) at(now time.Time, step string) *replicaStep {
	replica := r.steps[step]
	if replica == nil {
		replica = &replicaStep{}
		r.steps[step] = replica
		r.order.insert(step)
	}
	replica.touchedAt = now
	return replica
}

// mirror takes entries of an owner. Entries beyond a gap, or beyond the memory
// that is left, are not taken; the acknowledgement says how far the replica is.
func (r *replicaStore) mirror(now time.Time, in Mirror) MirrorAck {
	replica := r.at(now, in.Step)
	ack := MirrorAck{Step: in.Step, Epoch: in.Epoch, Probe: in.Probe}
	if in.Epoch < replica.promised {
		ack.Promised = replica.promised
		return ack
	}
	if in.Epoch > replica.promised || len(replica.epochs) == 0 {
		replica.begin(in.Epoch)
	}
	if replica.last+1 < in.First {
		replica.last = in.First - 1
	}
	held := &replica.epochs[len(replica.epochs)-1]
	for _, entry := range in.Entries {
		size := entrySize(entry)
		if entry.Serial != replica.last+1 || r.bytes+size > r.limits.MaxReplicaBytes {
			continue
		}
		held.Entries = append(held.Entries, entry)
		replica.last = entry.Serial
		r.bytes += size
	}
	ack.Serial = replica.last
	return ack
}

// begin opens the list of an epoch.
func (p *replicaStep) begin(epoch record.Epoch) {
	p.promised = epoch
	p.last = 0
	p.epochs = append(p.epochs, EpochEntries{Epoch: epoch})
}

// collect returns the entries of lower epochs and refuses those from now on.
func (r *replicaStore) collect(now time.Time, step string, epoch record.Epoch) []EpochEntries {
	replica := r.at(now, step)
	if epoch > replica.promised {
		replica.begin(epoch)
	}
	var lower []EpochEntries
	for _, held := range replica.epochs {
		if held.Epoch < epoch && len(held.Entries) > 0 {
			lower = append(lower, held)
		}
	}
	return lower
}

// forget drops what stands on the log.
func (r *replicaStore) forget(in MirrorForget) {
	replica := r.steps[in.Step]
	if replica == nil || in.Epoch < replica.promised {
		return
	}
	for i := range replica.epochs {
		held := &replica.epochs[i]
		held.Entries = slices.DeleteFunc(held.Entries, func(entry MirrorEntry) bool {
			logged := held.Epoch < in.Epoch || (held.Epoch == in.Epoch && entry.Serial <= in.Serial)
			if logged {
				r.bytes -= entrySize(entry)
			}
			return logged
		})
	}
	replica.epochs = slices.DeleteFunc(replica.epochs, func(held EpochEntries) bool {
		return held.Epoch < in.Epoch && len(held.Entries) == 0
	})
}

// drop forgets a step.
func (r *replicaStore) drop(step string) {
	replica := r.steps[step]
	if replica == nil {
		return
	}
	for _, held := range replica.epochs {
		for _, entry := range held.Entries {
			r.bytes -= entrySize(entry)
		}
	}
	delete(r.steps, step)
	r.order.remove(step)
}

// expire drops steps that no owner has spoken of for a long time.
func (r *replicaStore) expire(now time.Time) {
	for _, step := range slices.Clone(r.order.names) {
		if now.Sub(r.steps[step].touchedAt) > r.limits.ReplicaRetention {
			r.drop(step)
		}
	}
}

// entrySize estimates the memory of an entry in bytes.
func entrySize(entry MirrorEntry) int {
	const fixed = 64
	size := fixed + fixed*len(entry.Failures) + fixed*len(entry.Revoked)
	for _, result := range entry.Results {
		size += fixed + len(result.Text) + fixed*len(result.Segments)
	}
	return size
}
