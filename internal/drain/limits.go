package drain

import (
	"time"

	"dalehook/internal/bytebudget"
)

// Limits bound what the connections of a Server may hold and how long they may take. The zero value bounds nothing.
type Limits struct {
	// Connections is the number of open connections. A further one takes the place of the connection that has made
	// no progress for the longest time; without such a connection it is answered 503. 0 means no bound.
	Connections int
	// Heads returns the limits on heads of requests and on idle connections in force; nil means none. It may be
	// called by several goroutines at a time.
	Heads func() HeadLimits
	// Memory is the budget that heads, requests in progress and receive buffers count against; nil if they are not
	// bounded.
	Memory *bytebudget.Budget
	// ReceiveBuffer is the size in bytes of the receive buffers that the listener has set; 0 if it has set none.
	ReceiveBuffer int
	// Observe is called for each connection that is closed, and each request that is refused, because of a limit. It
	// must not block; nil ignores them.
	Observe func(Reason)
}

// HeadLimits bound the heads of requests, and connections that are idle. A value of 0 sets no bound.
type HeadLimits struct {
	// Bytes is the largest size of a head, which includes the request line.
	Bytes int
	// Timeout is the time within which a head must be complete after its first byte.
	Timeout time.Duration
	// IdleTimeout is the time for which a connection may rest after a response.
	IdleTimeout time.Duration
}

// Reason says why a limit closed a connection or refused a request.
type Reason int

const (
	// ReasonIdle: an idle connection, or one without any request, gave way to a new one.
	ReasonIdle Reason = iota
	// ReasonSlowHead: a connection with an incomplete head gave way.
	ReasonSlowHead
	// ReasonSlowBody: a connection whose body did not arrive gave way.
	ReasonSlowBody
	// ReasonNotRead: a connection whose client did not read a response gave way.
	ReasonNotRead
	// ReasonSentAhead: a connection whose client had sent requests ahead gave way.
	ReasonSentAhead
	// ReasonNoConnection: a new connection was refused, as no other one could give way.
	ReasonNoConnection
	// ReasonHeadBytes: a head exceeded its size limit before it was complete.
	ReasonHeadBytes
	// ReasonMemory: a request did not fit the memory for clients.
	ReasonMemory
	// ReasonProcessor: a request could not begin in time, as too many others had.
	ReasonProcessor
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	return [...]string{"idle", "slow head", "slow body", "response not read", "requests sent ahead", "no connection left", "head too large", "no memory left", "no processor left"}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	reasons := make([]Reason, ReasonCount)
	for reason := range ReasonCount {
		reasons[reason] = reason
	}
	return reasons
}

// heads returns the limits on heads in force.
func (l *Limits) heads() HeadLimits {
	if l.Heads == nil {
		return HeadLimits{}
	}
	return l.Heads()
}

func (l *Limits) observe(reason Reason) {
	if l.Observe != nil {
		l.Observe(reason)
	}
}
