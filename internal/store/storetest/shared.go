package storetest

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// Limits are what a store carries for all nodes together.
type Limits struct {
	// BytesPerSecond is what its link carries; answers go over it one after another, also those that
	// nobody waits for any more.
	BytesPerSecond int
	// ReadsPerSecond and WritesPerSecond bound the calls; more are throttled.
	ReadsPerSecond, WritesPerSecond int
	// Answer is how long an answer is under way beside its size.
	Answer time.Duration
	// RecordBytes and CallBytes bound what is appended.
	RecordBytes, CallBytes int
	// PageRecords bounds a page of the newest records; 0 means 500.
	PageRecords int
}

const (
	// mostBacklog is the time for which answers may wait for the link; calls are refused beyond.
	mostBacklog = 2 * time.Second
	// newestPageRecords bounds a page of the newest records unless the limits say so.
	newestPageRecords = 500
	// readHead and recordHead are what an answer has beside the values of its records.
	readHead, recordHead = 200, 24
)

// Traffic counts calls and the bytes of their answers and records.
type Traffic struct{ Calls, Bytes int }

// Shared is a store that many nodes share, with the limits of a real one.
type Shared struct {
	*Memory
	limits Limits

	mutex   sync.Mutex
	freeAt  time.Time
	second  time.Time
	reads   int
	writes  int
	fault   Fault
	struck  func(node int) bool
	traffic map[store.Topic]Traffic
	// newest are the newest records of the servers' topic as they stood at newestEnd.
	newest    []store.Record
	newestEnd int64
}

// NewShared returns an empty store.
func NewShared(limits Limits) *Shared {
	return &Shared{Memory: NewMemory(), limits: limits, traffic: make(map[store.Topic]Traffic), newestEnd: -1}
}

// Strike has the store refuse the calls of some nodes, or stay silent to them; nil ends it.
func (s *Shared) Strike(fault Fault, struck func(node int) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault, s.struck = fault, struck
}

// Traffic returns what was called for and sent for a topic.
func (s *Shared) Traffic(topic store.Topic) Traffic {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.traffic[topic]
}

// Node returns the store as one node reaches it.
func (s *Shared) Node(number int) *SharedNode { return &SharedNode{shared: s, number: number} }

// SharedNode is a store that many nodes share as one of them reaches it.
type SharedNode struct {
	shared *Shared
	number int
}

var (
	_ store.Log         = (*SharedNode)(nil)
	_ store.NewestPager = (*SharedNode)(nil)
	_ store.PageReader  = (*SharedNode)(nil)
)

// enter counts a call, and refuses it where there are too many.
func (n *SharedNode) enter(ctx context.Context, topic store.Topic, writes bool) error {
	s := n.shared
	s.mutex.Lock()
	traffic := s.traffic[topic]
	traffic.Calls++
	s.traffic[topic] = traffic
	now := time.Now()
	if now.Sub(s.second) >= time.Second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	struck := s.struck != nil && s.struck(n.number)
	fault := s.fault
	counted, most := &s.reads, s.limits.ReadsPerSecond
	if writes {
		counted, most = &s.writes, s.limits.WritesPerSecond
	}
	*counted++
	throttled := *counted > most
	overloaded := s.freeAt.Sub(now) > mostBacklog
	s.mutex.Unlock()
	switch {
	case struck && fault == FaultSilent:
		<-ctx.Done()
		return ctx.Err()
	case struck || overloaded:
		return store.ErrRefused
	case throttled:
		return store.ErrThrottled
	}
	return ctx.Err()
}

// carry waits until an answer of a size has gone over the link.
func (n *SharedNode) carry(ctx context.Context, topic store.Topic, size int) error {
	s := n.shared
	s.mutex.Lock()
	traffic := s.traffic[topic]
	traffic.Bytes += size
	s.traffic[topic] = traffic
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(size) * time.Second / time.Duration(s.limits.BytesPerSecond))
	wait := s.freeAt.Sub(now) + s.limits.Answer
	s.mutex.Unlock()
	if !pause.For(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

func sizeOf(records []store.Record) int {
	size := readHead
	for _, record := range records {
		size += recordHead + len(record.Key) + len(record.Value)
	}
	return size
}

func (n *SharedNode) checkPayloads(payloads [][]byte) error {
	total := 0
	for _, payload := range payloads {
		total += len(payload)
		if len(payload) > n.shared.limits.RecordBytes {
			return store.ErrInvalid
		}
	}
	if total > n.shared.limits.CallBytes {
		return store.ErrInvalid
	}
	return nil
}

// append carries out an append of a size; apply does it.
func (n *SharedNode) append(ctx context.Context, topic store.Topic, payloads [][]byte, apply func() (int64, error)) (int64, error) {
	if err := n.enter(ctx, topic, true); err != nil {
		return 0, err
	}
	if err := n.checkPayloads(payloads); err != nil {
		return 0, err
	}
	size := readHead
	for _, payload := range payloads {
		size += len(payload)
	}
	if err := n.carry(ctx, topic, size); err != nil {
		return 0, err
	}
	return apply()
}

// Append implements store.Log.
func (n *SharedNode) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	return n.append(ctx, at.Topic, payloads, func() (int64, error) { return n.shared.Memory.Append(ctx, at, payloads) })
}

// AppendAt implements store.Log.
func (n *SharedNode) AppendAt(ctx context.Context, at store.Partition, end int64, payloads [][]byte) (int64, error) {
	return n.append(ctx, at.Topic, payloads, func() (int64, error) { return n.shared.Memory.AppendAt(ctx, at, end, payloads) })
}

// PutKeyed implements store.Log.
func (n *SharedNode) PutKeyed(ctx context.Context, topic store.Topic, records []store.Record) error {
	_, err := n.append(ctx, topic, nil, func() (int64, error) { return 0, n.shared.Memory.PutKeyed(ctx, topic, records) })
	return err
}

// Read implements store.Log.
func (n *SharedNode) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return n.ReadPage(ctx, at, from, wait, readBytes)
}

// ReadPage implements store.PageReader.
func (n *SharedNode) ReadPage(ctx context.Context, at store.Partition, from int64, wait time.Duration, mostBytes int) (store.Batch, error) {
	if err := n.enter(ctx, at.Topic, false); err != nil {
		return store.Batch{}, err
	}
	read, err := n.shared.Memory.Read(ctx, at, from, wait)
	if err != nil {
		return read, err
	}
	read, _ = cutRead(read, mostBytes)
	return read, n.carry(ctx, at.Topic, sizeOf(read.Records))
}

// Newest implements store.Log.
func (n *SharedNode) Newest(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	var records []store.Record
	end := int64(-1)
	for after := ""; ; {
		page, err := n.NewestPage(ctx, topic, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More {
			return records, end, nil
		}
		after = records[len(records)-1].Key
	}
}

// NewestPage implements store.NewestPager.
func (n *SharedNode) NewestPage(ctx context.Context, topic store.Topic, after string) (store.NewestPage, error) {
	if err := n.enter(ctx, topic, false); err != nil {
		return store.NewestPage{}, err
	}
	records, end, err := n.shared.newestOf(ctx, topic)
	if err != nil {
		return store.NewestPage{}, err
	}
	from, found := slices.BinarySearchFunc(records, after, func(record store.Record, key string) int { return strings.Compare(record.Key, key) })
	if found {
		from++
	}
	most := cmp.Or(n.shared.limits.PageRecords, newestPageRecords)
	page := store.NewestPage{Records: records[from:min(from+most, len(records))], End: end, More: from+most < len(records)}
	return page, n.carry(ctx, topic, sizeOf(page.Records))
}

// newestOf returns the newest records of a topic in the order of their keys.
func (s *Shared) newestOf(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	end := s.Memory.End(store.Partition{Topic: topic})
	if topic == store.TopicServers && end == s.newestEnd {
		return s.newest, end, nil
	}
	records, end, err := s.Memory.Newest(ctx, topic)
	if err != nil {
		return nil, 0, err
	}
	slices.SortFunc(records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	if topic == store.TopicServers {
		s.newest, s.newestEnd = records, end
	}
	return records, end, nil
}

// Trim implements store.Log.
func (n *SharedNode) Trim(ctx context.Context, at store.Partition, before int64) error {
	_, err := n.append(ctx, at.Topic, nil, func() (int64, error) { return 0, n.shared.Memory.Trim(ctx, at, before) })
	return err
}
