package rehearse

import (
	"context"
	"runtime"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"dalehook/internal/cluster"
	"dalehook/internal/core"
	"dalehook/internal/machine"
	"dalehook/internal/routing"
	"dalehook/internal/sim"
)

// PolicyNoPreload is dalehook's own placement without loading versions ahead.
const PolicyNoPreload = "no_preload"

// Policies lists the names of what can be rehearsed, dalehook's own first.
func Policies() []string {
	names := []string{routing.PolicyDalehook}
	for _, name := range routing.EnginePolicies() {
		if name != routing.PolicyDalehook {
			names = append(names, name)
		}
	}
	return append(names, PolicyNoPreload)
}

// Options configure a rehearsal.
type Options struct {
	File File
	// Policies are rehearsed over the same seeds; empty means all of them.
	Policies []string
	// Seed is the first seed, Seeds how many are run.
	Seed  uint64
	Seeds int
}

// Result holds the metrics of each policy, by seed.
type Result struct {
	Event      string       `json:"event"`
	Deployment string       `json:"deployment"`
	FirstSeed  uint64       `json:"first_seed"`
	Seeds      int          `json:"seeds"`
	Policies   []PolicyRuns `json:"policies"`
}

// PolicyRuns holds the runs of one policy, in the order of their seeds.
type PolicyRuns struct {
	Policy string    `json:"policy"`
	Runs   []Metrics `json:"runs"`
}

// Check returns what is wrong with the options.
func (o Options) Check() error {
	for _, name := range o.Policies {
		if !slices.Contains(Policies(), name) {
			return eris.Errorf("unknown policy %q", name)
		}
	}
	if o.Seeds < 1 {
		return eris.New("a rehearsal needs a seed at least")
	}
	_, err := o.File.scenario()
	return err
}

// Run rehearses the event under each policy and seed, on all cores.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.Check(); err != nil {
		return Result{}, err
	}
	names := options.Policies
	if len(names) == 0 {
		names = Policies()
	}
	result := Result{
		Event: options.File.Name, Deployment: options.File.Rehearsal.Deployment,
		FirstSeed: options.Seed, Seeds: options.Seeds,
	}
	workers := pool.New().WithContext(ctx).WithMaxGoroutines(runtime.GOMAXPROCS(0)).WithCancelOnError()
	for _, name := range names {
		runs := PolicyRuns{Policy: name, Runs: make([]Metrics, options.Seeds)}
		result.Policies = append(result.Policies, runs)
		for i := range runs.Runs {
			workers.Go(func(ctx context.Context) error {
				if err := ctx.Err(); err != nil {
					return err
				}
				metrics, err := runOne(options.File, name, options.Seed+uint64(i))
				runs.Runs[i] = metrics
				return err
			})
		}
	}
	return result, workers.Wait()
}

// runOne runs one world to its end.
func runOne(file File, policy string, seed uint64) (Metrics, error) {
	scenario, err := file.scenario()
	if err != nil {
		return Metrics{}, err
	}
	w := sim.NewWorld(sim.Options{Seed: seed, Scenario: scenario, Factory: factory(file, policy)})
	w.Run()
	if refusals := w.Refusals(); len(refusals) > 0 {
		return Metrics{}, eris.Wrapf(refusals[0], "confirm the event under policy %s", policy)
	}
	return measure(w, scenario), nil
}

// factory returns how nodes are made under a policy. The names were checked.
func factory(file File, policy string) sim.Factory {
	return func(self cluster.Node, seeds []string, seed uint64) machine.Machine {
		options := core.Options{Self: self, SeedAddresses: seeds, Seed: seed}
		if policy == PolicyNoPreload {
			return newLazyLoads(core.New(options), file.leastBound())
		}
		options.EnginePolicy, _ = routing.NewEnginePolicy(policy, seed)
		return core.New(options)
	}
}

// leastBound returns the smallest staleness bound of the event's trainers.
func (f File) leastBound() int64 {
	bound := int64(0)
	for i, demand := range f.Rollouts {
		if i == 0 || demand.StalenessBound < bound {
			bound = demand.StalenessBound
		}
	}
	return bound
}
