package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"dalehook/internal/explain"
)

// stepsCommand prints a latency breakdown of the trainers' steps from log files.
type stepsCommand struct{ streams Streams }

func newStepsCommand(streams Streams) *stepsCommand { return &stepsCommand{streams: streams} }

// Name implements subcommands.Command.
func (*stepsCommand) Name() string { return "steps" }

// Synopsis implements subcommands.Command.
func (*stepsCommand) Synopsis() string {
	return "tell what trainers' steps waited for, from nodes' logs"
}

// Usage implements subcommands.Command.
func (*stepsCommand) Usage() string {
	return `steps [FILE ...]:
	Reads log files of nodes, or the standard input, and prints a table of all batch
	jobs whose wanted groups became ready: for the item that was ready last, what its
	events take at the fastest engine (floor), how late its first run began, the time
	between its runs and how much slower these were; then when the wanted groups were
	ready and listed and the trainer ended the job, since it was posted. Seconds.
`
}

// SetFlags implements subcommands.Command.
func (*stepsCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *stepsCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	entries, err := readLogs(flags.Args())
	if err != nil {
		return printFailure(c.streams, "steps", err)
	}
	if err := explain.WriteSteps(c.streams.Output, explain.Steps(entries)); err != nil {
		return printFailure(c.streams, "steps", err)
	}
	return subcommands.ExitSuccess
}
