package routing

import (
	"math/rand/v2"
	"time"

	"dalehook/internal/cluster"
)

// Server is a service server as this node sees it.
type Server struct {
	ID      cluster.BackendID
	Address string
	Zone    cluster.ZoneName
	// Load is the number of requests that the server has by its own last word;
	// negative when it never said.
	Load int
	// InFlight counts the requests that this node has open at the server.
	InFlight int
	// Usable is false for a server that is leaving, dead or failing its checks.
	Usable bool
}

// score is the expected queue at the server. The server's own word covers
// every node's requests but is as old as its last answer; what this node has
// open is fresh.
func (s Server) score() int { return max(s.Load, 0) + s.InFlight }

// ServerChooser defaults.
const (
	defaultFailuresToEject = 3
	defaultEjectFor        = 2 * time.Second
	defaultMaximumEject    = 30 * time.Second
	defaultReturnOver      = 10 * time.Second

	// A server in this node's zone is preferred while its score is at most
	// zoneTolerance times the best other one's plus zoneAllowance.
	zoneTolerance = 1.5
	zoneAllowance = 2.0
	// A returning server starts with this share of its turns.
	firstReturnShare = 0.1
)

// ServerChooserOptions configure a ServerChooser. Zero values take defaults.
type ServerChooserOptions struct {
	// Zone is this node's own zone.
	Zone cluster.ZoneName
	Seed uint64
	// FailuresToEject is the number of failures in a row that eject a server.
	FailuresToEject int
	// EjectFor is the first ejection's length; it doubles with each further
	// ejection without a success between, up to MaximumEject.
	EjectFor     time.Duration
	MaximumEject time.Duration
	// ReturnOver is the time over which a server's share returns to normal.
	ReturnOver time.Duration
}

// ServerChooser picks a server for a request by the power of two choices
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001)
// and ejects servers that fail in a row. The same seed and the same calls give
// the same choices.
type ServerChooser struct {
	options ServerChooserOptions
	random  *rand.Rand
	health  map[cluster.BackendID]*serverHealth
}

type serverHealth struct {
	failures  int
	ejections int
	// ejectedUntil and returned bound the gradual return; both zero for a server
	// that was never ejected.
	ejectedUntil time.Time
	returned     time.Time
}

// NewServerChooser returns a chooser that takes every server for healthy.
func NewServerChooser(options ServerChooserOptions) *ServerChooser {
	if options.FailuresToEject == 0 {
		options.FailuresToEject = defaultFailuresToEject
	}
	if options.EjectFor == 0 {
		options.EjectFor = defaultEjectFor
	}
	if options.MaximumEject == 0 {
		options.MaximumEject = defaultMaximumEject
	}
	if options.ReturnOver == 0 {
		options.ReturnOver = defaultReturnOver
	}
	return &ServerChooser{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(len(options.Zone)))),
		health:  make(map[cluster.BackendID]*serverHealth),
	}
}

// Choose picks one of the usable servers that fits. It returns false when there
// is none. Ejected servers are taken only when no other one fits, since a
// server that may fail beats a refusal that is certain.
func (c *ServerChooser) Choose(now time.Time, servers []Server, fits func(Server) bool) (Server, bool) {
	var healthy, ejected []Server
	for _, server := range servers {
		if !server.Usable || !fits(server) {
			continue
		}
		if c.takesPart(now, server.ID) {
			healthy = append(healthy, server)
		} else {
			ejected = append(ejected, server)
		}
	}
	if len(healthy) == 0 {
		healthy = ejected
	}
	if len(healthy) == 0 {
		return Server{}, false
	}
	return c.preferZone(healthy), true
}

// preferZone takes the better of two servers of the node's own zone, unless the
// better of two others is clearly less loaded.
func (c *ServerChooser) preferZone(servers []Server) Server {
	var near, far []Server
	for _, server := range servers {
		if server.Zone == c.options.Zone {
			near = append(near, server)
		} else {
			far = append(far, server)
		}
	}
	if len(near) == 0 {
		return c.betterOfTwo(far)
	}
	bestNear := c.betterOfTwo(near)
	if len(far) == 0 {
		return bestNear
	}
	bestFar := c.betterOfTwo(far)
	if float64(bestNear.score()) > float64(bestFar.score())*zoneTolerance+zoneAllowance {
		return bestFar
	}
	return bestNear
}

// betterOfTwo draws two servers and returns the less loaded one.
func (c *ServerChooser) betterOfTwo(servers []Server) Server {
	if len(servers) == 1 {
		return servers[0]
	}
	first := c.random.IntN(len(servers))
	second := c.random.IntN(len(servers) - 1)
	if second >= first {
		second++
	}
	if servers[second].score() < servers[first].score() {
		return servers[second]
	}
	return servers[first]
}

// takesPart reports whether a server takes part in this choice: always when it
// is healthy, never while it is ejected, and by a growing chance after that.
func (c *ServerChooser) takesPart(now time.Time, id cluster.BackendID) bool {
	health := c.health[id]
	if health == nil || !now.Before(health.returned) {
		return true
	}
	if now.Before(health.ejectedUntil) {
		return false
	}
	since := now.Sub(health.ejectedUntil)
	share := firstReturnShare + (1-firstReturnShare)*float64(since)/float64(c.options.ReturnOver)
	return c.random.Float64() < share
}

// Succeeded notes that a server answered.
func (c *ServerChooser) Succeeded(id cluster.BackendID) {
	if health := c.health[id]; health != nil {
		health.failures = 0
		health.ejections = 0
	}
}

// Failed notes that a server could not be used. Enough failures in a row eject it.
func (c *ServerChooser) Failed(now time.Time, id cluster.BackendID) {
	health := c.health[id]
	if health == nil {
		health = &serverHealth{}
		c.health[id] = health
	}
	health.failures++
	if health.failures < c.options.FailuresToEject && !now.Before(health.returned) {
		return
	}
	if now.Before(health.ejectedUntil) {
		return
	}
	length := min(c.options.EjectFor<<min(health.ejections, 10), c.options.MaximumEject)
	health.ejections++
	health.failures = 0
	health.ejectedUntil = now.Add(length)
	health.returned = health.ejectedUntil.Add(c.options.ReturnOver)
}

// Ejected reports whether a server is ejected now.
func (c *ServerChooser) Ejected(now time.Time, id cluster.BackendID) bool {
	health := c.health[id]
	return health != nil && now.Before(health.ejectedUntil)
}

// Forget drops what is known of servers that keep doesn't name.
func (c *ServerChooser) Forget(keep func(cluster.BackendID) bool) {
	for id := range c.health {
		if !keep(id) {
			delete(c.health, id)
		}
	}
}
