// Command dalehook-node runs a node on the users' platform. It is a program of
// its own so that the process holds none of the rehearsal's code.
package main

// The C library is linked, as the platform asks of every program.

// #include <stdlib.h>
import "C"

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	flags := flag.NewFlagSet("dalehook-node", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "dalehook-node")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&quarantineCommand{}, "")
	commander.Register(&statusCommand{}, "")
	if flags.Parse(os.Args[1:]) != nil {
		os.Exit(int(subcommands.ExitUsageError))
	}
	os.Exit(int(commander.Execute(context.Background())))
}
