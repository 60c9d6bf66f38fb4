package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/daemon"
)

// nodeCommand runs a node until a signal stops it.
type nodeCommand struct {
	streams       Streams
	settingsFlags settingsFlags
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
func (c *nodeCommand) SetFlags(flags *flag.FlagSet) { c.settingsFlags.register(flags) }

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rejectArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	config, ok := c.settingsFlags.load(c.streams)
	if !ok {
		return subcommands.ExitUsageError
	}
	logger, err := daemon.NewLogger(config.Log, c.streams.Error)
	if err != nil {
		fmt.Fprintln(c.streams.Error, err)
		return subcommands.ExitUsageError
	}
	node, err := daemon.New(daemon.Options{Settings: config, Logger: logger})
	if err != nil {
		logger.Error("node: Start failed.", zap.Error(err))
		return subcommands.ExitFailure
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	finished := make(chan struct{})
	var signalHandler conc.WaitGroup
	signalHandler.Go(func() { handleSignals(signals, finished, node, logger) })
	err = node.Run(ctx)
	close(finished)
	signalHandler.Wait()
	if err != nil {
		logger.Error("node: Run failed.", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// handleSignals starts a planned stop on the first signal and stops the node
// immediately on the second.
func handleSignals(signals <-chan os.Signal, finished <-chan struct{}, node *daemon.Daemon, logger *zap.Logger) {
	for _, action := range []func(){node.Leave, node.Stop} {
		select {
		case received := <-signals:
			logger.Info("node: Signal received.", zap.Stringer("signal", received))
			action()
		case <-finished:
			return
		}
	}
}
