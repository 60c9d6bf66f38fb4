// Package storeproxy lets a node that the store turns away read keyed topics by way of another
// node, and add to those that are the product's own. A store may refuse some machines while it
// serves all others.
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
	// readTimeout bounds the read that a node makes for another.
	readTimeout = 600 * time.Millisecond
	// freshFor is how long an answer is given again: hundreds of nodes may ask at once.
	freshFor = 200 * time.Millisecond
	// askTimeout bounds the asking of one node, above readTimeout.
	askTimeout = 800 * time.Millisecond
	// mostPeers is how many nodes are remembered: the ones that coordinated last.
	mostPeers = 4
)

// Question asks for the records of a keyed topic.
type Question struct {
	// Topic is that of the operator unless it is told.
	Topic store.Topic
	// From is the offset to read on from; below 0 the newest record of each key is asked for.
	From int64
}

// Answer holds the records.
type Answer struct {
	Records []store.Record
	// Whole says that the records are the newest of each key, not what came after From.
	Whole bool
	// Next is the offset after what was read.
	Next int64
	// Age is how long before this answer the store was asked. A node that does not tell is
	// taken to have asked it just then.
	Age time.Duration
	// Failed and Peer are an Outcome.
	Failed bool
	Peer   string
}

// Outcome says whether a node could do what it was asked for.
type Outcome struct {
	// Failed says that the store turned this node away as well; Peer is where a node answers
	// that could when it was last heard of, empty for none.
	Failed bool
	Peer   string
}

// Peers remembers where other nodes answer. It may be used by several goroutines.
type Peers struct {
	mutex     sync.Mutex
	addresses []string
}

// Note remembers an address as the last that was heard of.
func (p *Peers) Note(address string) {
	if address == "" {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := slices.DeleteFunc(p.addresses, func(other string) bool { return other == address })
	p.addresses = append([]string{address}, known...)
	p.addresses = p.addresses[:min(len(p.addresses), mostPeers)]
}

// Known returns the addresses, the last that was heard of first.
func (p *Peers) Known() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.addresses)
}

// The calls of the service.
const (
	serviceName = "Store"
	// methodRead reads any topic at nodes of this build. Earlier ones do not know that a question may name
	// one, and answer with the operator's records.
	methodRead = serviceName + ".Read"
	// methodReadTopic is the same under a name that they do not have, so that they say so.
	methodReadTopic = serviceName + ".ReadTopic"
)

// Proxy reads the store for other nodes. It may be used by several goroutines.
type Proxy struct {
	log   store.Log
	peers *Peers

	// reads are those under way, by the question: nodes that ask for the same share one.
	reads singleflight.Group

	mutex  sync.Mutex
	latest map[Question]latestRead
}

type latestRead struct {
	answer Answer
	// askedAt is when the store was asked, at when it had answered.
	askedAt, at time.Time
}

// aged returns the answer with its age.
func (r latestRead) aged() Answer {
	answer := r.answer
	answer.Age = clock.Since(r.askedAt)
	return answer
}

// NewProxy returns a proxy to a store. Peers are told to the nodes that it can not help.
func NewProxy(log store.Log, peers *Peers) *Proxy {
	return &Proxy{log: log, peers: peers, latest: make(map[Question]latestRead)}
}

type service struct{ proxy *Proxy }

// Register has a server read the store for other nodes.
func Register(server *rpc.Server, proxy *Proxy) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{proxy: proxy}), "register the reading for other nodes")
}

// Read reads a keyed topic for another node.
func (s *service) Read(question Question, answer *Answer) error {
	*answer = s.proxy.Read(question)
	return nil
}

// ReadTopic is Read.
func (s *service) ReadTopic(question Question, answer *Answer) error { return s.Read(question, answer) }

// Read answers a question from the store, or from what was read of it just before.
func (p *Proxy) Read(question Question) Answer {
	if answer, fresh := p.fresh(question); fresh {
		return answer
	}
	shared, _, _ := p.reads.Do(fmt.Sprint(question.Topic, question.From), func() (any, error) {
		askedAt := clock.Now()
		latest := latestRead{answer: p.readNow(question), askedAt: askedAt, at: clock.Now()}
		p.note(question, latest)
		return latest, nil
	})
	return shared.(latestRead).aged()
}

func (p *Proxy) fresh(question Question) (answer Answer, fresh bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latest[question]
	return latest.aged(), clock.Since(latest.at) < freshFor
}

// note remembers an answer, and forgets the others that are no longer fresh.
func (p *Proxy) note(question Question, latest latestRead) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.latest, func(_ Question, read latestRead) bool { return latest.at.Sub(read.at) >= freshFor })
	p.latest[question] = latest
}

func (p *Proxy) readNow(question Question) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var answer Answer
	if err := read(ctx, p.log, question, &answer); err == nil {
		return answer
	}
	outcome := p.failed()
	return Answer{Failed: outcome.Failed, Peer: outcome.Peer}
}

// failed says that the store turned this node away, and where another one answers.
func (p *Proxy) failed() Outcome {
	outcome := Outcome{Failed: true}
	if known := p.peers.Known(); len(known) > 0 {
		outcome.Peer = known[0]
	}
	return outcome
}

func read(ctx context.Context, log store.Log, question Question, answer *Answer) error {
	if question.From >= 0 {
		batch, err := log.Read(ctx, store.Partition{Topic: question.Topic}, question.From, 0)
		if err == nil {
			answer.Records, answer.Next = batch.Records, batch.Next
			return nil
		}
		var trimmed *store.TrimmedError
		if !errors.As(err, &trimmed) {
			return err
		}
	}
	records, end, err := log.Newest(ctx, question.Topic)
	answer.Records, answer.Next, answer.Whole = records, end, true
	return err
}

var errNobody = errors.New("no other node reads the store")

// Call asks the node at an address.
type Call func(ctx context.Context, address string, question Question) (Answer, error)

// Ask has other nodes read the store, one after the other until one can.
func Ask(ctx context.Context, peers *Peers, question Question) (Answer, error) {
	return AskBy(ctx, CallNode, peers, question)
}

// AskBy is Ask by a way of calling nodes.
func AskBy(ctx context.Context, call Call, peers *Peers, question Question) (answer Answer, err error) {
	err = peers.each(ctx, func(ctx context.Context, address string) (Outcome, error) {
		given, err := call(ctx, address, question)
		answer = given
		return Outcome{Failed: given.Failed, Peer: given.Peer}, err
	})
	return answer, err
}

// each has nodes do something, one after the other until one can. A node that can not may name
// one that could; that one is next.
func (p *Peers) each(ctx context.Context, do func(ctx context.Context, address string) (Outcome, error)) error {
	asked := make(map[string]bool)
	failure := errNobody
	addresses := p.Known()
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		call, cancel := context.WithTimeout(ctx, askTimeout)
		outcome, err := do(call, address)
		cancel()
		switch {
		case err != nil:
			failure = err
		case outcome.Failed && outcome.Peer != "":
			addresses = append([]string{outcome.Peer}, addresses...)
		case !outcome.Failed:
			p.Note(address)
			return nil
		}
	}
	return failure
}

// CallNode is the Call of nodes on the network.
func CallNode(ctx context.Context, address string, question Question) (answer Answer, err error) {
	method := methodRead
	if question.Topic != store.TopicOperator {
		method = methodReadTopic
	}
	err = nodecall.Call(ctx, address, method, question, &answer)
	return answer, err
}
