package usage

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

// The calls of the service by which nodes append for each other.
const (
	serviceName  = "Usage"
	methodAppend = serviceName + ".Append"
)

// AppendQuestion holds a record that its node could not append.
type AppendQuestion struct{ Record []byte }

// AppendAnswer says that the record stands in the store.
type AppendAnswer struct{}

type service struct{ log store.Log }

// Register has a server append the records of nodes that can not reach the store.
func Register(server *rpc.Server, log store.Log) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{log: log}), "register the calls about usage")
}

// Append appends a record of another node.
func (s *service) Append(question AppendQuestion, _ *AppendAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, Partition, [][]byte{question.Record})
	return err
}

// AskToAppend has the node at an address append a record.
func AskToAppend(ctx context.Context, address string, encoded []byte) error {
	return nodecall.Call(ctx, address, methodAppend, AppendQuestion{Record: encoded}, &AppendAnswer{})
}
