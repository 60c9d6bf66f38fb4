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
	// askTimeout bounds the question to one node, askedAtOnce how many are asked at a time.
	askTimeout  = 2 * time.Second
	askedAtOnce = 32
)

// NoBuild stands for the build of nodes that do not tell it.
const NoBuild = "earlier"

// Line is what is known of one node of a fleet.
type Line struct {
	Address string
	Status
	// Err is set where the node does not answer.
	Err error
}

// AskFleet asks all nodes and returns what they say: first those that do not answer, then those that are not
// ready, then those of the builds and configurations that the fewest have.
func AskFleet(ctx context.Context, addresses []string) []Line {
	mapper := iter.Mapper[string, Line]{MaxGoroutines: askedAtOnce}
	lines := mapper.Map(addresses, func(address *string) Line { return askLine(ctx, *address) })
	sortLines(lines)
	return lines
}

func askLine(ctx context.Context, address string) Line {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	line := Line{Address: address}
	line.Status, line.Err = Ask(ctx, address)
	var unknown rpc.ServerError
	if errors.As(line.Err, &unknown) {
		// The node runs, and does not have the call: nothing says that it is not ready.
		line.Build, line.Ready, line.Err = NoBuild, true, nil
	}
	return line
}

func sortLines(lines []Line) {
	builds, configurations := make(map[string]int), make(map[int64]int)
	for _, line := range lines {
		builds[line.Build]++
		configurations[line.Configuration]++
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(
			compareTruth(b.Err != nil, a.Err != nil),
			compareTruth(a.Ready, b.Ready),
			cmp.Compare(builds[a.Build], builds[b.Build]),
			cmp.Compare(configurations[a.Configuration], configurations[b.Configuration]),
			cmp.Compare(a.Build, b.Build),
			cmp.Compare(a.Address, b.Address),
		)
	})
}

func compareTruth(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
