// Package storetest provides in-memory stores with the faults and limits of a real one, for tests
// of code that uses package store.
package storetest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"dalehook/internal/store"
)

// Fault is a way in which the store fails calls.
type Fault int

// The faults.
const (
	// FaultNone means that calls are carried out and answered.
	FaultNone Fault = iota
	// FaultRefuse means that calls are refused and not carried out.
	FaultRefuse
	// FaultLoseAnswer means that appends are carried out but their answers are lost.
	FaultLoseAnswer
	// FaultSilent means that calls are not carried out and block until the caller gives up.
	FaultSilent
)

// ErrAnswerLost is returned by a call whose answer is lost.
var ErrAnswerLost = errors.New("answer was lost")

// Memory is an in-memory store.Log.
type Memory struct {
	mutex      sync.Mutex
	partitions map[store.Partition]*partitionState
	fault      Fault
	appends    int
}

type partitionState struct {
	first   int64
	records []store.Record
	// compacted holds the records that Compact removed from records; Newest still considers them.
	compacted []store.Record
	// changed is closed and replaced when records are added or the fault changes. It exists per
	// partition so that records of one partition do not wake readers of others.
	changed chan struct{}
}

func (p *partitionState) end() int64 { return p.first + int64(len(p.records)) }

var _ store.Log = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{partitions: make(map[store.Partition]*partitionState)}
}

// SetFault sets the fault of later calls, and of reads that are waiting.
func (m *Memory) SetFault(fault Fault) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fault = fault
	for _, p := range m.partitions {
		p.notify()
	}
}

// Appends returns how many appends were carried out.
func (m *Memory) Appends() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.appends
}

// Put writes the record of a key, as other users of the platform's store do.
func (m *Memory) Put(topic store.Topic, key string, value []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.partitionFor(store.Partition{Topic: topic})
	p.records = append(p.records, store.Record{Offset: p.end(), Key: key, Value: value})
	p.notify()
}

// Trim implements store.Log.
func (m *Memory) Trim(ctx context.Context, partition store.Partition, before int64) error {
	if _, err := m.beginCall(ctx); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.partitionFor(partition)
	for len(p.records) > 0 && p.first < before {
		p.records = p.records[1:]
		p.first++
	}
	return nil
}

// Compact removes the history before an offset, but keeps the newest record of each key for Newest.
func (m *Memory) Compact(partition store.Partition, before int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.partitionFor(partition)
	for len(p.records) > 0 && p.first < before {
		p.compacted = append(p.compacted, p.records[0])
		p.records = p.records[1:]
		p.first++
	}
}

// End returns the offset that the next record of a partition gets.
func (m *Memory) End(partition store.Partition) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partitionFor(partition).end()
}

// partitionFor returns the state of a partition. The mutex must be held.
func (m *Memory) partitionFor(partition store.Partition) *partitionState {
	if m.partitions[partition] == nil {
		m.partitions[partition] = &partitionState{changed: make(chan struct{})}
	}
	return m.partitions[partition]
}

func (p *partitionState) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// beginCall applies the fault to a call.
func (m *Memory) beginCall(ctx context.Context) (Fault, error) {
	m.mutex.Lock()
	fault := m.fault
	m.mutex.Unlock()
	switch fault {
	case FaultRefuse:
		return fault, store.ErrRefused
	case FaultSilent:
		<-ctx.Done()
		return fault, ctx.Err()
	}
	return fault, ctx.Err()
}

// Append implements store.Log.
func (m *Memory) Append(ctx context.Context, partition store.Partition, payloads [][]byte) (int64, error) {
	return m.append(ctx, partition, -1, payloads)
}

// AppendAt implements store.Log.
func (m *Memory) AppendAt(ctx context.Context, partition store.Partition, end int64, payloads [][]byte) (int64, error) {
	return m.append(ctx, partition, end, payloads)
}

func (m *Memory) append(ctx context.Context, partition store.Partition, end int64, payloads [][]byte) (int64, error) {
	fault, err := m.beginCall(ctx)
	if err != nil {
		return 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.partitionFor(partition)
	if end >= 0 && p.end() != end {
		return 0, &store.ConditionError{End: p.end()}
	}
	first := p.end()
	for _, payload := range payloads {
		p.records = append(p.records, store.Record{Offset: p.end(), Value: slices.Clone(payload)})
	}
	m.appends++
	p.notify()
	if fault == FaultLoseAnswer {
		return 0, ErrAnswerLost
	}
	return first, nil
}

// PutKeyed implements store.Log.
func (m *Memory) PutKeyed(ctx context.Context, topic store.Topic, records []store.Record) error {
	fault, err := m.beginCall(ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		m.Put(topic, record.Key, slices.Clone(record.Value))
	}
	m.mutex.Lock()
	m.appends++
	m.mutex.Unlock()
	if fault == FaultLoseAnswer {
		return ErrAnswerLost
	}
	return nil
}

// Read implements store.Log.
func (m *Memory) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if _, err := m.beginCall(ctx); err != nil {
		return store.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		batch, changed, err := m.read(partition, from)
		if err != nil || len(batch.Records) > 0 || waited {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-timer.C:
			waited = true
		case <-changed:
			if _, err := m.beginCall(ctx); err != nil {
				return store.Batch{}, err
			}
		}
	}
}

func (m *Memory) read(partition store.Partition, from int64) (store.Batch, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fault == FaultRefuse {
		// The fault may have been set since the call began.
		return store.Batch{}, nil, store.ErrRefused
	}
	p := m.partitionFor(partition)
	if from < p.first {
		return store.Batch{}, nil, &store.TrimmedError{First: p.first}
	}
	records := slices.Clone(p.records[min(from-p.first, int64(len(p.records))):])
	batch := store.Batch{Records: records, End: p.end(), Next: from + int64(len(records)), First: p.first}
	return batch, p.changed, nil
}

// Newest implements store.Log.
func (m *Memory) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	if _, err := m.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fault == FaultRefuse {
		return nil, 0, store.ErrRefused
	}
	p := m.partitionFor(store.Partition{Topic: topic})
	newest := make(map[string]store.Record)
	var keys []string
	for _, record := range append(slices.Clone(p.compacted), p.records...) {
		if _, seen := newest[record.Key]; !seen {
			keys = append(keys, record.Key)
		}
		newest[record.Key] = record
	}
	var records []store.Record
	for _, key := range keys {
		if len(newest[key].Value) > 0 {
			records = append(records, newest[key])
		}
	}
	return records, p.end(), nil
}
