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

// defaultCallTimeout is the default timeout of a call to a node.
const defaultCallTimeout = 15 * time.Second

// clientFlags are the flags of subcommands that call a node.
type clientFlags struct {
	node    string
	timeout time.Duration
	json    bool
}

func (f *clientFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.node, "node", "", "HTTP `address` of a node, such as 127.0.0.1:7101 (required)")
	flags.DurationVar(&f.timeout, "timeout", defaultCallTimeout, "how long to wait for the node")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// newClient returns a client of the node. It prints an error and returns false if
// the address is missing.
func (f *clientFlags) newClient(streams Streams, flags *flag.FlagSet) (*client.Client, bool) {
	if rejectArguments(streams, flags) {
		return nil, false
	}
	if f.node == "" {
		fmt.Fprintf(streams.Error, "%s: -node is required\n", flags.Name())
		return nil, false
	}
	return client.New(client.Options{Node: f.node}), true
}

func (f *clientFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.timeout)
}

// printJSON prints a value as indented JSON.
func printJSON(streams Streams, value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(streams.Output)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(streams.Error, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// printFailure prints why an action failed and, if the node gave one, the time
// after which to retry.
func printFailure(streams Streams, action string, err error) subcommands.ExitStatus {
	fmt.Fprintf(streams.Error, "%s: %v\n", action, err)
	var apiError *client.APIError
	if errors.As(err, &apiError) && apiError.RetryAfterMS > 0 {
		fmt.Fprintf(streams.Error, "Try again in %s.\n", apiError.RetryAfter())
	}
	return subcommands.ExitFailure
}
