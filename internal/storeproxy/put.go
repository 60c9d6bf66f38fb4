package storeproxy

import (
	"context"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

// Addition asks for records to be added to a keyed topic of the product.
type Addition struct {
	Topic   store.Topic
	Records []store.Record
}

const methodPut = serviceName + ".Put"

// Put adds records for another node.
func (s *service) Put(addition Addition, outcome *Outcome) error {
	if addition.Topic != store.TopicQuarantine {
		return eris.Errorf("topic %s is not added to for other nodes", addition.Topic)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := s.proxy.log.PutKeyed(ctx, addition.Topic, addition.Records); err != nil {
		*outcome = s.proxy.failed()
	}
	return nil
}

// Put has other nodes add records, one after the other until one can.
func Put(ctx context.Context, peers *Peers, addition Addition) error {
	return peers.each(ctx, func(ctx context.Context, address string) (outcome Outcome, err error) {
		err = nodecall.Call(ctx, address, methodPut, addition, &outcome)
		return outcome, err
	})
}
