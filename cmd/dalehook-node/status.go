package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"dalehook/internal/nodestatus"
)

// statusCommand shows which build each node runs, and how fresh what it knows is.
type statusCommand struct{ all bool }

// statusLines is how many nodes a screen shows.
const statusLines = 40

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the builds of nodes and what they know" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-all] IP:PORT...:
	Asks the nodes whose internal addresses are given. The odd ones come first: those that do
	not answer, are not ready, or run a build or a configuration that few have. Nodes of
	builds that do not tell are shown as "earlier". Exits with 1 where a node does not answer.
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.all, "all", false, "show all nodes, also beyond one screen")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "status: name a node")
		return subcommands.ExitUsageError
	}
	lines := nodestatus.QueryFleet(ctx, flags.Args())
	shown := lines
	if !c.all {
		shown = lines[:min(len(lines), statusLines)]
	}
	if err := writeStatus(lines, shown); err != nil {
		fmt.Fprintln(os.Stderr, "status:", err)
		return subcommands.ExitFailure
	}
	if lines[0].Err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func writeStatus(lines, shown []nodestatus.NodeResult) error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "address\tnode\tbuild\tready\tcoordinates\tconfiguration\tread ago\tservers\tread ago")
	builds := make(map[string]int)
	for _, line := range lines {
		if line.Err == nil {
			builds[line.Build]++
		}
	}
	for _, line := range shown {
		writeLine(writer, line)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, build := range slices.Sorted(maps.Keys(builds)) {
		fmt.Printf("%d nodes of build %s\n", builds[build], build)
	}
	if hidden := len(lines) - len(shown); hidden > 0 {
		fmt.Printf("%d nodes not shown\n", hidden)
	}
	return nil
}

func writeLine(writer *tabwriter.Writer, line nodestatus.NodeResult) {
	switch {
	case line.Err != nil:
		fmt.Fprintf(writer, "%s\tdoes not answer: %v\n", line.Address, line.Err)
	case line.Build == nodestatus.EarlierBuild:
		fmt.Fprintf(writer, "%s\t\t%s\n", line.Address, line.Build)
	default:
		fmt.Fprintf(writer, "%s\t%s\t%s\t%t\t%t\t%d\t%v\t%d\t%v\n", line.Address, line.Node, line.Build, line.Ready, line.Leading, line.Configuration,
			line.ConfigurationAge.Round(time.Millisecond), line.Servers, line.ListAge.Round(time.Millisecond))
	}
}
