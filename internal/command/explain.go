package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"dalehook/internal/explain"
)

// explainCommand prints the history of one request, item or batch job from log
// files.
type explainCommand struct{ streams Streams }

func newExplainCommand(streams Streams) *explainCommand { return &explainCommand{streams: streams} }

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell one request's life from nodes' logs" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID [FILE ...]:
	Reads log files of nodes, or the standard input, and tells the life of the
	request, item or batch job ID in order: what decided each step, how old that
	was, and what happened meanwhile to the nodes and servers that it met. For a
	refused request: why, by what inputs, and when the caller was told to come back.
`
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(c.streams.Error, "explain: name an id")
		return subcommands.ExitUsageError
	}
	entries, err := readLogs(flags.Args()[1:])
	if err != nil {
		return printFailure(c.streams, "explain", err)
	}
	if err := explain.Explain(flags.Arg(0), entries).Write(c.streams.Output); err != nil {
		return printFailure(c.streams, "explain", err)
	}
	return subcommands.ExitSuccess
}

func readLogs(paths []string) ([]explain.Entry, error) {
	if len(paths) == 0 {
		return explain.Read("input", os.Stdin)
	}
	var allEntries []explain.Entry
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		entries, err := explain.Read(path, file)
		file.Close()
		if err != nil {
			return nil, err
		}
		allEntries = append(allEntries, entries...)
	}
	return allEntries, nil
}
