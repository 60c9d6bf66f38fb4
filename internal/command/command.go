// Package command implements the subcommands of the dalehook binary, one file
// each.
package command

import (
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Streams are the output streams and the environment of the subcommands.
type Streams struct {
	Output io.Writer
	Error  io.Writer
	// Environ is the environment in the form returned by os.Environ.
	Environ []string
}

// Groups of subcommands in the help text.
const (
	groupNode      = "running nodes"
	groupOperators = "operators"
	groupTrials    = "trying it out"
)

// NewCommander returns a commander with all subcommands registered. The caller
// parses the top-level flags before it executes the commander.
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
	commander.Register(newDemoCommand(streams), groupTrials)
	commander.Register(newRehearseCommand(streams), groupTrials)
	commander.Register(newLoadCommand(streams), groupTrials)
	commander.Register(newStandinCommand(streams), groupTrials)
	return commander
}
