// Package storeproxy lets a node whose calls the store refuses use the store by way of another
// node: it can read keyed topics, and append to the ones that the nodes own. A store may refuse some
// machines while it serves all others.
package storeproxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"dalehook/internal/clock"
	"dalehook/internal/nodecall"
	"dalehook/internal/store"
)

const (
	// storeTimeout bounds a call to the store on behalf of another node.
	storeTimeout = 600 * time.Millisecond
	// cacheTTL is how long a reply is reused, since hundreds of nodes may ask at once.
	cacheTTL = 200 * time.Millisecond
	// callTimeout bounds the call to one node. It exceeds storeTimeout.
	callTimeout = 800 * time.Millisecond
	// maxPeers is the number of addresses that Peers keeps: those of the latest coordinators.
	maxPeers = 4
)

// ReadRequest is a request for the records of a keyed topic.
type ReadRequest struct {
	// Topic is the topic to read; builds that do not send it read the operator's topic, the zero
	// value.
	Topic store.Topic
	// From is the offset to read from; a negative one requests the newest record of each key.
	From int64
}

// ReadReply holds the requested records.
type ReadReply struct {
	Records []store.Record
	// Whole is set if Records are the newest records of each key instead of the records from From
	// on.
	Whole bool
	// Next is the offset after the last record read.
	Next int64
	// Age is the time from the read of the store to this reply. From a node that does not send it
	// it is zero.
	Age time.Duration
	// Failed and Peer are those of an Outcome.
	Failed bool
	Peer   string
}

// Outcome reports whether a node could carry out a request.
type Outcome struct {
	// Failed is set if the call of this node to the store failed as well. Peer is then the address
	// of another node that could reach the store when it was last heard of; empty for none.
	Failed bool
	Peer   string
}

// Peers keeps the addresses of other nodes that can reach the store, most recent first. It is safe
// for concurrent use.
type Peers struct {
	mutex     sync.Mutex
	addresses []string
}

// Add makes an address the most recent one.
func (p *Peers) Add(address string) {
	if address == "" {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	others := slices.DeleteFunc(p.addresses, func(other string) bool { return other == address })
	p.addresses = append([]string{address}, others...)
	p.addresses = p.addresses[:min(len(p.addresses), maxPeers)]
}

// Addresses returns the addresses, most recent first.
func (p *Peers) Addresses() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.addresses)
}

// Names of the RPC service and its methods.
const (
	serviceName = "Store"
	// methodRead reads any topic at nodes of this build. Earlier builds ignore the topic of a request
	// and reply with the operator's records.
	methodRead = serviceName + ".Read"
	// methodReadTopic is methodRead under a name that earlier builds do not have, so that they
	// return an error instead.
	methodReadTopic = serviceName + ".ReadTopic"
)

// Proxy calls the store on behalf of other nodes: it reads keyed topics and appends to those that
// the nodes own. It is safe for concurrent use.
type Proxy struct {
	log   store.Log
	peers *Peers

	// inFlight holds the reads in progress, by request, so that concurrent equal requests share one.
	inFlight singleflight.Group

	mutex sync.Mutex
	cache map[ReadRequest]cachedReply
}

type cachedReply struct {
	reply ReadReply
	// requestedAt is when the read of the store began, cachedAt when it ended.
	requestedAt, cachedAt time.Time
}

// withAge returns the reply with its current age.
func (r cachedReply) withAge() ReadReply {
	reply := r.reply
	reply.Age = clock.Since(r.requestedAt)
	return reply
}

// NewProxy returns a proxy to a store. When the store fails its calls, it refers callers to the
// most recent of the peers.
func NewProxy(log store.Log, peers *Peers) *Proxy {
	return &Proxy{log: log, peers: peers, cache: make(map[ReadRequest]cachedReply)}
}

type service struct{ proxy *Proxy }

// Register adds the service to a server, so that other nodes can use the store through this one.
func Register(server *rpc.Server, proxy *Proxy) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{proxy: proxy}), "register the store service")
}

// Read reads a keyed topic on behalf of another node.
func (s *service) Read(request ReadRequest, reply *ReadReply) error {
	*reply = s.proxy.Read(request)
	return nil
}

// ReadTopic is Read under a name that earlier builds do not have.
func (s *service) ReadTopic(request ReadRequest, reply *ReadReply) error {
	return s.Read(request, reply)
}

// Read replies to a request from the cache, or else from the store.
func (p *Proxy) Read(request ReadRequest) ReadReply {
	if reply, fresh := p.cachedRead(request); fresh {
		return reply
	}
	shared, _, _ := p.inFlight.Do(fmt.Sprint(request.Topic, request.From), func() (any, error) {
		requestedAt := clock.Now()
		cached := cachedReply{reply: p.readStore(request), requestedAt: requestedAt, cachedAt: clock.Now()}
		p.cacheRead(request, cached)
		return cached, nil
	})
	return shared.(cachedReply).withAge()
}

func (p *Proxy) cachedRead(request ReadRequest) (reply ReadReply, fresh bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cached := p.cache[request]
	return cached.withAge(), clock.Since(cached.cachedAt) < cacheTTL
}

// cacheRead caches a reply and removes the expired ones.
func (p *Proxy) cacheRead(request ReadRequest, cached cachedReply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.cache, func(_ ReadRequest, read cachedReply) bool { return cached.cachedAt.Sub(read.cachedAt) >= cacheTTL })
	p.cache[request] = cached
}

func (p *Proxy) readStore(request ReadRequest) ReadReply {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	var reply ReadReply
	if err := readTopic(ctx, p.log, request, &reply); err == nil {
		return reply
	}
	outcome := p.failedOutcome()
	return ReadReply{Failed: outcome.Failed, Peer: outcome.Peer}
}

// failedOutcome returns the outcome of a failed call to the store, with the most recent peer.
func (p *Proxy) failedOutcome() Outcome {
	outcome := Outcome{Failed: true}
	if addresses := p.peers.Addresses(); len(addresses) > 0 {
		outcome.Peer = addresses[0]
	}
	return outcome
}

func readTopic(ctx context.Context, log store.Log, request ReadRequest, reply *ReadReply) error {
	if request.From >= 0 {
		batch, err := log.Read(ctx, store.Partition{Topic: request.Topic}, request.From, 0)
		if err == nil {
			reply.Records, reply.Next = batch.Records, batch.Next
			return nil
		}
		var trimmed *store.TrimmedError
		if !errors.As(err, &trimmed) {
			return err
		}
	}
	records, end, err := log.Newest(ctx, request.Topic)
	reply.Records, reply.Next, reply.Whole = records, end, true
	return err
}

var errNoPeers = errors.New("no known node can reach the store")

// CallFunc sends a read request to the node at an address.
type CallFunc func(ctx context.Context, address string, request ReadRequest) (ReadReply, error)

// ReadVia asks other nodes to read the store, one after another until one succeeds.
func ReadVia(ctx context.Context, peers *Peers, request ReadRequest) (ReadReply, error) {
	return ReadViaFunc(ctx, CallNode, peers, request)
}

// ReadViaFunc is ReadVia with a function that calls the nodes.
func ReadViaFunc(ctx context.Context, call CallFunc, peers *Peers, request ReadRequest) (reply ReadReply, err error) {
	err = peers.tryEach(ctx, func(ctx context.Context, address string) (Outcome, error) {
		received, err := call(ctx, address, request)
		reply = received
		return Outcome{Failed: received.Failed, Peer: received.Peer}, err
	})
	return reply, err
}

// tryEach calls ask for the addresses, one after another until one succeeds. If a node that failed
// names another peer, that peer is tried next.
func (p *Peers) tryEach(ctx context.Context, ask func(ctx context.Context, address string) (Outcome, error)) error {
	tried := make(map[string]bool)
	lastErr := errNoPeers
	addresses := p.Addresses()
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, err := ask(callCtx, address)
		cancel()
		switch {
		case err != nil:
			lastErr = err
		case outcome.Failed && outcome.Peer != "":
			addresses = append([]string{outcome.Peer}, addresses...)
		case !outcome.Failed:
			p.Add(address)
			return nil
		}
	}
	return lastErr
}

// CallNode is the CallFunc that calls nodes over the network.
func CallNode(ctx context.Context, address string, request ReadRequest) (reply ReadReply, err error) {
	method := methodRead
	if request.Topic != store.TopicOperator {
		method = methodReadTopic
	}
	err = nodecall.Call(ctx, address, method, request, &reply)
	return reply, err
}
