package fanout

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/clock"
	"dalehook/internal/store"
)

func record(offset int64, key, value string) store.Record {
	return store.Record{Offset: offset, Key: key, Value: []byte(value)}
}

func texts(records []store.Record) []string {
	var all []string
	for _, r := range records {
		all = append(all, fmt.Sprint(r.Offset, " ", r.Key, "=", string(r.Value)))
	}
	return all
}

// A node serves what the asker lacks: the changes since, or the whole state.
func TestCacheServesWhatAskerLacks(t *testing.T) {
	s := NewCache()
	s.Update([]store.Record{record(3, "a", "1"), record(4, "b", "2")}, true, 5)
	s.Update([]store.Record{record(5, "a", "3")}, false, 6)
	s.Update([]store.Record{record(6, "b", "")}, false, 7)
	s.MarkUpToDate(clock.Now())
	cases := []struct {
		name  string
		from  int64
		want  []string
		whole bool
	}{
		{"knows nothing", -1, []string{"5 a=3"}, true},
		{"knows less than the node started with", 4, []string{"5 a=3"}, true},
		{"knows as much as the node started with", 5, []string{"5 a=3", "6 b="}, false},
		{"lacks one", 6, []string{"6 b="}, false},
		{"lacks none", 7, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := s.Serve(t.Context(), Question{From: c.from, Next: 7, Asker: c.name})
			if diff := cmp.Diff(c.want, texts(answer.Records)); diff != "" || answer.Whole != c.whole || answer.Next != 7 {
				t.Errorf("whole: %v, next %d: %s", answer.Whole, answer.Next, diff)
			}
		})
	}
}

// A node that is asked for a change just before it has it waits; one that never gets it says so.
func TestCacheWaitsForPendingChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewCache()
		s.Update(nil, true, 1)
		go func() {
			time.Sleep(serveTimeout / 2)
			s.Update([]store.Record{record(1, "a", "1")}, false, 2)
		}()
		if answer := s.Serve(t.Context(), Question{From: 1, Next: 2, Asker: "x"}); answer.Next != 2 || len(answer.Records) != 1 {
			t.Errorf("%+v", answer)
		}
		if answer := s.Serve(t.Context(), Question{From: 2, Next: 9, Asker: "x"}); answer.Next != 2 || len(answer.Records) != 0 || answer.Elsewhere != "" {
			t.Errorf("%+v", answer)
		}
	})
}

// An answer has the age of the node's own knowledge, whoever passed it on.
func TestAnswerHasAgeOfKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewCache()
		s.Update(nil, true, 1)
		s.MarkUpToDate(clock.Now())
		time.Sleep(3 * time.Second)
		s.MarkUpToDate(clock.Now().Add(-2 * time.Second))
		s.MarkUpToDate(clock.Now().Add(-time.Minute))
		if answer := s.Serve(t.Context(), Question{From: 1, Next: 1, Asker: "x"}); answer.Age != 2*time.Second {
			t.Errorf("age %v", answer.Age)
		}
	})
}

// fleet is a set of nodes that fetch a change from each other.
type fleet struct {
	mutex  sync.Mutex
	caches []*Cache
	calls  []int
	gone   map[int]bool
}

var errGone = errors.New("gone")

func (f *fleet) call(ctx context.Context, address string, question Question) (Answer, error) {
	number, err := strconv.Atoi(address)
	if err != nil {
		return Answer{}, err
	}
	f.mutex.Lock()
	f.calls[number]++
	gone := f.gone[number]
	f.mutex.Unlock()
	if gone {
		return Answer{}, errGone
	}
	return f.caches[number].Serve(ctx, question), nil
}

// A change reaches all nodes although each node serves it to only a few.
func TestChangeReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 10, 1000, 3000} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{calls: make([]int, nodes), gone: make(map[int]bool)}
				served := make([]int, nodes)
				for range nodes {
					s := NewCache()
					s.Update(nil, true, 1)
					f.caches = append(f.caches, s)
				}
				f.caches[0].Update([]store.Record{record(1, "a", "large")}, false, 2)
				var askers sync.WaitGroup
				for number := 1; number < nodes; number++ {
					askers.Go(func() {
						answer, err := Fetch(t.Context(), f.call, "0", Question{From: 1, Next: 2, Asker: strconv.Itoa(number)})
						if err != nil {
							t.Errorf("node %d: %v", number, err)
							return
						}
						f.caches[number].Update(answer.Records, answer.Whole, answer.Next)
					})
				}
				askers.Wait()
				for number, s := range f.caches {
					served[number] = len(s.recipients)
					if s.next != 2 || served[number] > fanOutDegree {
						t.Errorf("node %d knows up to %d and served %d nodes", number, s.next, served[number])
					}
				}
			})
		})
	}
}

// A node that the store rejects learns changes from other nodes, and learns that there are none only from a
// node with recent knowledge.
func TestPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{calls: make([]int, 3), gone: map[int]bool{0: true}}
		for range 3 {
			f.caches = append(f.caches, NewCache())
		}
		stale, fresh := f.caches[1], f.caches[2]
		stale.Update([]store.Record{record(1, "a", "1")}, true, 2)
		stale.MarkUpToDate(clock.Now())
		time.Sleep(time.Minute)
		fresh.Update([]store.Record{record(1, "a", "1")}, true, 2)
		fresh.MarkUpToDate(clock.Now())
		addresses := []string{"0", "1", "2"}
		if answer, err := Poll(t.Context(), f.call, addresses, 2, "x"); err != nil || answer.Next != 2 || answer.Age > maxAnnouncedAge {
			t.Errorf("no change: %+v, %v", answer, err)
		}
		if answer, err := Poll(t.Context(), f.call, addresses[:2], 2, "x"); !errors.Is(err, ErrStale) {
			t.Errorf("no node with recent knowledge: %+v", answer)
		}
		fresh.Update([]store.Record{record(2, "a", "2")}, false, 3)
		if answer, err := Poll(t.Context(), f.call, addresses, 2, "x"); err != nil || answer.Next != 3 || len(answer.Records) != 1 {
			t.Errorf("one change: %+v, %v", answer, err)
		}
		if answer, err := Poll(t.Context(), f.call, addresses, -1, "x"); err != nil || !answer.Whole {
			t.Errorf("an asker that knows nothing: %+v, %v", answer, err)
		}
	})
}

// A node that is gone delays nobody: a node redirected to it is served by the one that redirected it.
func TestGoneNodeDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{calls: make([]int, 100), gone: map[int]bool{1: true, 2: true, 3: true}}
		for range 100 {
			f.caches = append(f.caches, NewCache())
		}
		f.caches[0].Update([]store.Record{record(1, "a", "large")}, true, 2)
		for number := 1; number <= fanOutDegree; number++ {
			answer := f.caches[0].Serve(t.Context(), Question{From: -1, Next: 2, Asker: strconv.Itoa(number)})
			f.caches[number].Update(answer.Records, answer.Whole, answer.Next)
		}
		for number := fanOutDegree + 1; number < 100; number++ {
			answer, err := Fetch(t.Context(), f.call, "0", Question{From: -1, Next: 2, Asker: strconv.Itoa(number)})
			if err != nil || len(answer.Records) != 1 {
				t.Errorf("node %d: %+v, %v", number, answer, err)
			}
			f.caches[number].Update(answer.Records, answer.Whole, answer.Next)
		}
	})
}

// Nodes that poll for a change before it exists all get it soon after it does.
func TestChangeReachesPollingNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 400
		f := &fleet{calls: make([]int, nodes), gone: make(map[int]bool)}
		for range nodes {
			s := NewCache()
			s.Update(nil, true, 1)
			f.caches = append(f.caches, s)
		}
		var polling sync.WaitGroup
		for number := 1; number < nodes; number++ {
			polling.Go(func() {
				for round := 0; f.caches[number].nextOffset() < 2; round++ {
					time.Sleep(time.Duration(number*7+round*13) % 400 * time.Millisecond)
					f.caches[0].MarkUpToDate(clock.Now())
					answer, err := Poll(t.Context(), f.call, []string{"0"}, 1, strconv.Itoa(number))
					if err == nil {
						f.caches[number].Update(answer.Records, answer.Whole, answer.Next)
					}
				}
			})
		}
		time.Sleep(10 * time.Second)
		put := time.Now()
		f.caches[0].Update([]store.Record{record(1, "a", "large")}, false, 2)
		polling.Wait()
		if took := time.Since(put); took > 2*time.Second {
			t.Errorf("known to all after %v", took)
		}
	})
}

func (s *Cache) nextOffset() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.next
}
