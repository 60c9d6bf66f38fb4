package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sizes of a plain server. The sheet has 6 slots; a server queues a few more.
const (
	serviceSlots = 6
	serviceQueue = 4
	idleSeconds  = 10
)

// garbling is the time in which a faulty server sends a second copy of some answers, late: in the place of the
// next answer on the connection.
type garbling struct {
	from, to time.Time
	share    float64
}

// plainServer is a server of a service without models, as PROTOCOL.md describes it. It speaks on raw
// connections, since a faulty one sends more than its answers.
type plainServer struct {
	id, address, zone string
	store             *standinStore
	record            *recorder
	onRun             func(requestID, serverID string, at time.Time)

	mutex            sync.Mutex
	random           *rand.Rand
	garbling         garbling
	running, waiting int
	slots            chan struct{}
	answers, shed    int
	extra, extraShed int
}

func newPlainServer(id, address, zone string, store *standinStore, record *recorder, seed uint64) *plainServer {
	return &plainServer{
		id: id, address: address, zone: zone, store: store, record: record, slots: make(chan struct{}, serviceSlots),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
}

func (p *plainServer) beat(service string) {
	for sequence := 1; ; sequence++ {
		p.store.put("keyed.servers", p.id, map[string]any{
			"service": service, "address": p.address, "zone": p.zone, "version": "v1", "slots": serviceSlots, "state": "ready", "coldRemainingMs": 0,
			"sequence": sequence,
		})
		time.Sleep(heartbeatTime)
	}
}

func (p *plainServer) garble(g garbling) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.garbling = g
}

func (p *plainServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

func (p *plainServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleSeconds * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if surplus != nil {
			// The second copy of the last answer arrives late, in the place of the answer to this request. It names
			// the request that it belongs to.
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			p.record.note("server %s sends its last answer a second time while it has request %s", p.id, request.Header.Get("X-Request-Id"))
			surplus = nil
		}
		answer, shed := p.answer(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if p.sendsAgain(shed) {
			surplus = answer
		}
	}
}

// sendsAgain decides whether an answer will be sent a second time.
func (p *plainServer) sendsAgain(shed bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answers++
	if shed {
		p.shed++
	}
	now := time.Now()
	if now.Before(p.garbling.from) || !now.Before(p.garbling.to) || p.random.Float64() >= p.garbling.share {
		return false
	}
	p.extra++
	if shed {
		p.extraShed++
	}
	return true
}

// answer runs a request, or rejects it, and returns the bytes of the answer.
func (p *plainServer) answer(request *http.Request, body []byte) (answer []byte, shed bool) {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != p.id {
		return p.encode(http.StatusMisdirectedRequest, id, "", nil, "X-Instance-Id: "+p.id+"\r\n"), false
	}
	if request.URL.Path == "/health" {
		return p.encode(http.StatusOK, id, "", nil, "X-Instance-Id: "+p.id+"\r\n"), false
	}
	p.mutex.Lock()
	if p.waiting >= serviceQueue {
		p.mutex.Unlock()
		return p.encode(http.StatusServiceUnavailable, id, "", nil, "X-Not-Executed: 1\r\n"), true
	}
	p.waiting++
	p.mutex.Unlock()
	p.slots <- struct{}{}
	p.mutex.Lock()
	p.waiting--
	p.running++
	work := 30*time.Millisecond + time.Duration(p.random.IntN(60))*time.Millisecond
	p.mutex.Unlock()
	p.onRun(id, p.id, time.Now())
	time.Sleep(work)
	p.mutex.Lock()
	p.running--
	p.mutex.Unlock()
	<-p.slots
	return p.encode(http.StatusOK, id, "sig-"+p.id+"-"+id, fmt.Appendf(nil, "answer to %s of %d bytes", id, len(body)), ""), false
}

func (p *plainServer) encode(status int, id, signature string, body []byte, more string) []byte {
	p.mutex.Lock()
	running, waiting := p.running, p.waiting
	p.mutex.Unlock()
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n", status, http.StatusText(status), id)
	if signature != "" {
		fmt.Fprintf(&answer, "X-Server-Signature: %s\r\n", signature)
	}
	fmt.Fprintf(&answer, "X-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=%d\r\n%sContent-Length: %s\r\n\r\n", running, waiting, serviceSlots, idleSeconds, more, strconv.Itoa(len(body)))
	answer.Write(body)
	return answer.Bytes()
}
