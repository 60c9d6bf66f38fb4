package fanout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dalehook/internal/clock"
	"dalehook/internal/placement"
	"dalehook/internal/store"
)

const (
	// fanOut is to how many nodes a node gives one change: 1,000 nodes are four steps away at the most, and
	// each sends eight times the change.
	fanOut = 8
	// giveWait is how long a node that is asked for a change waits until it has it: it may have been asked for it
	// itself a moment ago.
	giveWait = 800 * time.Millisecond
	// LargeBytes is the size of a record that nodes have from each other: 1,000 nodes that read a smaller
	// one keep a store that reads 80 MB a second busy for less than half a second.
	LargeBytes = 32 << 10
)

// Question asks a node for what it knows of the topic.
type Question struct {
	// From is the offset after what the asker knows; below 0 it knows nothing.
	From int64
	// Next is the offset up to which it wants to know at the least.
	Next int64
	// Asker is where the asker answers the same question.
	Asker string
	// Gone is where a node did not answer to which the asker was sent; empty for none.
	Gone string
}

// Answer holds what a node knows, or names another node to ask.
type Answer struct {
	Records []store.Record
	// Whole says that the records are the newest of each key, not what came after From.
	Whole bool
	// Next is the offset after what the node knows, which may be less than was asked for; below 0 it knows nothing.
	Next int64
	// Age is how long before this answer the store had been asked.
	Age time.Duration
	// Elsewhere is where a node answers that was given the change, or is about to be; empty for none.
	Elsewhere string
}

// Source holds what a node knows of the topic and gives it to others. It may be used by several goroutines.
type Source struct {
	mutex sync.Mutex
	// records are the newest of each key, with those that say that a key was removed after base.
	records map[string]store.Record
	// base is the offset from which on all changes are held, next the one after them; below 0 nothing is.
	base, next int64
	// askedAt is when the store was asked for that.
	askedAt time.Time
	// large is the offset after the last large record.
	large int64
	// grown is closed when next grows.
	grown chan struct{}
	// given are the nodes that are given what goes up to givenNext.
	given     []string
	givenNext int64
}

// NewSource returns a source that knows nothing.
func NewSource() *Source { return &Source{next: -1, base: -1, grown: make(chan struct{})} }

// Take takes records up to an offset: those that came since what is known, or, if they are the whole, the newest of
// each key.
func (s *Source) Take(records []store.Record, whole bool, next int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if whole {
		s.records = make(map[string]store.Record, len(records))
		s.base, s.large = next, 0
	}
	if s.records == nil {
		return // what came before is not known
	}
	for _, record := range records {
		s.records[record.Key] = record
		if len(record.Value) >= LargeBytes {
			s.large = max(s.large, record.Offset+1)
		}
	}
	if next == s.next {
		return
	}
	s.next = next
	close(s.grown)
	s.grown = make(chan struct{})
}

// NoteAsked notes that all that is held was the newest when the store was asked.
func (s *Source) NoteAsked(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.askedAt) {
		s.askedAt = at
	}
}

// Known is how far a source knows the topic.
type Known struct {
	// Next is the offset after what is known, Large the one after the last large record.
	Next, Large int64
	// AskedAt is when the store was asked, by package clock.
	AskedAt time.Time
}

// Known returns how far the topic is known; ok is false where nothing is.
func (s *Source) Known() (known Known, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Known{Next: s.next, Large: s.large, AskedAt: s.askedAt}, s.records != nil && !s.askedAt.IsZero()
}

// Give answers another node. It waits a while for what is not here yet.
func (s *Source) Give(ctx context.Context, question Question) Answer {
	if elsewhere := s.assign(question); elsewhere != "" {
		return Answer{Elsewhere: elsewhere}
	}
	ctx, cancel := context.WithTimeout(ctx, giveWait)
	defer cancel()
	for {
		answer, grown := s.answer(question)
		if grown == nil {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-grown:
		}
	}
}

// assign returns the node to which an asker is sent, empty where this one gives it the change. An asker is sent the same
// way each time, so that no two nodes wait for each other.
func (s *Source) assign(question Question) (elsewhere string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if question.Next > s.givenNext {
		s.given, s.givenNext = nil, question.Next
	}
	s.given = slices.DeleteFunc(s.given, func(node string) bool { return node == question.Gone })
	if slices.Contains(s.given, question.Asker) {
		return ""
	}
	if len(s.given) < fanOut {
		s.given = append(s.given, question.Asker)
		return ""
	}
	return slices.MaxFunc(s.given, func(a, b string) int {
		return cmp.Compare(placement.Score(a, question.Asker), placement.Score(b, question.Asker))
	})
}

// answer returns what is known, or a channel that is closed once more is.
func (s *Source) answer(question Question) (Answer, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.records == nil {
		return Answer{Next: -1}, s.grown
	}
	if s.next < question.Next {
		return Answer{Next: s.next, Age: clock.Since(s.askedAt)}, s.grown
	}
	answer := Answer{Next: s.next, Age: clock.Since(s.askedAt), Whole: question.From < s.base}
	for _, record := range s.records {
		if answer.Whole && len(record.Value) == 0 || !answer.Whole && record.Offset < question.From {
			continue
		}
		answer.Records = append(answer.Records, record)
	}
	slices.SortFunc(answer.Records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return answer, nil
}
