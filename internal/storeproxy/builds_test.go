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

// Guards against a node taking records of the operator's topic for those of the quarantine, and an
// offset in the former for one in the latter. This happened when the store refused its calls and it
// asked a node of an earlier build: that build's request has no topic and always reads the operator's,
// and gob ignores fields that the receiver does not have.

// EarlierReadRequest is the read request of builds that read only the operator's topic.
type EarlierReadRequest struct{ From int64 }

type earlierService struct{ log store.Log }

// Read replies as such a build does.
func (s *earlierService) Read(request EarlierReadRequest, reply *ReadReply) error {
	return readTopic(context.Background(), s.log, ReadRequest{From: request.From}, reply)
}

// serveEarlierNode is serveNode for such a build.
func serveEarlierNode(t *testing.T, log store.Log) string {
	t.Helper()
	return nodecalltest.Serve(t, nodecalltest.WithService("Store", &earlierService{log: log}))
}

func TestEarlierBuildServesOnlyOperatorTopic(t *testing.T) {
	memory := operatorLog()
	memory.Put(store.TopicQuarantine, "end", []byte("1"))
	earlier := serveEarlierNode(t, memory)
	peers := &Peers{}
	peers.Add(earlier)
	request := ReadRequest{Topic: store.TopicQuarantine, From: -1}
	if reply, err := ReadVia(context.Background(), peers, request); err == nil {
		t.Errorf("the earlier build replied with %v up to %d", values(reply), reply.Next)
	}
	// The operator's topic can still be read through it.
	if reply, err := ReadVia(context.Background(), peers, ReadRequest{From: 1}); err != nil || len(reply.Records) != 2 {
		t.Errorf("operator's topic: %v, %v", values(reply), err)
	}
	// If a node of this build is known as well, it is tried next.
	peers.Add(serveNode(t, memory, &Peers{}))
	peers.Add(earlier)
	reply, err := ReadVia(context.Background(), peers, request)
	if diff := cmp.Diff([]string{"end=1"}, values(reply)); err != nil || diff != "" {
		t.Errorf("%v: %s", err, diff)
	}
}

// Builds that request all topics by Store.Read are still served.
func TestReadMethodServesAnyTopic(t *testing.T) {
	memory := storetest.NewMemory()
	memory.Put(store.TopicQuarantine, "end", []byte("1"))
	var reply ReadReply
	err := nodecall.Call(context.Background(), serveNode(t, memory, &Peers{}), "Store.Read", ReadRequest{Topic: store.TopicQuarantine, From: -1}, &reply)
	if diff := cmp.Diff([]string{"end=1"}, values(reply)); err != nil || diff != "" {
		t.Errorf("%v: %s", err, diff)
	}
}
