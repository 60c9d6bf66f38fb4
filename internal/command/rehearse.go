package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"dalehook/internal/rehearse"
)

// rehearseCommand simulates an event in virtual time.
type rehearseCommand struct {
	streams   Streams
	eventPath string
	firstSeed uint64
	seeds     int
	policies  string
	json      bool
	plotPath  string
}

func newRehearseCommand(streams Streams) *rehearseCommand { return &rehearseCommand{streams: streams} }

// Name implements subcommands.Command.
func (*rehearseCommand) Name() string { return "rehearse" }

// Synopsis implements subcommands.Command.
func (*rehearseCommand) Synopsis() string { return "run an event on virtual time" }

// Usage implements subcommands.Command.
func (*rehearseCommand) Usage() string {
	return `rehearse -event FILE [-seed N] [-seeds N] [-policy NAME,...] [-json] [-plot FILE]:
	Runs the event on virtual time, over models of engines, servers, trainers
	and callers, and prints trainer idle time, staleness, step time against its
	floor, request latency and what was shed. Without -policy it compares
	dalehook with each baseline over the same seeds. Exits with 0 when it ran,
	1 when it failed, 2 for wrong use.
`
}

// SetFlags implements subcommands.Command.
func (c *rehearseCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.eventPath, "event", "", "event `file` in YAML with its rehearsal's parameters")
	flags.Uint64Var(&c.firstSeed, "seed", 1, "first seed")
	flags.IntVar(&c.seeds, "seeds", 1, "number of seeds")
	flags.StringVar(&c.policies, "policy", "", "`names` of policies, by comma: "+strings.Join(rehearse.Policies(), ", "))
	flags.BoolVar(&c.json, "json", false, "write JSON instead of a table")
	flags.StringVar(&c.plotPath, "plot", "", "write a plot to this `file` (.png, .svg or .pdf)")
}

// Execute implements subcommands.Command.
func (c *rehearseCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rejectArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	file, err := rehearse.Load(c.eventPath)
	if err != nil {
		fmt.Fprintf(c.streams.Error, "rehearse: %v\n", err)
		return subcommands.ExitUsageError
	}
	options := rehearse.Options{File: file, Seed: c.firstSeed, Seeds: c.seeds}
	if c.policies != "" {
		options.Policies = strings.Split(c.policies, ",")
	}
	if err := options.Check(); err != nil {
		fmt.Fprintf(c.streams.Error, "rehearse: %v\n", err)
		return subcommands.ExitUsageError
	}
	result, err := rehearse.Run(ctx, options)
	if err == nil {
		err = c.write(result)
	}
	if err != nil {
		fmt.Fprintf(c.streams.Error, "rehearse: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *rehearseCommand) write(result rehearse.Result) error {
	if c.plotPath != "" {
		if err := result.WritePlot(c.plotPath); err != nil {
			return err
		}
	}
	if !c.json {
		result.WriteTable(c.streams.Output)
		return nil
	}
	encoder := json.NewEncoder(c.streams.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
