package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"dalehook/internal/planner"
)

// planCommand requests a plan from a node and prints it.
type planCommand struct {
	streams     Streams
	clientFlags clientFlags
	eventFlags  eventFlags
}

func newPlanCommand(streams Streams) *planCommand { return &planCommand{streams: streams} }

// Name implements subcommands.Command.
func (*planCommand) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*planCommand) Synopsis() string { return "ask for a plan for an event; nothing changes yet" }

// Usage implements subcommands.Command.
func (*planCommand) Usage() string {
	return `plan -node ADDRESS [-event FILE] [-name NAME] [-start TIME] [-crowd N]
     [-duration D] [-arrival D] [-service KEY=VALUE,...]...
     [-rollout KEY=VALUE,...]... [-json]:
	Asks a node for the plan of an event and prints it with the line that
	confirms it. The event stands in a file, in flags, or in a file of which
	flags replace parts. With -json the output can be given to "confirm -plan".
`
}

// SetFlags implements subcommands.Command.
func (c *planCommand) SetFlags(flags *flag.FlagSet) {
	c.clientFlags.register(flags)
	c.eventFlags.register(flags)
}

// Execute implements subcommands.Command.
func (c *planCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	node, ok := c.clientFlags.newClient(c.streams, flags)
	if !ok {
		return subcommands.ExitUsageError
	}
	event, err := c.eventFlags.load()
	if err != nil {
		fmt.Fprintln(c.streams.Error, err)
		return subcommands.ExitUsageError
	}
	ctx, cancel := c.clientFlags.withTimeout(ctx)
	defer cancel()
	response, err := node.CreatePlan(ctx, event)
	if err != nil {
		return printFailure(c.streams, "plan", err)
	}
	if c.clientFlags.json {
		return printJSON(c.streams, response)
	}
	fmt.Fprintln(c.streams.Output, planner.Render(response.Plan))
	fmt.Fprintln(c.streams.Output, "To put it in force:")
	fmt.Fprintf(c.streams.Output, "  dalehook confirm -node %s -digest %s -revision %d -operator YOUR-NAME\n",
		c.clientFlags.node, response.Plan.Digest, response.Plan.Base)
	return subcommands.ExitSuccess
}
