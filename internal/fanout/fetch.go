package fanout

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
)

const (
	// mostSteps bounds the calls that are made one after the other: five steps of fanOut reach 32,000 nodes.
	mostSteps = 8
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
	answer, err := askInTurn(ctx, call, address, question)
	if err == nil && answer.Next < question.Next {
		err = eris.Wrapf(errNotGiven, "ask node %s", address)
	}
	return answer, err
}

// ErrOld is returned where nodes answer, and none knows the topic as it was a moment ago: the store may be away for all.
var ErrOld = eris.New("no node knows what is new")

// Poll asks nodes for what came after an offset, one after the other until one knows the topic as it was a moment ago,
// be it that nothing came. It is for nodes that the store turns away: the coordinator gives a change to few of them.
func Poll(ctx context.Context, call Call, addresses []string, from int64, asker string) (Answer, error) {
	failure := errNotGiven
	for _, address := range addresses {
		answer, err := askInTurn(ctx, call, address, Question{From: from, Next: from + 1, Asker: asker})
		switch {
		case err != nil && !eris.Is(failure, ErrOld):
			failure = err
		case err != nil:
		case answer.Next > from:
			return answer, nil
		case answer.Next == from && answer.Age < oldestTold:
			return answer, nil
		default:
			failure = ErrOld
		}
	}
	return Answer{}, eris.Wrapf(failure, "poll %d nodes", len(addresses))
}

// askInTurn asks a node, and those to which it is sent. One that sent it to a node which does not answer is
// asked again.
func askInTurn(ctx context.Context, call Call, address string, question Question) (Answer, error) {
	sender := ""
	for range mostSteps {
		answer, err := ask(ctx, call, address, question)
		switch {
		case err != nil && sender != "" && ctx.Err() == nil:
			question.Gone = address
			address, sender = sender, ""
			continue
		case err != nil || answer.Elsewhere == "" || answer.Elsewhere == question.Asker:
			return answer, err
		}
		question.Gone = ""
		address, sender = answer.Elsewhere, address
	}
	return Answer{}, eris.Wrapf(errNotGiven, "ask %d nodes", mostSteps)
}

func ask(ctx context.Context, call Call, address string, question Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return call(ctx, address, question)
}
