package fanout

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
)

const (
	// mostSteps bounds the nodes that are asked one after the other: five steps of fanOut reach 32,000 nodes.
	mostSteps = 6
	// askTimeout bounds a call, above giveWait: the answer has to come over a link that sends it to others as well.
	askTimeout = giveWait + 400*time.Millisecond
)

// The calls of the service.
const (
	serviceName = "Fanout"
	methodTake  = serviceName + ".Take"
)

type service struct{ source *Source }

// Register has a server give what a source holds to other nodes.
func Register(server *rpc.Server, source *Source) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{source: source}), "register the giving of changes")
}

// Take answers another node.
func (s *service) Take(question Question, answer *Answer) error {
	*answer = s.source.Give(context.Background(), question)
	return nil
}

// Call asks the node at an address.
type Call func(ctx context.Context, address string, question Question) (Answer, error)

// CallNode is the Call of nodes on the network.
func CallNode(ctx context.Context, address string, question Question) (answer Answer, err error) {
	err = nodecall.Call(ctx, address, methodTake, question, &answer)
	return answer, err
}

var errNotGiven = eris.New("no node gives the change")

// Fetch asks a node for a change, and those to which it is sent, until one gives it.
func Fetch(ctx context.Context, call Call, address string, question Question) (Answer, error) {
	for range mostSteps {
		answer, err := ask(ctx, call, address, question)
		if err != nil {
			return Answer{}, err
		}
		if answer.Elsewhere == "" || answer.Elsewhere == question.Asker {
			if answer.Next < question.Next {
				return Answer{}, eris.Wrapf(errNotGiven, "ask node %s", address)
			}
			return answer, nil
		}
		address = answer.Elsewhere
	}
	return Answer{}, eris.Wrapf(errNotGiven, "ask %d nodes", mostSteps)
}

func ask(ctx context.Context, call Call, address string, question Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return call(ctx, address, question)
}
