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

// settingsVariable is the environment variable with the path of the settings file, for use without
// the flag.
const settingsVariable = "DALEHOOK_NODE_FILE"

// The garbage collector runs more often than by default, since memory is scarcer than processor
// time.
const (
	gcPercent        = 25
	memoryLimitShare = 0.7
)

// Limits of the log output.
const (
	// logBufferBytes is the size of the queue of lines that wait to be written.
	logBufferBytes = 256 << 10
	// logCloseTimeout limits the time to write the last lines.
	logCloseTimeout = 300 * time.Millisecond
	// logSampleFirst is the number of lines with the same message that are written in a second; of
	// further ones, every logSampleThereafter-th is.
	logSampleFirst      = 400
	logSampleThereafter = 50
)

// settingsFlag is the flag with the path of the settings file.
type settingsFlag struct{ path string }

func (s *settingsFlag) register(flags *flag.FlagSet) {
	flags.StringVar(&s.path, "settings", os.Getenv(settingsVariable), "settings `file`")
}

// runCommand runs a node until a signal stops it.
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
	// Signals are handled from the start: a signal during startup would otherwise kill the process,
	// which counts as a failure.
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
	lines := logs.NewWriter(os.Stdout, logBufferBytes)
	defer lines.Close(logCloseTimeout)
	logger, err := newLogger(settings.LogLevel, lines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	logger = logger.With(zap.String("node", settings.Node))
	limitMemory(settings.MemoryMB)
	node := frontend.NewNode(frontend.Options{
		Settings:     settings,
		Adapter:      platform.NewAdapter(settings),
		Incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		DroppedLines: lines.Dropped,
		Logger:       logger,
	})
	go func() {
		for range hangups {
			checkSettings(c.settings.path, logger)
		}
	}()
	go func() {
		<-signals
		node.Leave()
	}()
	if err := node.Run(ctx); err != nil {
		logger.Error("node failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// checkSettings validates the settings file after SIGHUP. It applies no changes: addresses and
// other settings are fixed for the life of the process.
func checkSettings(path string, logger *zap.Logger) {
	if _, err := frontend.LoadSettings(path); err != nil {
		logger.Error("changed settings are invalid", zap.Error(err))
		return
	}
	logger.Info("changed settings are valid and take effect at the next start")
}

func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitShare))
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
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logSampleFirst, logSampleThereafter)), nil
}
