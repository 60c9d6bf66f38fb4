package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"dalehook/internal/frontend"
)

// checkCommand validates a settings file and prints the settings in force.
type checkCommand struct{ settings settingsFlag }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check [-settings FILE]:
	Reports all errors in a settings file. If there are none, prints the settings in force
	as JSON: all keys, with defaults for those that the file does not set.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) { c.settings.register(flags) }

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := writeEffectiveSettings(os.Stdout, c.settings.path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Fprintln(os.Stderr, "settings are valid")
	return subcommands.ExitSuccess
}

func writeEffectiveSettings(w io.Writer, path string) error {
	settings, err := frontend.LoadSettings(path)
	if err != nil {
		return err
	}
	text, err := settings.Effective()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
