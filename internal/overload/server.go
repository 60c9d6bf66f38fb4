package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of a Server.
const (
	// latencySmoothing is the weight of the newest sample in the average of service times while
	// samples are frequent. A larger one notices slow servers sooner, but avoids a server after a
	// single slow response.
	latencySmoothing = 0.15
	// latencyTimeConstant is the time constant of the average of service times while samples are rare.
	latencyTimeConstant = time.Second
	// loadLifetime is how long a stated load counts as evidence of a free slot.
	loadLifetime = 500 * time.Millisecond
	// rejectionLifetime is how long a server that rejected a request is avoided.
	rejectionLifetime = time.Second
)

// Load is the load that a server states.
type Load struct {
	Running, Waiting, Slots int
}

// Utilization returns the requests for each slot; -1 if the server stated no slots.
func (l Load) Utilization() float64 {
	if l.Slots <= 0 {
		return -1
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// queueFactor is the latency of a request relative to its service time.
func (l Load) queueFactor() float64 { return 1 + float64(l.Waiting)/float64(max(l.Slots, 1)) }

// Server is what one node knows about the load of one server. It is not safe for concurrent use.
type Server struct {
	// Limiter bounds the node's concurrent requests at the server.
	Limiter *Limiter
	// serviceTime is the average time that a request takes without a queue; 0 if unknown. sampledAt is
	// the time of the last sample.
	serviceTime time.Duration
	sampledAt   time.Time
	// load is what the server stated last, at loadAt.
	load   Load
	loadAt time.Time
	// openAtLoad is the number of this node's requests at the server when it stated the load.
	openAtLoad int
	// rejectedAt is when the server last rejected a request; zero if it has answered one since. It is
	// kept since a server may state free slots and reject all requests.
	rejectedAt time.Time
	// starts holds the start times of attempts in flight, oldest first.
	starts []time.Time
	// outsideLimit is the number of the node's requests at the server that Limiter does not count.
	outsideLimit int
}

// NewServer returns the state of a server without observations; slots is the number of requests that it
// runs at once, 0 if unknown.
func NewServer(slots int) *Server { return &Server{Limiter: NewBoundedLimiter(slots)} }

// Start records the start of an attempt whose age tells whether the server is slow.
func (s *Server) Start(at time.Time) {
	position := len(s.starts)
	for position > 0 && at.Before(s.starts[position-1]) {
		position--
	}
	s.starts = slices.Insert(s.starts, position, at)
}

// End records the end of the attempt that started at the given time, if it was recorded.
func (s *Server) End(start time.Time) {
	if i := slices.IndexFunc(s.starts, start.Equal); i >= 0 {
		s.starts = slices.Delete(s.starts, i, i+1)
	}
}

// StartOutsideLimit records the start of a request that counts as load but not towards the limit.
func (s *Server) StartOutsideLimit() { s.outsideLimit++ }

// EndOutsideLimit records the end of such a request.
func (s *Server) EndOutsideLimit() { s.outsideLimit-- }

// InFlight returns the number of this node's requests at the server.
func (s *Server) InFlight() int { return s.Limiter.InFlight() + s.outsideLimit }

// ObserveLoad records a stated load, unless there is a later one.
func (s *Server) ObserveLoad(at time.Time, load Load) {
	if at.Before(s.loadAt) {
		return
	}
	s.load, s.loadAt, s.openAtLoad = load, at, s.InFlight()
}

// ObserveResponse records whether a response was a rejection.
func (s *Server) ObserveResponse(at time.Time, rejected bool) {
	s.rejectedAt = time.Time{}
	if rejected {
		s.rejectedAt = at
	}
}

// IsRejecting reports whether the server rejected the last request that it responded to, within
// rejectionLifetime.
func (s *Server) IsRejecting(now time.Time) bool {
	return !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < rejectionLifetime
}

// ObserveLatency records the latency of a response and the load that it stated; the zero Load if it
// stated none. The longer ago the previous sample was, the more weight the new one has.
func (s *Server) ObserveLatency(now time.Time, latency time.Duration, load Load) {
	weight := latencySmoothing
	if !s.sampledAt.IsZero() {
		weight = max(weight, 1-math.Exp(-float64(now.Sub(s.sampledAt))/float64(latencyTimeConstant)))
	}
	s.average(time.Duration(float64(latency)/load.queueFactor()), weight)
	s.sampledAt = now
}

// ObserveTotalLatency records the latency of a response with its time in a queue. All samples have the
// same weight. It is for samples that say little of the service time, and replaces ObserveLatency if the
// protection from overload is off.
func (s *Server) ObserveTotalLatency(latency time.Duration) { s.average(latency, latencySmoothing) }

// average adds a sample to the average service time.
func (s *Server) average(sample time.Duration, weight float64) {
	previous := cmp.Or(s.serviceTime, sample)
	s.serviceTime = previous + time.Duration(weight*float64(sample-previous))
}

// LastLoad returns the load that the server stated last, however long ago.
func (s *Server) LastLoad() Load { return s.load }

// ServiceTime returns the average service time, or the given one if it is unknown, but at least the
// age of the oldest attempt in flight, so that a server that hangs is avoided before it answers.
func (s *Server) ServiceTime(now time.Time, unknown time.Duration) time.Duration {
	serviceTime := cmp.Or(s.serviceTime, unknown)
	if len(s.starts) > 0 {
		serviceTime = max(serviceTime, now.Sub(s.starts[0]))
	}
	return serviceTime
}

// PredictedLatency returns the predicted latency of the next request at the server under the given load; 0
// if there is no queue or the service time is unknown.
func (s *Server) PredictedLatency(load Load) time.Duration {
	if load.Waiting <= 0 {
		return 0
	}
	return time.Duration(float64(s.serviceTime) * load.queueFactor())
}

// PredictedWait returns the predicted time for which the next request waits for a slot at the server
// under the given load.
func (s *Server) PredictedWait(load Load) time.Duration {
	return max(s.PredictedLatency(load)-s.serviceTime, 0)
}

// HasFreeSlot reports whether the server is known to have a free slot: it stated one recently, did not
// reject the last request, and the requests that this node sent since then do not take the slot. Earlier
// ones are part of the stated load.
func (s *Server) HasFreeSlot(now time.Time) bool {
	if !s.rejectedAt.IsZero() || s.loadAt.IsZero() || now.Sub(s.loadAt) > loadLifetime {
		return false
	}
	sentSince := max(s.InFlight()-s.openAtLoad, 0)
	return s.load.Running+s.load.Waiting+sentSince < s.load.Slots
}
