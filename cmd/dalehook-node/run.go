package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dalehook/internal/frontend"
	"dalehook/internal/logs"
	"dalehook/platform"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "DALEHOOK_NODE_FILE"

// The collector runs often, since memory is dearer than processor time.
const (
	collectPercent = 25
	memoryShare    = 0.7
)

// Bounds of the log.
const (
	// lineBuffer is how many bytes of lines wait for their reader.
	lineBuffer = 256 << 10
	// closeTimeout bounds the writing of the last lines.
	closeTimeout = 300 * time.Millisecond
	// linesFull is how many lines of one message are written in a second; beyond
	// them, one of linesSampled is.
	linesFull    = 400
	linesSampled = 50
)

// settingsFlag is the flag that names the settings file.
type settingsFlag struct{ path string }

func (s *settingsFlag) register(flags *flag.FlagSet) {
	flags.StringVar(&s.path, "settings", os.Getenv(settingsVariable), "settings `file`")
}

// runCommand runs a node until it is told to stop.
type runCommand struct{ settings settingsFlag }

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run a node" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return `run [-settings FILE]:
	Runs a node. Without the flag, the variable DALEHOOK_NODE_FILE names the file.
	SIGTERM and SIGINT let the node leave as planned.
`
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(flags *flag.FlagSet) { c.settings.register(flags) }

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Signals are taken from the first: one that comes before would end the process
	// as if it had failed.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := frontend.LoadSettings(c.settings.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	lines := logs.NewWriter(os.Stdout, lineBuffer)
	defer lines.Close(closeTimeout)
	logger, err := newLogger(settings.LogLevel, lines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	logger = logger.With(zap.String("node", settings.Node))
	boundMemory(settings.MemoryMB)
	node := frontend.NewNode(frontend.Options{
		Settings:     settings,
		Adapter:      platform.NewAdapter(settings),
		Incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		DroppedLines: lines.Dropped,
		Logger:       logger,
	})
	go func() {
		for range hangups {
			reload(c.settings.path, logger)
		}
	}()
	go func() {
		<-signals
		node.Leave()
	}()
	if err := node.Run(ctx); err != nil {
		logger.Error("ended early", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reload checks the changed settings. What a node listens on and reads from does
// not change within its life.
func reload(path string, logger *zap.Logger) {
	if _, err := frontend.LoadSettings(path); err != nil {
		logger.Error("changed settings refused", zap.Error(err))
		return
	}
	logger.Info("settings read again")
}

func boundMemory(megabytes int) {
	debug.SetGCPercent(collectPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryShare))
	}
}

func newLogger(level string, lines *logs.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log_level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), lines, parsed)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesFull, linesSampled)), nil
}
