package storeproxy

import (
	"context"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

// PutRequest is a request to append records to a keyed topic that the nodes own.
type PutRequest struct {
	Topic   store.Topic
	Records []store.Record
}

const methodPut = serviceName + ".Put"

// Put appends records on behalf of another node.
func (s *service) Put(request PutRequest, outcome *Outcome) error {
	if request.Topic != store.TopicQuarantine {
		return eris.Errorf("topic %s is not writable by way of other nodes", request.Topic)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := s.proxy.log.PutKeyed(ctx, request.Topic, request.Records); err != nil {
		*outcome = s.proxy.failedOutcome()
	}
	return nil
}

// PutVia asks other nodes to append records, one after another until one succeeds.
func PutVia(ctx context.Context, peers *Peers, request PutRequest) error {
	return peers.tryEach(ctx, func(ctx context.Context, address string) (outcome Outcome, err error) {
		err = nodecall.Call(ctx, address, methodPut, request, &outcome)
		return outcome, err
	})
}
