// Package store is the port to the replicated log that outlasts every node. The
// product states here what it needs of a log; an adapter implements it.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic names a group of partitions.
type Topic int

// The topics of the product. Nodes send each other their numbers, and nodes of other builds read what they
// hold: a new topic comes last, none is removed, and records of another meaning take a new one.
const (
	// TopicOperator holds the newest configuration and the newest weight version
	// of each model, by key. The operator and the trainers write it.
	TopicOperator Topic = iota
	// TopicServers holds the entry of each back end, by key. The back ends write it.
	TopicServers
	// TopicJobs holds batch jobs, their results and their ends.
	TopicJobs
	// TopicJobIndex holds where each batch job begins in its partition of TopicJobs, in
	// the partition of the same number.
	TopicJobIndex
	// TopicProgress holds what the runs of open batch jobs have made so far. Only
	// the newest seconds of it are kept.
	TopicProgress
	// TopicLeases holds the claims and renewals of leases.
	TopicLeases
	// TopicServerRelay held the list of servers in formats of earlier builds, whose nodes may still
	// write there; nothing else is ever to be written to it.
	TopicServerRelay
	// TopicUsage holds what nodes count of the requests that ran, and the ends of windows.
	TopicUsage
	// TopicQuarantine holds which servers ended under which requests, by key.
	TopicQuarantine
	// TopicServerList holds what the coordinator of a large fleet tells the other nodes of the list
	// of servers. Only the newest seconds of it are kept.
	TopicServerList
)

// Keyed says whether the newest record of each key of a topic is kept for good.
func (t Topic) Keyed() bool {
	return t == TopicOperator || t == TopicServers || t == TopicQuarantine
}

var topicNames = [...]string{"operator", "servers", "jobs", "job index", "progress", "leases", "server relay", "usage", "quarantine", "server list"}

// Known says whether this build has a topic: nodes of later builds may name others.
func (t Topic) Known() bool { return t >= 0 && int(t) < len(topicNames) }

// String implements fmt.Stringer.
func (t Topic) String() string {
	if !t.Known() {
		return fmt.Sprintf("topic %d", int(t))
	}
	return topicNames[t]
}

// Partition is one log of a topic.
type Partition struct {
	Topic  Topic
	Number int
}

// String implements fmt.Stringer.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is one entry of a partition.
type Record struct {
	Offset int64
	// Key is empty in topics without keys.
	Key string
	// Value is empty when a keyed entry was removed.
	Value []byte
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// End is the offset that the next record of the partition gets.
	End int64
	// Next is the offset from which the following read continues.
	Next int64
}

// Log is a partitioned log. A call that returns an error other than the ones
// below may have been carried out, now or seconds later.
type Log interface {
	// Append adds the payloads, all or none, and returns the offset of the first.
	Append(ctx context.Context, partition Partition, payloads [][]byte) (int64, error)
	// AppendAt is Append on the condition that the partition ends at end. It
	// returns a *ConditionError when it does not.
	AppendAt(ctx context.Context, partition Partition, end int64, payloads [][]byte) (int64, error)
	// PutKeyed adds records to a keyed topic, all or none. A record without a value removes
	// its key.
	PutKeyed(ctx context.Context, topic Topic, records []Record) error
	// Read returns the records from an offset on. It waits up to wait for the
	// first. It returns a *TrimmedError when the offset is no longer kept.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic, and the
	// partition's end from which a Read continues.
	Newest(ctx context.Context, topic Topic) ([]Record, int64, error)
	// Trim drops the records before an offset.
	Trim(ctx context.Context, partition Partition, before int64) error
}

// ErrRefused says that the store did not carry out a call and never will.
var ErrRefused = errors.New("store refused the call")

// ErrInvalid says that the store refused a call for what it holds, and would do so again.
var ErrInvalid = fmt.Errorf("%w: call is not valid", ErrRefused)

// ErrThrottled says that the store refused a call since there are too many of them.
var ErrThrottled = fmt.Errorf("%w: too many calls", ErrRefused)

// ConditionError says that a conditional append was not carried out.
type ConditionError struct {
	// End is the partition's end.
	End int64
}

// Error implements error.
func (e *ConditionError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// TrimmedError says that records are no longer kept.
type TrimmedError struct {
	// First is the first offset that is kept.
	First int64
}

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("records before %d are gone", e.First) }
