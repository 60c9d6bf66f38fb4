package storeproxy

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/nodecall"
	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// A node that the store turns away, and that asks a node of an earlier build for the quarantine, is given the
// operator's records, and goes on from an offset in the operator's topic (by this test; found by listing
// what nodes say to each other).
//
// Cause: the earlier build's question has no topic, and all reads were of the operator's; a topic was added to
// the question, and gob drops what the reader does not know. What proves it: a node that answers as that
// build does.

// EarlierQuestion is the question of builds that read the operator's topic alone.
type EarlierQuestion struct{ From int64 }

type earlierService struct{ log store.Log }

// Read answers as such a build does.
func (s *earlierService) Read(question EarlierQuestion, answer *Answer) error {
	return read(context.Background(), s.log, Question{From: question.From}, answer)
}

// earlierNode is node for such a build.
func earlierNode(t *testing.T, log store.Log) string {
	t.Helper()
	return nodecalltest.Serve(t, nodecalltest.WithService("Store", &earlierService{log: log}))
}

func TestANodeOfAnEarlierBuildIsNotTakenAtItsWordForAnotherTopic(t *testing.T) {
	memory := operatorLog()
	memory.Put(store.TopicQuarantine, "end", []byte("1"))
	earlier := earlierNode(t, memory)
	peers := &Peers{}
	peers.Note(earlier)
	question := Question{Topic: store.TopicQuarantine, From: -1}
	if answer, err := Ask(context.Background(), peers, question); err == nil {
		t.Errorf("answered %v up to %d", values(answer), answer.Next)
	}
	// What the operator put is still read by way of it.
	if answer, err := Ask(context.Background(), peers, Question{From: 1}); err != nil || len(answer.Records) != 2 {
		t.Errorf("operator's topic: %v, %v", values(answer), err)
	}
	// A node of this build that is known as well is asked next.
	peers.Note(node(t, memory, &Peers{}))
	peers.Note(earlier)
	answer, err := Ask(context.Background(), peers, question)
	if diff := cmp.Diff([]string{"end=1"}, values(answer)); err != nil || diff != "" {
		t.Errorf("%v: %s", err, diff)
	}
}

// Nodes of builds that ask for any topic by the first call are still answered.
func TestATopicIsReadByTheFirstCall(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicQuarantine, "end", []byte("1"))
	var answer Answer
	err := nodecall.Call(context.Background(), node(t, memory, &Peers{}), "Store.Read", Question{Topic: store.TopicQuarantine, From: -1}, &answer)
	if diff := cmp.Diff([]string{"end=1"}, values(answer)); err != nil || diff != "" {
		t.Errorf("%v: %s", err, diff)
	}
}
