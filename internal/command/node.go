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
	chosen, ok := c.settings.load(c.streams)
	if !ok {
		return subcommands.ExitUsageError
	}
	logger, err := daemon.NewLogger(chosen.Log, c.streams.Error)
	if err != nil {
		fmt.Fprintln(c.streams.Error, err)
		return subcommands.ExitUsageError
	}
	assembled, err := daemon.New(daemon.Options{Settings: chosen, Logger: logger})
	if err != nil {
		logger.Error("node: Start failed.", zap.Error(err))
		return subcommands.ExitFailure
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	var background conc.WaitGroup
	background.Go(func() { obeySignals(signals, ended, assembled, logger) })
	err = assembled.Run(ctx)
	close(ended)
	background.Wait()
	if err != nil {
		logger.Error("node: Ended early.", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// obeySignals lets the node leave at the first signal and stops it at the second.
func obeySignals(signals <-chan os.Signal, ended <-chan struct{}, node *daemon.Daemon, logger *zap.Logger) {
	for _, act := range []func(){node.Leave, node.Stop} {
		select {
		case received := <-signals:
			logger.Info("node: Signal received.", zap.Stringer("signal", received))
			act()
		case <-ended:
			return
		}
	}
}
