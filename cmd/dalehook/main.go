// Command dalehook runs nodes of the rollout service and the tools around them.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"dalehook/internal/command"
)

func main() {
	flags := flag.NewFlagSet("dalehook", flag.ContinueOnError)
	commander := command.NewCommander(flags, "dalehook", command.Streams{
		Output:  os.Stdout,
		Error:   os.Stderr,
		Environ: os.Environ(),
	})
	if flags.Parse(os.Args[1:]) != nil {
		os.Exit(int(subcommands.ExitUsageError))
	}
	os.Exit(int(commander.Execute(context.Background())))
}
