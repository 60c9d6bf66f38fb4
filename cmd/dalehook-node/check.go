package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"dalehook/internal/frontend"
)

// checkCommand validates a settings file.
type checkCommand struct{ settings settingsFlag }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-settings FILE]:\n\tSays what is wrong with a settings file.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) { c.settings.register(flags) }

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := frontend.LoadSettings(c.settings.path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}
