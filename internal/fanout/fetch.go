package fanout

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/nodecall"
)

const (
	// maxRedirects bounds the consecutive calls: five levels of fanOutDegree reach 32,000 nodes; the other three
	// calls are for redirections to nodes that do not answer.
	maxRedirects = 8
	// callTimeout bounds a call. It exceeds serveTimeout because the answer shares a link with those to other
	// nodes.
	callTimeout = serveTimeout + 400*time.Millisecond
)

// RPC methods of the service.
const (
	serviceName = "Fanout"
	methodTake  = serviceName + ".Take"
)

type service struct{ cache *Cache }

// Register makes a server serve the contents of a cache to other nodes.
func Register(server *rpc.Server, cache *Cache) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{cache: cache}), "register the fan-out service")
}

// Take answers another node.
func (s *service) Take(question Question, answer *Answer) error {
	*answer = s.cache.Serve(context.Background(), question)
	return nil
}

// CallFunc sends a question to the node at an address.
type CallFunc func(ctx context.Context, address string, question Question) (Answer, error)

// CallNode is the CallFunc of nodes on the network.
func CallNode(ctx context.Context, address string, question Question) (answer Answer, err error) {
	err = nodecall.Call(ctx, address, methodTake, question, &answer)
	return answer, err
}

var errNotServed = eris.New("no node serves the change")

// Fetch asks a node for a change, and then the nodes to which it is redirected, until one serves it.
func Fetch(ctx context.Context, call CallFunc, address string, question Question) (Answer, error) {
	answer, err := callWithRedirects(ctx, call, address, question)
	if err == nil && answer.Next < question.Next {
		err = eris.Wrapf(errNotServed, "ask node %s", address)
	}
	return answer, err
}

// ErrStale is returned if nodes answer but none has recent knowledge of the topic: the store may be
// unavailable to all.
var ErrStale = eris.New("no node has recent knowledge of the topic")

// Poll asks nodes in turn for what came after an offset until one has recent knowledge of the topic, even
// if nothing came. It is for nodes that the store rejects: the coordinator serves a change to only a few of
// them.
func Poll(ctx context.Context, call CallFunc, addresses []string, from int64, asker string) (Answer, error) {
	failure := errNotServed
	for _, address := range addresses {
		answer, err := callWithRedirects(ctx, call, address, Question{From: from, Next: from + 1, Asker: asker})
		switch {
		case err != nil && !eris.Is(failure, ErrStale):
			failure = err
		case err != nil:
		case answer.Next > from:
			return answer, nil
		case answer.Next == from && answer.Age < maxAnnouncedAge:
			return answer, nil
		default:
			failure = ErrStale
		}
	}
	return Answer{}, eris.Wrapf(failure, "poll %d nodes", len(addresses))
}

// callWithRedirects asks a node, and then the nodes to which it is redirected. If a node that it was
// redirected to does not answer, the redirecting node is asked again.
func callWithRedirects(ctx context.Context, call CallFunc, address string, question Question) (Answer, error) {
	redirector := ""
	for range maxRedirects {
		answer, err := callOnce(ctx, call, address, question)
		switch {
		case err != nil && redirector != "" && ctx.Err() == nil:
			question.Gone = address
			address, redirector = redirector, ""
			continue
		case err != nil || answer.Elsewhere == "" || answer.Elsewhere == question.Asker:
			return answer, err
		}
		question.Gone = ""
		address, redirector = answer.Elsewhere, address
	}
	return Answer{}, eris.Wrapf(errNotServed, "ask %d nodes", maxRedirects)
}

func callOnce(ctx context.Context, call CallFunc, address string, question Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, address, question)
}
