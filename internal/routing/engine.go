// Package routing chooses back ends: an engine for a sample of a rollout, and a
// server for a request to a service. Everything in it is a pure function of its
// arguments, of earlier calls and of the seed given to it.
package routing

import (
	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
)

// Engine is a model engine as a scheduler sees it: the pool's last report, and
// what the scheduler itself has placed since.
type Engine struct {
	ID      cluster.BackendID
	Address string
	Zone    cluster.ZoneName
	Model   cluster.ModelName
	// Version is the version in memory, zero when unknown.
	Version cluster.Version
	// Loading is the version that is being loaded or is to be loaded next, zero
	// for none.
	Loading cluster.Version
	// Unreported is set when no recent report of the engine is at hand, so that
	// its load and its version may be far from what they are said to be.
	Unreported bool
	// Leaving is set when the engine is to get no new work.
	Leaving bool
	// Running and Waiting count requests by the engine's own late report.
	Running int
	Waiting int
	// Slots is the largest number of requests that run at once, zero when
	// unknown.
	Slots int
	// KVTokens and KVCapacity measure cache memory in tokens; a capacity of zero
	// means that it is unknown.
	KVTokens   int
	KVCapacity int
	// TokensPerSecond is the engine's recent output over all its requests.
	TokensPerSecond float64
	// Groups lists the prefix groups in the engine's cache, late and with gaps.
	Groups []string
	// Placed is what the scheduler itself has on the engine.
	Placed Placed
	// alone is the estimated speed of a stream alone in tokens a second, prefill
	// the time in seconds for the prompts that were placed in the present call.
	alone   float64
	prefill float64
}

// Placed sums up the attempts that a scheduler has on one engine.
type Placed struct {
	// Requests is the number of attempts.
	Requests int
	// Tokens is the cache memory that they are expected to need at their end.
	Tokens int
	// Remaining is the number of tokens still to come.
	Remaining int
	// Longest is the largest number of tokens still to come of one attempt.
	Longest int
	// StreamSpeed is the measured speed of one stream in tokens a second, zero
	// when it was not measured yet.
	StreamSpeed float64
	// Groups lists the prefix groups of the attempts.
	Groups []string
}

// Work is a sample that waits for an engine.
type Work struct {
	// Sample is the sample's index in its step.
	Sample int
	// Group names the shared prefix of its prompt, empty for none.
	Group string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Held is the number of tokens already generated, which a resume keeps.
	Held int
	// Expected is the expected number of tokens still to come.
	Expected int
}

// memory returns the cache memory in tokens that the work needs at its end.
func (w Work) memory() int { return w.Prompt + w.Held + w.Expected }

// Placement puts one sample on an engine.
type Placement struct {
	Sample   int
	Engine   cluster.BackendID
	Address  string
	Priority int
}

// PlaceRequest is what a policy places by.
type PlaceRequest struct {
	// Engines are the engines that may be used, sorted by id.
	Engines []Engine
	// Waiting holds the samples that wait, in the order in which they were
	// posted.
	Waiting []Work
	// Unfinished counts the samples of the step that are not finished, those
	// that wait included.
	Unfinished int
	// Newest is the newest version of the model, zero when unknown.
	Newest cluster.Version
	// Bound is the largest allowed age in versions.
	Bound int64
}

// Running is an attempt that runs.
type Running struct {
	Work
	Engine cluster.BackendID
	// Speed is the measured speed of its stream in tokens a second, zero when
	// it was not measured yet.
	Speed float64
	// Moves counts how often the sample was moved already.
	Moves int
}

// MoveRequest is what a policy moves running samples by.
type MoveRequest struct {
	Engines []Engine
	Running []Running
	// Waiting counts the samples of the step that wait for an engine.
	Waiting int
	Newest  cluster.Version
	Bound   int64
}

// EnginePolicy places samples on engines and moves stragglers. A policy may keep
// state from call to call.
type EnginePolicy interface {
	// Name is the name under which the policy is selected.
	Name() string
	// Place places as many of the waiting samples as it wants to run now.
	Place(request PlaceRequest) []Placement
	// Move lists running samples that are to go on elsewhere.
	Move(request MoveRequest) []Placement
}

// The names of the engine policies.
const (
	PolicyDalehook    = "dalehook"
	PolicyRoundRobin  = "round_robin"
	PolicyLeastLoaded = "least_loaded"
	PolicyRandomOfTwo = "random_of_two"
)

// EnginePolicies lists the names of the engine policies, the default first.
func EnginePolicies() []string {
	return []string{PolicyDalehook, PolicyLeastLoaded, PolicyRandomOfTwo, PolicyRoundRobin}
}

// NewEnginePolicy returns the policy with the given name. An empty name selects
// PolicyDalehook. The seed feeds policies that choose at random.
func NewEnginePolicy(name string, seed uint64) (EnginePolicy, error) {
	switch name {
	case "", PolicyDalehook:
		return &dalehookPolicy{}, nil
	case PolicyRoundRobin:
		return &roundRobinPolicy{}, nil
	case PolicyLeastLoaded:
		return &leastLoadedPolicy{}, nil
	case PolicyRandomOfTwo:
		return newRandomOfTwoPolicy(seed), nil
	}
	return nil, eris.Errorf("unknown engine policy %q", name)
}

// requests estimates how many requests the engine has. The report lags, so what
// the scheduler has placed itself is the lower limit.
func (e *Engine) requests() int { return max(e.Running+e.Waiting, e.Placed.Requests) }

// memory estimates the cache memory in tokens that is needed when all requests
// of the engine have reached their ends.
func (e *Engine) memory() int { return max(e.KVTokens+e.Placed.Remaining, e.Placed.Tokens) }

// take accounts for work that was just placed on the engine.
func (e *Engine) take(w Work) {
	e.Placed.Requests = e.requests() + 1
	e.Placed.Tokens = e.memory() + w.memory()
	e.Placed.Remaining += w.Expected
	e.Placed.Longest = max(e.Placed.Longest, w.Expected)
	if w.Group != "" {
		groups := e.Placed.Groups
		e.Placed.Groups = append(groups[:len(groups):len(groups)], w.Group)
	}
}
