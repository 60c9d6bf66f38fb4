package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"dalehook/internal/nodestatus"
)

// statusCommand shows the build of each node, the age of its configuration and server list, and what
// it refuses under overload.
type statusCommand struct{ all bool }

// screenLines is the number of nodes shown without -all.
const screenLines = 40

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the builds of nodes and what they know" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-all] IP:PORT...:
	Queries the nodes at the given internal addresses. Listed first are those that do not
	answer, are not ready, or run a build or a configuration that few have. Nodes of builds
	that do not report their build are shown as "earlier". Exits with 1 if a node does not answer.
	The last column is the highest share of a service's requests that the node refuses under
	overload, with the service; it is empty if the node does not report it.
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.all, "all", false, "show all nodes, also beyond one screen")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "status: at least one node address is required")
		return subcommands.ExitUsageError
	}
	results := nodestatus.QueryFleet(ctx, flags.Args())
	shown := results
	if !c.all {
		shown = results[:min(len(results), screenLines)]
	}
	if err := writeStatus(os.Stdout, results, shown); err != nil {
		fmt.Fprintln(os.Stderr, "status:", err)
		return subcommands.ExitFailure
	}
	if results[0].Err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func writeStatus(w io.Writer, results, shown []nodestatus.NodeResult) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "address\tnode\tbuild\tready\tcoordinates\tconfiguration\tconfiguration age\tservers\tlist age\trefused")
	builds := make(map[string]int)
	for _, result := range results {
		if result.Err == nil {
			builds[result.Build]++
		}
	}
	for _, result := range shown {
		writeResult(writer, result)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, build := range slices.Sorted(maps.Keys(builds)) {
		fmt.Fprintf(w, "%d nodes of build %s\n", builds[build], build)
	}
	if hidden := len(results) - len(shown); hidden > 0 {
		fmt.Fprintf(w, "%d nodes not shown\n", hidden)
	}
	return nil
}

func writeResult(writer *tabwriter.Writer, result nodestatus.NodeResult) {
	switch {
	case result.Err != nil:
		fmt.Fprintf(writer, "%s\tdoes not answer: %v\n", result.Address, result.Err)
	case result.Build == nodestatus.EarlierBuild:
		fmt.Fprintf(writer, "%s\t\t%s\n", result.Address, result.Build)
	default:
		fmt.Fprintf(writer, "%s\t%s\t%s\t%t\t%t\t%d\t%v\t%d\t%v\t%s\n", result.Address, result.Node, result.Build, result.Ready, result.Leading, result.Configuration,
			result.ConfigurationAge.Round(time.Millisecond), result.Servers, result.ListAge.Round(time.Millisecond), formatRefused(result.Status))
	}
}

// formatRefused formats the highest refused share with its service.
func formatRefused(status nodestatus.Status) string {
	if status.RefusedService == "" {
		return ""
	}
	return fmt.Sprintf("%.1f%% of %s", 100*status.RefusedShare, status.RefusedService)
}
