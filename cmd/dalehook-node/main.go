// Command dalehook-node runs a node on the users' platform. It is a separate program so that the
// node's binary contains no rehearsal code.
package main

// Links the C library, which the platform requires of every program.

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
