// Package storetest has a store in memory, with the faults of a real one, for
// the tests of what is built on package store.
package storetest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"dalehook/internal/store"
)

// Fault is how the store treats the calls that follow.
type Fault int

// The faults.
const (
	// FaultNone: calls are carried out and answered.
	FaultNone Fault = iota
	// FaultRefuse: calls are refused, and nothing is done.
	FaultRefuse
	// FaultLoseAnswer: appends are carried out, and their answers are lost.
	FaultLoseAnswer
	// FaultSilent: nothing is done and nothing answered until the caller gives up.
	FaultSilent
)

// ErrLost is returned where an answer is lost.
var ErrLost = errors.New("answer was lost")

// Memory implements store.Log.
type Memory struct {
	mutex      sync.Mutex
	partitions map[store.Partition]*partition
	fault      Fault
	appends    int
}

type partition struct {
	first   int64
	records []store.Record
	// newest keeps keyed records whose history is gone.
	newest []store.Record
	// changed is closed when records come, or the fault changes: readers of one partition
	// are not woken by what comes to others.
	changed chan struct{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

var _ store.Log = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{partitions: make(map[store.Partition]*partition)}
}

// SetFault sets how later calls are treated.
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

// Put writes the record of a key, as the platform's other users do.
func (m *Memory) Put(topic store.Topic, key string, value []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.at(store.Partition{Topic: topic})
	p.records = append(p.records, store.Record{Offset: p.end(), Key: key, Value: value})
	p.notify()
}

// Trim implements store.Log.
func (m *Memory) Trim(ctx context.Context, at store.Partition, before int64) error {
	if _, err := m.enter(ctx); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.at(at)
	for len(p.records) > 0 && p.first < before {
		p.records = p.records[1:]
		p.first++
	}
	return nil
}

// Forget drops the history before an offset, but not the newest record of a key.
func (m *Memory) Forget(at store.Partition, before int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.at(at)
	for len(p.records) > 0 && p.first < before {
		p.newest = append(p.newest, p.records[0])
		p.records = p.records[1:]
		p.first++
	}
}

// End returns the offset that the next record of a partition gets.
func (m *Memory) End(at store.Partition) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.at(at).end()
}

// at returns a partition. The mutex is held.
func (m *Memory) at(at store.Partition) *partition {
	if m.partitions[at] == nil {
		m.partitions[at] = &partition{changed: make(chan struct{})}
	}
	return m.partitions[at]
}

func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// enter applies the fault to a call.
func (m *Memory) enter(ctx context.Context) (Fault, error) {
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
func (m *Memory) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	return m.append(ctx, at, -1, payloads)
}

// AppendAt implements store.Log.
func (m *Memory) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	return m.append(ctx, at, end, payloads)
}

func (m *Memory) append(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	fault, err := m.enter(ctx)
	if err != nil {
		return 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.at(at)
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
		return 0, ErrLost
	}
	return first, nil
}

// PutKeyed implements store.Log.
func (m *Memory) PutKeyed(ctx context.Context, topic store.Topic, records []store.Record) error {
	fault, err := m.enter(ctx)
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
		return ErrLost
	}
	return nil
}

// Read implements store.Log.
func (m *Memory) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if _, err := m.enter(ctx); err != nil {
		return store.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		batch, changed, err := m.read(at, from)
		if err != nil || len(batch.Records) > 0 || waited {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-timer.C:
			waited = true
		case <-changed:
			if _, err := m.enter(ctx); err != nil {
				return store.Batch{}, err
			}
		}
	}
}

func (m *Memory) read(at store.Partition, from int64) (store.Batch, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fault == FaultRefuse {
		// The fault may have begun since the call was entered.
		return store.Batch{}, nil, store.ErrRefused
	}
	p := m.at(at)
	if from < p.first {
		return store.Batch{}, nil, &store.TrimmedError{First: p.first}
	}
	records := slices.Clone(p.records[min(from-p.first, int64(len(p.records))):])
	batch := store.Batch{Records: records, End: p.end(), Next: from + int64(len(records))}
	return batch, p.changed, nil
}

// Newest implements store.Log.
func (m *Memory) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	if _, err := m.enter(ctx); err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fault == FaultRefuse {
		return nil, 0, store.ErrRefused
	}
	p := m.at(store.Partition{Topic: topic})
	newest := make(map[string]store.Record)
	var keys []string
	for _, record := range append(slices.Clone(p.newest), p.records...) {
		if _, known := newest[record.Key]; !known {
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
