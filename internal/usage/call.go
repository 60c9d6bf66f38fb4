package usage

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

// The RPC service through which nodes append records for each other.
const (
	serviceName  = "Usage"
	methodAppend = serviceName + ".Append"
)

// AppendRequest carries an encoded record that its sender could not append itself.
type AppendRequest struct{ Record []byte }

// AppendReply confirms that the store has the record.
type AppendReply struct{}

type service struct{ log store.Log }

// Register adds the service to a server, so that nodes that cannot reach the store can append
// through this one.
func Register(server *rpc.Server, log store.Log) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{log: log}), "register the usage service")
}

// Append appends a record on behalf of another node.
func (s *service) Append(request AppendRequest, _ *AppendReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, Partition, [][]byte{request.Record})
	return err
}

// AppendVia asks the node at an address to append an encoded record on behalf of this one.
func AppendVia(ctx context.Context, address string, encoded []byte) error {
	return nodecall.Call(ctx, address, methodAppend, AppendRequest{Record: encoded}, &AppendReply{})
}
