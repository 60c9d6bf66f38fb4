package bench

import (
	"time"

	"dalehook/internal/membership"
)

// Role is what a node does besides what all nodes do.
type Role string

// The roles of the control plane.
const (
	RoleOrdinary Role = "ordinary"
	RoleReader   Role = "log-reader"
	RoleView     Role = "view-holder"
	RoleDirector Role = "pool-director"
	RoleOwner    Role = "step-owner"
)

// Result holds the figures of one size.
type Result struct {
	Nodes   int
	Servers int
	// Formed is the time from the start of all processes until every node knew
	// all others, had state and held the view of all.
	Formed time.Duration
	// Healed is the time from the end of the cut until all agreed, zero if they
	// did not within the phase.
	Healed time.Duration
	// HeapPerNode is the live heap in bytes, the world's own included.
	HeapPerNode int
	Phases      []PhaseResult
}

// PhaseResult holds the figures of one phase of one size.
type PhaseResult struct {
	Phase    Phase
	Duration time.Duration
	// Roles holds the mean cost of the nodes in each role; all nodes together
	// come first, under the empty role.
	Roles []RoleCost

	Configuration Spread
	DeadNode      Spread
	LeavingServer Spread
	DeadServer    Spread
	// Unseen counts what a node had not seen at the end of the phase.
	Unseen int
	// Refuted counts suspicions that their subject refuted, Revived the deaths
	// that were taken back, summed over all nodes.
	Refuted int
	Revived int
}

// Spread is the median and the largest of observed times.
type Spread struct {
	Observed int
	Median   time.Duration
	Largest  time.Duration
}

// RoleCost is the mean cost of one node in a role.
type RoleCost struct {
	Role  Role
	Nodes int
	// The rates are a second. Bytes are gob bytes sent; WireBytes adds TCP/IP
	// headers and an acknowledgement for each message.
	Messages  float64
	Bytes     float64
	WireBytes float64
	Polls     float64
	LogReads  float64
	// CoreShare is processor time as a share of one core.
	CoreShare float64
	// MaxBytes is the largest Bytes of one node.
	MaxBytes float64
}

// headerBytes is what TCP/IP adds to a message at most: IP and TCP headers with
// time stamps, for its segment and for a separate acknowledgement.
const headerBytes = 104

// measure runs a phase and keeps its figures.
func (r *run) measure(phase Phase, body func() error) error {
	before := map[*hollowNode]usage{}
	stats := map[*hollowNode]membership.Stats{}
	for _, node := range r.world.nodes {
		before[node] = node.usage
		stats[node] = node.membership.Stats()
	}
	r.latencies = newLatencies()
	started := r.world.now
	if err := body(); err != nil {
		return err
	}
	duration := r.world.now.Sub(started)
	result := PhaseResult{
		Phase:         phase,
		Duration:      duration,
		Configuration: r.latencies.spread(observedConfiguration),
		DeadNode:      r.latencies.spread(observedDeadNode),
		LeavingServer: r.latencies.spread(observedLeavingServer),
		DeadServer:    r.latencies.spread(observedDeadServer),
		Unseen:        r.unseen(),
	}
	for _, node := range r.world.nodes {
		result.Refuted += node.membership.Stats().Refuted - stats[node].Refuted
		result.Revived += node.membership.Stats().Revived - stats[node].Revived
	}
	result.Roles = r.costs(before, duration)
	r.result.Phases = append(r.result.Phases, result)
	return nil
}

// spread returns the median and the largest time of a kind.
func (l *latencies) spread(kind observedKind) Spread {
	median, _ := l.quantile(kind, 0.5)
	largest, _ := l.quantile(kind, 1)
	return Spread{Observed: len(l.times[kind]), Median: median, Largest: largest}
}

// unseen counts and drops the observations that are still open.
func (r *run) unseen() int {
	open := 0
	for _, o := range r.observations {
		open += len(o.pending)
	}
	r.observations = nil
	return open
}

// costs returns the mean cost of each role over the nodes that ran all along.
func (r *run) costs(before map[*hollowNode]usage, duration time.Duration) []RoleCost {
	groups := map[Role][]usage{}
	for number, node := range r.world.nodes {
		earlier, ran := before[node]
		if !ran || node.down {
			continue
		}
		spent := node.usage.minus(earlier)
		groups[""] = append(groups[""], spent)
		for _, role := range r.roles(number, node) {
			groups[role] = append(groups[role], spent)
		}
	}
	var costs []RoleCost
	for _, role := range []Role{"", RoleOrdinary, RoleReader, RoleView, RoleDirector, RoleOwner} {
		if len(groups[role]) > 0 {
			costs = append(costs, meanCost(role, groups[role], duration.Seconds()))
		}
	}
	return costs
}

// roles returns what a node does; a node without a duty is ordinary.
func (r *run) roles(number int, node *hollowNode) []Role {
	var roles []Role
	if node.follower.ReadsLog() {
		roles = append(roles, RoleReader)
	}
	if node.holdsView() {
		roles = append(roles, RoleView)
	}
	if node.directs() {
		roles = append(roles, RoleDirector)
	}
	if number >= len(r.world.nodes)-ownerCount {
		roles = append(roles, RoleOwner)
	}
	if len(roles) == 0 {
		roles = append(roles, RoleOrdinary)
	}
	return roles
}

// meanCost averages over nodes and seconds.
func meanCost(role Role, spent []usage, seconds float64) RoleCost {
	cost := RoleCost{Role: role, Nodes: len(spent)}
	per := seconds * float64(len(spent))
	for _, u := range spent {
		cost.Messages += float64(u.sentMessages) / per
		cost.Bytes += float64(u.sentBytes) / per
		cost.Polls += float64(u.polls) / per
		cost.LogReads += float64(u.logReads) / per
		cost.CoreShare += u.busy.Seconds() / per
		cost.MaxBytes = max(cost.MaxBytes, float64(u.sentBytes)/seconds)
	}
	cost.WireBytes = cost.Bytes + cost.Messages*headerBytes
	return cost
}
