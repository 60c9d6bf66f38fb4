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

// Limits are the limits of a store, for all nodes together.
type Limits struct {
	// BytesPerSecond is the bandwidth of its link. Answers are transmitted one after another,
	// including answers whose caller has given up.
	BytesPerSecond int
	// ReadsPerSecond and WritesPerSecond are the rate limits of calls; calls beyond are throttled.
	ReadsPerSecond, WritesPerSecond int
	// Latency is the latency of an answer, in addition to its transmission time.
	Latency time.Duration
	// MaxRecordBytes and MaxCallBytes bound a record and the records of one append.
	MaxRecordBytes, MaxCallBytes int
	// MaxPageRecords bounds a page of the newest records; 0 means 500.
	MaxPageRecords int
}

const (
	// maxLinkBacklog is the maximum time that answers may wait for the link; beyond it calls are
	// refused.
	maxLinkBacklog = 2 * time.Second
	// defaultPageRecords is the default of Limits.MaxPageRecords.
	defaultPageRecords = 500
	// answerOverheadBytes and recordOverheadBytes are the sizes of an answer and of each record in
	// it, in addition to keys and values.
	answerOverheadBytes, recordOverheadBytes = 200, 24
)

// Traffic counts calls and the bytes of their records and answers.
type Traffic struct{ Calls, Bytes int }

// Shared is a store that many nodes share, with the limits of a real store.
type Shared struct {
	*Memory
	limits Limits

	mutex       sync.Mutex
	busyUntil   time.Time
	secondStart time.Time
	reads       int
	writes      int
	fault       Fault
	affected    func(node int) bool
	traffic     map[store.Topic]Traffic
	// sortedServers caches the newest records of store.TopicServers, ordered by key, as of the
	// partition's end sortedServersEnd.
	sortedServers    []store.Record
	sortedServersEnd int64
}

// NewShared returns an empty store.
func NewShared(limits Limits) *Shared {
	return &Shared{Memory: NewMemory(), limits: limits, traffic: make(map[store.Topic]Traffic), sortedServersEnd: -1}
}

// SetNodeFault sets the fault of calls by the nodes for which affected returns true: FaultSilent
// blocks them, any other fault refuses them. A nil affected clears the fault.
func (s *Shared) SetNodeFault(fault Fault, affected func(node int) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault, s.affected = fault, affected
}

// Traffic returns the traffic of a topic so far.
func (s *Shared) Traffic(topic store.Topic) Traffic {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.traffic[topic]
}

// Node returns the store as seen by one node.
func (s *Shared) Node(number int) *SharedNode { return &SharedNode{shared: s, number: number} }

// SharedNode is a Shared store as seen by one node.
type SharedNode struct {
	shared *Shared
	number int
}

var (
	_ store.Log         = (*SharedNode)(nil)
	_ store.NewestPager = (*SharedNode)(nil)
	_ store.PageReader  = (*SharedNode)(nil)
)

// beginCall counts a call and applies the node's fault, the rate limits and the link's backlog
// limit to it.
func (n *SharedNode) beginCall(ctx context.Context, topic store.Topic, write bool) error {
	s := n.shared
	s.mutex.Lock()
	traffic := s.traffic[topic]
	traffic.Calls++
	s.traffic[topic] = traffic
	now := time.Now()
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.reads, s.writes = now, 0, 0
	}
	affected := s.affected != nil && s.affected(n.number)
	fault := s.fault
	counter, limit := &s.reads, s.limits.ReadsPerSecond
	if write {
		counter, limit = &s.writes, s.limits.WritesPerSecond
	}
	*counter++
	throttled := *counter > limit
	overloaded := s.busyUntil.Sub(now) > maxLinkBacklog
	s.mutex.Unlock()
	switch {
	case affected && fault == FaultSilent:
		<-ctx.Done()
		return ctx.Err()
	case affected || overloaded:
		return store.ErrRefused
	case throttled:
		return store.ErrThrottled
	}
	return ctx.Err()
}

// transmit waits until an answer of a size has been transmitted over the link.
func (n *SharedNode) transmit(ctx context.Context, topic store.Topic, size int) error {
	s := n.shared
	s.mutex.Lock()
	traffic := s.traffic[topic]
	traffic.Bytes += size
	s.traffic[topic] = traffic
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(s.limits.BytesPerSecond))
	wait := s.busyUntil.Sub(now) + s.limits.Latency
	s.mutex.Unlock()
	if !pause.For(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

func answerSize(records []store.Record) int {
	size := answerOverheadBytes
	for _, record := range records {
		size += recordOverheadBytes + len(record.Key) + len(record.Value)
	}
	return size
}

func (n *SharedNode) checkPayloads(payloads [][]byte) error {
	total := 0
	for _, payload := range payloads {
		total += len(payload)
		if len(payload) > n.shared.limits.MaxRecordBytes {
			return store.ErrInvalid
		}
	}
	if total > n.shared.limits.MaxCallBytes {
		return store.ErrInvalid
	}
	return nil
}

// append subjects an append of payloads to the limits and then carries it out by apply.
func (n *SharedNode) append(ctx context.Context, topic store.Topic, payloads [][]byte, apply func() (int64, error)) (int64, error) {
	if err := n.beginCall(ctx, topic, true); err != nil {
		return 0, err
	}
	if err := n.checkPayloads(payloads); err != nil {
		return 0, err
	}
	size := answerOverheadBytes
	for _, payload := range payloads {
		size += len(payload)
	}
	if err := n.transmit(ctx, topic, size); err != nil {
		return 0, err
	}
	return apply()
}

// Append implements store.Log.
func (n *SharedNode) Append(ctx context.Context, partition store.Partition, payloads [][]byte) (int64, error) {
	return n.append(ctx, partition.Topic, payloads, func() (int64, error) { return n.shared.Memory.Append(ctx, partition, payloads) })
}

// AppendAt implements store.Log.
func (n *SharedNode) AppendAt(ctx context.Context, partition store.Partition, end int64, payloads [][]byte) (int64, error) {
	return n.append(ctx, partition.Topic, payloads, func() (int64, error) { return n.shared.Memory.AppendAt(ctx, partition, end, payloads) })
}

// PutKeyed implements store.Log.
func (n *SharedNode) PutKeyed(ctx context.Context, topic store.Topic, records []store.Record) error {
	_, err := n.append(ctx, topic, nil, func() (int64, error) { return 0, n.shared.Memory.PutKeyed(ctx, topic, records) })
	return err
}

// Read implements store.Log.
func (n *SharedNode) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return n.ReadPage(ctx, partition, from, wait, maxReadBytes)
}

// ReadPage implements store.PageReader.
func (n *SharedNode) ReadPage(ctx context.Context, partition store.Partition, from int64, wait time.Duration, maxBytes int) (store.Batch, error) {
	if err := n.beginCall(ctx, partition.Topic, false); err != nil {
		return store.Batch{}, err
	}
	batch, err := n.shared.Memory.Read(ctx, partition, from, wait)
	if err != nil {
		return batch, err
	}
	batch, _ = truncateBatch(batch, maxBytes)
	return batch, n.transmit(ctx, partition.Topic, answerSize(batch.Records))
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
	if err := n.beginCall(ctx, topic, false); err != nil {
		return store.NewestPage{}, err
	}
	records, end, err := n.shared.newestByKey(ctx, topic)
	if err != nil {
		return store.NewestPage{}, err
	}
	from, found := slices.BinarySearchFunc(records, after, func(record store.Record, key string) int { return strings.Compare(record.Key, key) })
	if found {
		from++
	}
	limit := cmp.Or(n.shared.limits.MaxPageRecords, defaultPageRecords)
	page := store.NewestPage{Records: records[from:min(from+limit, len(records))], End: end, More: from+limit < len(records)}
	return page, n.transmit(ctx, topic, answerSize(page.Records))
}

// newestByKey returns the newest records of a topic, ordered by key.
func (s *Shared) newestByKey(ctx context.Context, topic store.Topic) ([]store.Record, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	end := s.Memory.End(store.Partition{Topic: topic})
	if topic == store.TopicServers && end == s.sortedServersEnd {
		return s.sortedServers, end, nil
	}
	records, end, err := s.Memory.Newest(ctx, topic)
	if err != nil {
		return nil, 0, err
	}
	slices.SortFunc(records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	if topic == store.TopicServers {
		s.sortedServers, s.sortedServersEnd = records, end
	}
	return records, end, nil
}

// Trim implements store.Log.
func (n *SharedNode) Trim(ctx context.Context, partition store.Partition, before int64) error {
	_, err := n.append(ctx, partition.Topic, nil, func() (int64, error) { return 0, n.shared.Memory.Trim(ctx, partition, before) })
	return err
}
