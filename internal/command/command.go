// Package command holds the subcommands of the dalehook binary, one file each.
package command

import (
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Streams are where the subcommands write and what they learn from outside.
type Streams struct {
	Output io.Writer
	Error  io.Writer
	// Environ is the environment as os.Environ returns it.
	Environ []string
}

// The groups of subcommands in the help text.
const (
	groupNode      = "running nodes"
	groupOperators = "operators"
	groupRehearsal = "trying it out"
)

// NewCommander returns a commander that knows every subcommand. The top-level
// flags are still to be parsed.
func NewCommander(flags *flag.FlagSet, name string, streams Streams) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = streams.Output
	commander.Error = streams.Error
	commander.Register(commander.HelpCommand(), "")
	commander.Register(newNodeCommand(streams), groupNode)
	commander.Register(newCheckCommand(streams), groupNode)
	commander.Register(newPlanCommand(streams), groupOperators)
	commander.Register(newConfirmCommand(streams), groupOperators)
	commander.Register(newWithdrawCommand(streams), groupOperators)
	commander.Register(newStatusCommand(streams), groupOperators)
	commander.Register(newExplainCommand(streams), groupOperators)
	commander.Register(newStepsCommand(streams), groupOperators)
	commander.Register(newDemoCommand(streams), groupRehearsal)
	commander.Register(newRehearseCommand(streams), groupRehearsal)
	commander.Register(newLoadCommand(streams), groupRehearsal)
	commander.Register(newStandinCommand(streams), groupRehearsal)
	return commander
}
