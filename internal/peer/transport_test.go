package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/goleak"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ping is a registered message, stranger one that nobody registered.
type ping struct {
	Number  int
	Payload string
}

type stranger struct{ Number int }

func init() { machine.RegisterMessage("peer.testPing", ping{}) }

// node is a running transport whose messages come out of a channel.
type node struct {
	*Transport
	self     cluster.Node
	received chan machine.PeerMessage
	ended    chan error
}

// listen opens a listener on loopback; an empty address takes a free port.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// run starts a transport and stops it at the end of the test.
func run(t *testing.T, id cluster.NodeID, incarnation cluster.Incarnation, listener net.Listener, change func(*Options)) *node {
	t.Helper()
	n := &node{
		self:     cluster.Node{ID: id, Incarnation: incarnation, PeerAddress: listener.Addr().String()},
		received: make(chan machine.PeerMessage, 4096),
		ended:    make(chan error, 1),
	}
	options := Options{
		Self:     n.self,
		Listener: listener,
		Receive:  func(message machine.PeerMessage) { n.received <- message },
	}
	if change != nil {
		change(&options)
	}
	n.Transport = NewTransport(options)
	go func() { n.ended <- n.Run(context.Background()) }()
	t.Cleanup(n.stop)
	return n
}

// stop stops the transport and waits for its end.
func (n *node) stop() {
	n.Stop()
	<-n.ended
	n.ended <- nil
}

// sendTo sends a ping to another node.
func (n *node) sendTo(to *node, number int, payload string) {
	n.Send(to.self.ID, to.self.PeerAddress, ping{Number: number, Payload: payload})
}

// expect takes the next message and checks its sender and number.
func (n *node) expect(t *testing.T, from *node, number int) {
	t.Helper()
	message := <-n.received
	if message.From != from.self.ID || message.FromIncarnation != from.self.Incarnation {
		t.Errorf("from %s/%d", message.From, message.FromIncarnation)
	}
	if got, ok := message.Message.(ping); !ok || got.Number != number {
		t.Errorf("got %+v, want number %d", message.Message, number)
	}
}

// value returns the value of a counter or gauge.
func value(metric prometheus.Metric) float64 {
	var written dto.Metric
	metric.Write(&written)
	return written.GetCounter().GetValue() + written.GetGauge().GetValue()
}

// dropped returns how many messages were dropped for a reason.
func (n *node) dropped(reason string) float64 {
	return value(n.metrics.dropped.WithLabelValues(reason))
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	a, b := run(t, "a", 1, listen(t, ""), nil), run(t, "b", 2, listen(t, ""), nil)
	for i := range 200 {
		a.sendTo(b, i, "")
	}
	b.sendTo(a, 7, "")
	for i := range 200 {
		b.expect(t, a, i)
	}
	a.expect(t, b, 7)
	if open := value(a.metrics.connections.WithLabelValues(directionSent)); open != 1 {
		t.Errorf("%v connections", open)
	}
}

func TestPeerComesBackUnderAnotherIncarnation(t *testing.T) {
	a := run(t, "a", 1, listen(t, ""), nil)
	b := run(t, "b", 1, listen(t, ""), nil)
	a.sendTo(b, 1, "")
	b.expect(t, a, 1)
	b.stop()
	again := run(t, "b", 2, listen(t, b.self.PeerAddress), nil)
	// Messages may be lost around the restart; what is sent later arrives.
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for arrived := false; !arrived; {
		select {
		case <-ticker.C:
			a.sendTo(again, 2, "")
		case <-again.received:
			arrived = true
		}
	}
	again.sendTo(a, 3, "")
	a.expect(t, again, 3)
}

func TestPeerThatDoesNotReadBlocksNobody(t *testing.T) {
	a := run(t, "a", 1, listen(t, ""), func(o *Options) {
		o.WriteTimeout = 20 * time.Millisecond
		o.QueueLimit = 8
	})
	b := run(t, "b", 1, listen(t, ""), nil)
	deaf := listen(t, "")
	payload := strings.Repeat("x", 1<<20)
	for number := 0; a.dropped(dropQueueFull) == 0 || a.dropped(dropWrite) == 0; number++ {
		a.Send("deaf", deaf.Addr().String(), ping{Payload: payload})
		a.sendTo(b, number, "")
		b.expect(t, a, number)
	}
}

func TestMalformedStreamEndsItsConnectionOnly(t *testing.T) {
	b := run(t, "b", 1, listen(t, ""), func(o *Options) { o.FrameLimit = 1 << 10 })
	a := run(t, "a", 1, listen(t, ""), nil)
	a.sendTo(b, 1, "")
	b.expect(t, a, 1)
	for name, stream := range map[string][]byte{
		"garbage":         []byte(strings.Repeat("GET / HTTP/1.1\r\n", 80)),
		"other version":   encode(t, hello{Version: protocolVersion + 1, From: "c"}),
		"frame too large": encode(t, hello{Version: protocolVersion, From: "c"}, envelope{Message: ping{Payload: strings.Repeat("x", 1<<11)}}),
	} {
		before := value(b.metrics.malformed)
		expectClosed(t, b, stream)
		if got := value(b.metrics.malformed); got != before+1 {
			t.Errorf("%s: %v malformed connections were counted", name, got-before)
		}
	}
	expectClosed(t, b, encode(t, hello{Version: protocolVersion, From: "c", To: "somebody else"}))
	if got := value(b.metrics.misdirected); got != 1 {
		t.Errorf("%v misdirected connections were counted", got)
	}
	a.sendTo(b, 2, "")
	b.expect(t, a, 2)
	if len(b.received) != 0 {
		t.Error("a message of a malformed connection was received")
	}
}

// encode returns values as one gob stream.
func encode(t *testing.T, values ...any) []byte {
	t.Helper()
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			t.Fatal(err)
		}
	}
	return stream.Bytes()
}

// expectClosed sends a stream to a node and waits until the node closes.
func expectClosed(t *testing.T, to *node, stream []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", to.self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(stream)
	// The end may come as a reset when bytes were left unread.
	io.Copy(io.Discard, conn)
}

func TestMessageThatCannotTravelIsDropped(t *testing.T) {
	a := run(t, "a", 1, listen(t, ""), func(o *Options) { o.FrameLimit = 1 << 10 })
	b := run(t, "b", 1, listen(t, ""), nil)
	a.sendTo(b, 1, "")
	a.Send("b", b.self.PeerAddress, stranger{})
	a.sendTo(b, 2, "")
	a.sendTo(b, 3, strings.Repeat("x", 1<<11))
	a.sendTo(b, 4, "")
	// Each loss begins a new connection, so order holds only within one.
	seen := map[int]bool{}
	for range 3 {
		seen[(<-b.received).Message.(ping).Number] = true
	}
	if !seen[1] || !seen[2] || !seen[4] {
		t.Errorf("received %v", seen)
	}
	if a.dropped(dropEncode) != 1 || a.dropped(dropTooLarge) != 1 {
		t.Errorf("dropped %v and %v", a.dropped(dropEncode), a.dropped(dropTooLarge))
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	a := run(t, "a", 1, listen(t, ""), func(o *Options) { o.IdleTimeout = 10 * time.Millisecond })
	peer := listen(t, "")
	for range 2 {
		a.Send("", peer.Addr().String(), ping{})
		conn, err := peer.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("the connection ended with %v", err)
		}
		conn.Close()
	}
}

func TestStopSendsWhatIsQueued(t *testing.T) {
	b := run(t, "b", 1, listen(t, ""), nil)
	a := run(t, "a", 1, listen(t, ""), nil)
	const messages = 100
	for i := range messages {
		a.sendTo(b, i, "")
	}
	a.stop()
	for i := range messages {
		b.expect(t, a, i)
	}
	a.sendTo(b, 0, "")
	if a.dropped(dropStopped) != 1 {
		t.Error("a message after the stop was not counted")
	}
}

func TestUnreachablePeer(t *testing.T) {
	a := run(t, "a", 1, listen(t, ""), func(o *Options) { o.MinBackoff = time.Millisecond })
	gone := listen(t, "")
	gone.Close()
	for a.dropped(dropUnreachable) == 0 {
		a.Send("gone", gone.Addr().String(), ping{})
	}
}

// BenchmarkBytesPerMessage measures what a small message costs on the wire once
// its type is known there.
func BenchmarkBytesPerMessage(b *testing.B) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	encoder.Encode(hello{Version: protocolVersion, From: "node-12", FromIncarnation: 1767603600000, To: "node-13"})
	encoder.Encode(envelope{Message: ping{Number: 1}})
	first := stream.Len()
	b.ReportAllocs()
	for b.Loop() {
		encoder.Encode(envelope{Message: ping{Number: 1}})
		if stream.Len() > batchLimit {
			stream.Truncate(first)
		}
	}
	stream.Reset()
	encoder.Encode(envelope{Message: ping{Number: 1}})
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(stream.Len()), "bytes/message")
}
