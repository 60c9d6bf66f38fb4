package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"dalehook/internal/client"
	"dalehook/internal/record"
)

// withdrawCommand withdraws an event that is in force.
type withdrawCommand struct {
	streams      Streams
	clientFlags  clientFlags
	eventName    string
	revision     uint64
	operatorName string
}

func newWithdrawCommand(streams Streams) *withdrawCommand { return &withdrawCommand{streams: streams} }

// Name implements subcommands.Command.
func (*withdrawCommand) Name() string { return "withdraw" }

// Synopsis implements subcommands.Command.
func (*withdrawCommand) Synopsis() string { return "take an event out of force" }

// Usage implements subcommands.Command.
func (*withdrawCommand) Usage() string {
	return `withdraw -node ADDRESS -event NAME -revision N -operator NAME [-json]:
	Takes an event out of force; status shows the revision in force. When another
	change was confirmed meanwhile, nothing changes and the winner is named.
	Steps that were accepted go on under the event as it was.
`
}

// SetFlags implements subcommands.Command.
func (c *withdrawCommand) SetFlags(flags *flag.FlagSet) {
	c.clientFlags.register(flags)
	flags.StringVar(&c.eventName, "event", "", "`name` of the event (required)")
	flags.Uint64Var(&c.revision, "revision", 0, "revision in force")
	flags.StringVar(&c.operatorName, "operator", "", "your name, for the record (required)")
}

// Execute implements subcommands.Command.
func (c *withdrawCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	node, ok := c.clientFlags.newClient(c.streams, flags)
	if !ok {
		return subcommands.ExitUsageError
	}
	if c.eventName == "" || c.operatorName == "" {
		fmt.Fprintln(c.streams.Error, "withdraw: -event and -operator are required")
		return subcommands.ExitUsageError
	}
	ctx, cancel := c.clientFlags.withTimeout(ctx)
	defer cancel()
	withdrawal := client.Withdrawal{Event: c.eventName, Revision: record.Revision(c.revision), Operator: c.operatorName}
	response, err := node.WithdrawEvent(ctx, withdrawal)
	if err != nil {
		return printFailure(c.streams, "withdraw", err)
	}
	if c.clientFlags.json {
		return printJSON(c.streams, response)
	}
	fmt.Fprintf(c.streams.Output, "Event %q is out of force; revision %d is in force.\n", response.Event, response.Revision)
	return subcommands.ExitSuccess
}
