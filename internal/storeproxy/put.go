package storeproxy

import (
	"context"
	"fmt"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

// Addition asks for records to be added to a keyed topic of the product.
type Addition struct {
	Topic   store.Topic
	Records []store.Record
}

// Added tells whether they were. Failed says that this node could not add them either.
type Added struct{ Failed bool }

const methodPut = serviceName + ".Put"

// Put adds records for another node.
func (s *service) Put(addition Addition, added *Added) error {
	if addition.Topic != store.TopicQuarantine {
		return fmt.Errorf("topic %s is not added to for other nodes", addition.Topic)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	added.Failed = s.proxy.log.PutKeyed(ctx, addition.Topic, addition.Records) != nil
	return nil
}

// Put has other nodes add records, one after the other until one can.
func Put(ctx context.Context, peers *Peers, addition Addition) error {
	failure := errNobody
	for _, address := range peers.Known() {
		added, err := putOne(ctx, address, addition)
		switch {
		case err != nil:
			failure = err
		case !added.Failed:
			return nil
		}
	}
	return failure
}

func putOne(ctx context.Context, address string, addition Addition) (added Added, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err = nodecall.Call(ctx, address, methodPut, addition, &added)
	return added, err
}
