package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// nodeCommand runs one node until it is told to stop.
type nodeCommand struct {
	streams  Streams
	settings settingsFlags
}

func newNodeCommand(streams Streams) *nodeCommand { return &nodeCommand{streams: streams} }

// Name implements subcommands.Command.
func (*nodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCommand) Synopsis() string { return "run a node" }

// Usage implements subcommands.Command.
func (*nodeCommand) Usage() string {
	return `node -settings FILE [-KEY VALUE ...]:
	Runs a node. Each key of the settings file is also a flag and an
	environment variable (limits.body is DALEHOOK_LIMITS_BODY); flags win over
	variables, and variables over the file. The first SIGTERM or SIGINT lets the
	node leave as planned, the second stops it at once.
`
}

// SetFlags implements subcommands.Command.
func (c *nodeCommand) SetFlags(flags *flag.FlagSet) { c.settings.register(flags) }

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if refuseArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	if _, ok := c.settings.load(c.streams); !ok {
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(c.streams.Error, "node: the driver is not composed yet")
	return subcommands.ExitFailure
}
