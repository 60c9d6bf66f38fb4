package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"dalehook/internal/client"
)

// defaultTimeout bounds an operator's call to a node.
const defaultTimeout = 15 * time.Second

// operatorFlags are the flags of the subcommands that talk to a node.
type operatorFlags struct {
	node    string
	timeout time.Duration
	json    bool
}

func (o *operatorFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&o.node, "node", "", "HTTP `address` of a node, such as 127.0.0.1:7101 (required)")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to wait for the node")
	flags.BoolVar(&o.json, "json", false, "print JSON")
}

// client returns a client of the node; it reports a missing address.
func (o *operatorFlags) client(streams Streams, flags *flag.FlagSet) (*client.Client, bool) {
	if refuseArguments(streams, flags) {
		return nil, false
	}
	if o.node == "" {
		fmt.Fprintf(streams.Error, "%s: -node is required\n", flags.Name())
		return nil, false
	}
	return client.New(client.Options{Node: o.node}), true
}

func (o *operatorFlags) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.timeout)
}

// printJSON writes a value as indented JSON.
func printJSON(streams Streams, value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(streams.Output)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(streams.Error, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reportFailure writes why a node did not do what was asked.
func reportFailure(streams Streams, doing string, err error) subcommands.ExitStatus {
	fmt.Fprintf(streams.Error, "%s: %v\n", doing, err)
	var refusal *client.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfterMS > 0 {
		fmt.Fprintf(streams.Error, "Try again in %s.\n", refusal.RetryAfter())
	}
	return subcommands.ExitFailure
}
