package peer

import (
	"cmp"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Defaults of Options. The frame limit lets the largest record of a log pass
// from node to node with room to spare.
const (
	defaultQueueLimit   = 256
	defaultFrameLimit   = 32 << 20
	defaultDialTimeout  = 2 * time.Second
	defaultWriteTimeout = 5 * time.Second
	defaultIdleTimeout  = time.Minute
	defaultMinBackoff   = 100 * time.Millisecond
	defaultMaxBackoff   = 5 * time.Second
	defaultDrainTimeout = time.Second
)

// Options configure a Transport. Self, Listener and Receive are required; each
// other field has a default.
type Options struct {
	// Self is this process; messages carry its id and incarnation.
	Self cluster.Node
	// Listener accepts the connections of other nodes. The transport closes it.
	Listener net.Listener
	// Receive takes each message that comes in, in the order of its connection.
	// While it blocks, only the connection of that message waits.
	Receive func(machine.PeerMessage)
	Logger  *zap.Logger
	// Registerer takes the transport's metrics; nil for none.
	Registerer prometheus.Registerer

	// QueueLimit is the number of messages that may wait for one peer; further
	// ones are dropped.
	QueueLimit int
	// FrameLimit is the largest gob message in bytes, sent or received.
	FrameLimit int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// WriteTimeout bounds one write; a peer that does not read loses its
	// connection after it.
	WriteTimeout time.Duration
	// IdleTimeout closes a connection on which nothing was sent for so long.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed dial.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// DrainTimeout bounds the sending of queued messages at Stop.
	DrainTimeout time.Duration
}

// withDefaults fills the fields that were left zero.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.QueueLimit = cmp.Or(o.QueueLimit, defaultQueueLimit)
	o.FrameLimit = cmp.Or(o.FrameLimit, defaultFrameLimit)
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.MinBackoff = cmp.Or(o.MinBackoff, defaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	return o
}
