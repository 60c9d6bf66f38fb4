package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"dalehook/internal/crashwatch"
	"dalehook/internal/quarantine"
)

// quarantineCommand lists the requests that crash servers, or releases one.
type quarantineCommand struct {
	node    string
	release string
}

// quarantineTimeout limits the call to a node.
const quarantineTimeout = 5 * time.Second

// Name implements subcommands.Command.
func (*quarantineCommand) Name() string { return "quarantine" }

// Synopsis implements subcommands.Command.
func (*quarantineCommand) Synopsis() string {
	return "list the requests that crash servers, or release one"
}

// Usage implements subcommands.Command.
func (*quarantineCommand) Usage() string {
	return `quarantine -node IP:PORT [-release FINGERPRINT]:
	Asks the node whose internal address is given for the requests under which servers
	ended, the servers, and when. With -release it lets one run again, at all nodes.
`
}

// SetFlags implements subcommands.Command.
func (c *quarantineCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.node, "node", "", "internal address of a node, IP:PORT")
	flags.StringVar(&c.release, "release", "", "fingerprint of the request that is to run again")
}

// Execute implements subcommands.Command.
func (c *quarantineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.node == "" {
		fmt.Fprintln(os.Stderr, "quarantine: -node is required")
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	run := c.list
	if c.release != "" {
		run = c.releaseRequest
	}
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quarantine:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *quarantineCommand) list(ctx context.Context) error {
	cases, err := crashwatch.FetchCases(ctx, c.node)
	if err != nil {
		return err
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "fingerprint\theld\tserver\tborn\tended")
	for _, known := range cases {
		for _, end := range known.Ends {
			fmt.Fprintf(writer, "%s\t%t\t%s\t%s\t%s\n", known.Fingerprint, known.Held, end.Server.ID, formatBirth(end.Server.Born), end.At.UTC().Format(time.RFC3339))
		}
	}
	return writer.Flush()
}

// formatBirth formats a server's time of birth, which the server may not have reported.
func formatBirth(born int64) string {
	if born == 0 {
		return "not told"
	}
	return time.UnixMilli(born).UTC().Format(time.RFC3339)
}

func (c *quarantineCommand) releaseRequest(ctx context.Context) error {
	fingerprint, ok := quarantine.ParseFingerprint(c.release)
	if !ok {
		return fmt.Errorf("%q is not a valid fingerprint", c.release)
	}
	known, err := crashwatch.RequestRelease(ctx, c.node, fingerprint)
	if err != nil {
		return err
	}
	if !known {
		return fmt.Errorf("node %s has no record of request %s", c.node, fingerprint)
	}
	fmt.Println("released")
	return nil
}
