package nodestatus

import (
	"cmp"
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"
)

const (
	// queryTimeout limits the query of one node, maxConcurrentQueries the number of simultaneous
	// queries.
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 32
)

// EarlierBuild is shown as the build of nodes that don't support the query.
const EarlierBuild = "earlier"

// NodeResult is the result of querying one node.
type NodeResult struct {
	Address string
	Status
	// Err is set if the node didn't answer.
	Err error
}

// QueryFleet queries all nodes. It returns first those that didn't answer, then those that aren't
// ready, then those with the rarest builds and configurations, then those that refuse the largest
// share of a service's requests.
func QueryFleet(ctx context.Context, addresses []string) []NodeResult {
	mapper := iter.Mapper[string, NodeResult]{MaxGoroutines: maxConcurrentQueries}
	results := mapper.Map(addresses, func(address *string) NodeResult { return queryNode(ctx, *address) })
	sortResults(results)
	return results
}

func queryNode(ctx context.Context, address string) NodeResult {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	result := NodeResult{Address: address}
	result.Status, result.Err = Query(ctx, address)
	var serverError rpc.ServerError
	if errors.As(result.Err, &serverError) {
		// The node runs a build without this call; nothing indicates that it isn't ready.
		result.Build, result.Ready, result.Err = EarlierBuild, true, nil
	}
	return result
}

func sortResults(results []NodeResult) {
	builds, configurations := make(map[string]int), make(map[int64]int)
	for _, result := range results {
		builds[result.Build]++
		configurations[result.Configuration]++
	}
	slices.SortStableFunc(results, func(a, b NodeResult) int {
		return cmp.Or(
			compareBool(b.Err != nil, a.Err != nil),
			compareBool(a.Ready, b.Ready),
			cmp.Compare(builds[a.Build], builds[b.Build]),
			cmp.Compare(configurations[a.Configuration], configurations[b.Configuration]),
			cmp.Compare(b.RefusedShare, a.RefusedShare),
			cmp.Compare(a.Build, b.Build),
			cmp.Compare(a.Address, b.Address),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
