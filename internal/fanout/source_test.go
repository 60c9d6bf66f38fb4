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

// What a node gives is what the asker lacks: what came since, or all of it.
func TestASourceGivesWhatTheAskerLacks(t *testing.T) {
	s := NewSource()
	s.Take([]store.Record{record(3, "a", "1"), record(4, "b", "2")}, true, 5)
	s.Take([]store.Record{record(5, "a", "3")}, false, 6)
	s.Take([]store.Record{record(6, "b", "")}, false, 7)
	s.NoteAsked(clock.Now())
	cases := []struct {
		name  string
		from  int64
		want  []string
		whole bool
	}{
		{"who knows nothing", -1, []string{"5 a=3"}, true},
		{"who knows less than this node began with", 4, []string{"5 a=3"}, true},
		{"who knows as much", 5, []string{"5 a=3", "6 b="}, false},
		{"who lacks one", 6, []string{"6 b="}, false},
		{"who lacks none", 7, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := s.Give(t.Context(), Question{From: c.from, Next: 7, Asker: c.name})
			if diff := cmp.Diff(c.want, texts(answer.Records)); diff != "" || answer.Whole != c.whole || answer.Next != 7 {
				t.Errorf("whole %v up to %d: %s", answer.Whole, answer.Next, diff)
			}
		})
	}
}

// A node that was asked for a change a moment before it has it waits, and one that never has it says so.
func TestASourceWaitsForWhatItWillHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSource()
		s.Take(nil, true, 1)
		go func() {
			time.Sleep(giveWait / 2)
			s.Take([]store.Record{record(1, "a", "1")}, false, 2)
		}()
		if answer := s.Give(t.Context(), Question{From: 1, Next: 2, Asker: "x"}); answer.Next != 2 || len(answer.Records) != 1 {
			t.Errorf("%+v", answer)
		}
		if answer := s.Give(t.Context(), Question{From: 2, Next: 9, Asker: "x"}); answer.Next != 2 || len(answer.Records) != 0 || answer.Elsewhere != "" {
			t.Errorf("%+v", answer)
		}
	})
}

// An answer is as old as the node's own knowledge, whoever passed it on.
func TestAnAnswerBearsTheAgeOfWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSource()
		s.Take(nil, true, 1)
		s.NoteAsked(clock.Now())
		time.Sleep(3 * time.Second)
		s.NoteAsked(clock.Now().Add(-2 * time.Second))
		s.NoteAsked(clock.Now().Add(-time.Minute))
		if answer := s.Give(t.Context(), Question{From: 1, Next: 1, Asker: "x"}); answer.Age != 2*time.Second {
			t.Errorf("age %v", answer.Age)
		}
	})
}

// fleet is nodes that have a change from each other.
type fleet struct {
	mutex   sync.Mutex
	sources []*Source
	calls   []int
	gone    map[int]bool
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
	return f.sources[number].Give(ctx, question), nil
}

// A change reaches all nodes though each gives it to a few alone.
func TestAChangeReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 10, 1000, 3000} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{calls: make([]int, nodes), gone: make(map[int]bool)}
				given := make([]int, nodes)
				for range nodes {
					s := NewSource()
					s.Take(nil, true, 1)
					f.sources = append(f.sources, s)
				}
				f.sources[0].Take([]store.Record{record(1, "a", "large")}, false, 2)
				var askers sync.WaitGroup
				for number := 1; number < nodes; number++ {
					askers.Go(func() {
						answer, err := Fetch(t.Context(), f.call, "0", Question{From: 1, Next: 2, Asker: strconv.Itoa(number)})
						if err != nil {
							t.Errorf("node %d: %v", number, err)
							return
						}
						f.sources[number].Take(answer.Records, answer.Whole, answer.Next)
					})
				}
				askers.Wait()
				for number, s := range f.sources {
					given[number] = len(s.given)
					if s.next != 2 || given[number] > fanOut {
						t.Errorf("node %d knows up to %d and gave to %d", number, s.next, given[number])
					}
				}
			})
		})
	}
}

// A node that the store turns away learns of what others know, and that nothing came only from one that would know.
func TestPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{calls: make([]int, 3), gone: map[int]bool{0: true}}
		for range 3 {
			f.sources = append(f.sources, NewSource())
		}
		old, young := f.sources[1], f.sources[2]
		old.Take([]store.Record{record(1, "a", "1")}, true, 2)
		old.NoteAsked(clock.Now())
		time.Sleep(time.Minute)
		young.Take([]store.Record{record(1, "a", "1")}, true, 2)
		young.NoteAsked(clock.Now())
		addresses := []string{"0", "1", "2"}
		if answer, err := Poll(t.Context(), f.call, addresses, 2, "x"); err != nil || answer.Next != 2 || answer.Age > oldestTold {
			t.Errorf("nothing came: %+v, %v", answer, err)
		}
		if answer, err := Poll(t.Context(), f.call, addresses[:2], 2, "x"); !errors.Is(err, ErrOld) {
			t.Errorf("nobody who would know: %+v", answer)
		}
		young.Take([]store.Record{record(2, "a", "2")}, false, 3)
		if answer, err := Poll(t.Context(), f.call, addresses, 2, "x"); err != nil || answer.Next != 3 || len(answer.Records) != 1 {
			t.Errorf("something came: %+v, %v", answer, err)
		}
		if answer, err := Poll(t.Context(), f.call, addresses, -1, "x"); err != nil || !answer.Whole {
			t.Errorf("to one that knows nothing: %+v, %v", answer, err)
		}
	})
}

// A node that is gone holds nobody up: who was sent to it is given the change by the node that sent it there.
func TestANodeThatIsGoneDoesNotHoldAChangeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{calls: make([]int, 100), gone: map[int]bool{1: true, 2: true, 3: true}}
		for range 100 {
			f.sources = append(f.sources, NewSource())
		}
		f.sources[0].Take([]store.Record{record(1, "a", "large")}, true, 2)
		for number := 1; number <= fanOut; number++ {
			answer := f.sources[0].Give(t.Context(), Question{From: -1, Next: 2, Asker: strconv.Itoa(number)})
			f.sources[number].Take(answer.Records, answer.Whole, answer.Next)
		}
		for number := fanOut + 1; number < 100; number++ {
			answer, err := Fetch(t.Context(), f.call, "0", Question{From: -1, Next: 2, Asker: strconv.Itoa(number)})
			if err != nil || len(answer.Records) != 1 {
				t.Errorf("node %d: %+v, %v", number, answer, err)
			}
			f.sources[number].Take(answer.Records, answer.Whole, answer.Next)
		}
	})
}

// Nodes that ask again and again for what is not there yet all have it soon after it is.
func TestAChangeReachesNodesThatPolledForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 400
		f := &fleet{calls: make([]int, nodes), gone: make(map[int]bool)}
		for range nodes {
			s := NewSource()
			s.Take(nil, true, 1)
			f.sources = append(f.sources, s)
		}
		var polling sync.WaitGroup
		for number := 1; number < nodes; number++ {
			polling.Go(func() {
				for round := 0; f.sources[number].knows() < 2; round++ {
					time.Sleep(time.Duration(number*7+round*13) % 400 * time.Millisecond)
					f.sources[0].NoteAsked(clock.Now())
					answer, err := Poll(t.Context(), f.call, []string{"0"}, 1, strconv.Itoa(number))
					if err == nil {
						f.sources[number].Take(answer.Records, answer.Whole, answer.Next)
					}
				}
			})
		}
		time.Sleep(10 * time.Second)
		put := time.Now()
		f.sources[0].Take([]store.Record{record(1, "a", "large")}, false, 2)
		polling.Wait()
		if took := time.Since(put); took > 2*time.Second {
			t.Errorf("known to all after %v", took)
		}
	})
}

func (s *Source) knows() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.next
}
