// Package backend holds the clients of the back ends: model engines and service
// servers. A request is never sent twice by these clients, and each result says
// what is known of it: not sent, refused, answered whole, cut, or unknown.
package backend

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"dalehook/internal/roundtrip"
)

// Options configure the clients of back ends. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds short calls: reports, orders and cancels.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It should be
	// shorter than the back ends' own.
	IdleTimeout time.Duration
	// IdlePerBackend is the largest number of idle connections kept to one
	// back end.
	IdlePerBackend int
	// BufferLimit is the largest answer, in bytes, that is buffered.
	BufferLimit int64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// The defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultIdlePerBackend = 256
	DefaultBufferLimit    = 1 << 20
)

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerBackend <= 0 {
		o.IdlePerBackend = DefaultIdlePerBackend
	}
	if o.BufferLimit <= 0 {
		o.BufferLimit = DefaultBufferLimit
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// HeaderRequestID carries a new ID with each request. A back end returns it with the
// answer; an answer with another ID, or without one, is not that of the request.
const HeaderRequestID = "Dalehook-Request-Id"

// newRequestID returns the ID of one request to a back end.
func newRequestID() string { return rand.Text() }

// transport returns the transport that the clients send by.
func (o Options) transport() *roundtrip.Transport {
	return roundtrip.New(roundtrip.Options{
		IdleTimeout: o.IdleTimeout,
		IdlePerPeer: o.IdlePerBackend,
		Dial:        o.Dial,
		IDHeader:    HeaderRequestID,
	})
}
