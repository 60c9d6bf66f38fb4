// Package store defines the interface to the replicated log that outlives every node. An adapter
// implements it for a particular platform.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic names a group of partitions.
type Topic int

// The topics. Nodes send each other the numbers, and nodes of other builds read the records: a new
// topic is added at the end, no topic is removed, and records with a different meaning go to a new
// topic.
const (
	// TopicOperator holds the newest configuration and the newest weight version
	// of each model, by key. It is written by the operator and the trainers.
	TopicOperator Topic = iota
	// TopicServers holds the entry of each back end, by key. It is written by the back ends.
	TopicServers
	// TopicJobs holds batch jobs, their results and their end records.
	TopicJobs
	// TopicJobIndex holds the offset at which each batch job begins in TopicJobs. A partition of
	// the index covers the partition of TopicJobs with the same number.
	TopicJobIndex
	// TopicProgress holds the partial output of running items of open batch jobs. Only the last
	// few seconds of it are kept.
	TopicProgress
	// TopicLeases holds the claims and renewals of leases.
	TopicLeases
	// TopicServerRelay held the list of servers in formats of earlier builds, whose nodes may still
	// write to it. It must not be used for anything else.
	TopicServerRelay
	// TopicUsage holds the request counts of the nodes and the records that close usage windows.
	TopicUsage
	// TopicQuarantine holds which servers ended while they ran which requests, by key.
	TopicQuarantine
	// TopicServerList holds the list of servers as the coordinator of a large fleet publishes it to
	// the other nodes. Only the last few seconds of it are kept.
	TopicServerList
)

// IsKeyed reports whether the newest record of each key of the topic is kept indefinitely.
func (t Topic) IsKeyed() bool {
	return t == TopicOperator || t == TopicServers || t == TopicQuarantine
}

var topicNames = [...]string{"operator", "servers", "jobs", "job index", "progress", "leases", "server relay", "usage", "quarantine", "server list"}

// IsKnown reports whether this build has the topic. Nodes of later builds may send others.
func (t Topic) IsKnown() bool { return t >= 0 && int(t) < len(topicNames) }

// String implements fmt.Stringer.
func (t Topic) String() string {
	if !t.IsKnown() {
		return fmt.Sprintf("topic %d", int(t))
	}
	return topicNames[t]
}

// Partition identifies one log of a topic.
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
	// Value is empty if the record removes its key.
	Value []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset that the next record of the partition gets.
	End int64
	// Next is the offset at which the next read continues.
	Next int64
	// First is the offset of the first record that the store had not removed, 0 if that is not known.
	First int64
}

// Log is a partitioned log. A call that returns an error other than the ones below may have been
// carried out, or may still be carried out seconds later.
type Log interface {
	// Append appends the payloads atomically and returns the offset of the first one.
	Append(ctx context.Context, partition Partition, payloads [][]byte) (int64, error)
	// AppendAt is Append on the condition that the partition ends at end. Otherwise it returns a
	// *ConditionError.
	AppendAt(ctx context.Context, partition Partition, end int64, payloads [][]byte) (int64, error)
	// PutKeyed appends records to a keyed topic atomically. A record without a value removes its
	// key.
	PutKeyed(ctx context.Context, topic Topic, records []Record) error
	// Read returns records from an offset on. It waits up to wait for the first one. It returns a
	// *TrimmedError if the record at the offset was trimmed.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic, and the partition's end, from
	// which Read continues.
	Newest(ctx context.Context, topic Topic) ([]Record, int64, error)
	// Trim removes the records before an offset.
	Trim(ctx context.Context, partition Partition, before int64) error
}

// ErrRefused means that the store did not carry out a call and never will.
var ErrRefused = errors.New("store refused the call")

// ErrInvalid means that the store refused a call because of its content; a retry would be refused
// as well.
var ErrInvalid = fmt.Errorf("%w: invalid call", ErrRefused)

// ErrThrottled means that the store refused a call because of a rate limit.
var ErrThrottled = fmt.Errorf("%w: too many calls", ErrRefused)

// ConditionError means that a conditional append was not carried out.
type ConditionError struct {
	// End is the actual end of the partition.
	End int64
}

// Error implements error.
func (e *ConditionError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// TrimmedError means that the records at an offset were trimmed.
type TrimmedError struct {
	// First is the first offset that the partition still has.
	First int64
}

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("records before %d were trimmed", e.First) }
