package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// checkCommand validates settings without running a node.
type checkCommand struct {
	streams       Streams
	settingsFlags settingsFlags
}

func newCheckCommand(streams Streams) *checkCommand { return &checkCommand{streams: streams} }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check the settings of a node" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check -settings FILE [-KEY VALUE ...]:
	Reads the settings as "node" does and reports every fault with its key
	and line. Exits with 0 when there is none, with 2 otherwise.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) { c.settingsFlags.register(flags) }

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rejectArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	config, ok := c.settingsFlags.load(c.streams)
	if !ok {
		return subcommands.ExitUsageError
	}
	fmt.Fprintf(c.streams.Output, "Settings of node %s in zone %s are fit for use.\n", config.Node.ID, config.Node.Zone)
	return subcommands.ExitSuccess
}
