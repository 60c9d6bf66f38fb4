package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"dalehook/internal/daemon"
	"dalehook/internal/demo"
	"dalehook/internal/settings"
)

// demoCommand runs a complete deployment in one process.
type demoCommand struct {
	streams  Streams
	options  demo.Options
	logLevel string
}

func newDemoCommand(streams Streams) *demoCommand { return &demoCommand{streams: streams} }

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run everything in one process for half a minute" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-nodes N] [-requests N] [-versions N] [-log LEVEL]:
	Starts stand-ins of the platform, of 9 engines and of 3 service servers, and
	the nodes, on loopback sockets in one process; plans and confirms an event;
	lets trainers and callers work while weights change; and prints what they
	counted as a table and as one JSON line. Exits with 1 if anything was lost,
	doubled or stale.
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(flags *flag.FlagSet) {
	c.options = demo.DefaultOptions()
	flags.IntVar(&c.options.Nodes, "nodes", c.options.Nodes, "number of nodes")
	flags.IntVar(&c.options.Requests, "requests", c.options.Requests, "requests through the nodes, and as many direct")
	flags.IntVar(&c.options.Versions, "versions", c.options.Versions, "weight versions announced")
	flags.StringVar(&c.logLevel, "log", "", "log the nodes to standard error at this `level`; nothing by default")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rejectArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	if c.options.Nodes < 1 || c.options.Requests < 0 || c.options.Versions < 1 {
		fmt.Fprintln(c.streams.Error, "demo: -nodes and -versions must be at least 1, -requests at least 0")
		return subcommands.ExitUsageError
	}
	c.options.Logger = zap.NewNop()
	if c.logLevel != "" {
		logger, err := daemon.NewLogger(settings.Log{Level: c.logLevel}, c.streams.Error)
		if err != nil {
			fmt.Fprintln(c.streams.Error, err)
			return subcommands.ExitUsageError
		}
		c.options.Logger = logger
	}
	if isTerminal(c.streams.Output) {
		c.options.Progress = c.streams.Output
	}
	result, err := demo.Run(ctx, c.options)
	if err != nil {
		fmt.Fprintf(c.streams.Error, "demo: %v\n", err)
		return subcommands.ExitFailure
	}
	if err := result.Write(c.streams.Output); err != nil {
		fmt.Fprintf(c.streams.Error, "demo: %v\n", err)
		return subcommands.ExitFailure
	}
	if !result.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// isTerminal reports whether out is a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
