package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/jedib0t/go-pretty/v6/table"

	"dalehook/internal/load"
)

// Defaults of a load run.
const (
	defaultLoadRequests    = 20000
	defaultLoadConcurrency = 16
	defaultLoadTurns       = 10
	defaultLoadDeadline    = 10 * time.Second
	defaultLoadTimeout     = 5 * time.Minute
)

// loadCommand measures the overhead that nodes add to requests.
type loadCommand struct {
	streams         Streams
	nodeAddresses   string
	serverAddresses string
	options         load.Options
	timeout         time.Duration
	json            bool
}

func newLoadCommand(streams Streams) *loadCommand { return &loadCommand{streams: streams} }

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "measure what nodes add to requests" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -nodes ADDRESSES -servers ADDRESSES -service NAME [-path PATH] [-unrepeatable] [-json]:
	Sends requests to a service through nodes and straight to its servers, in
	turns, and prints latency, throughput, and the nodes' processor time and
	allocations for each request. Addresses are parted by commas. Exits with 1
	if a request failed.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.nodeAddresses, "nodes", "", "HTTP `addresses` of nodes (required)")
	flags.StringVar(&c.serverAddresses, "servers", "", "HTTP `addresses` of the service's servers (required)")
	flags.StringVar(&c.options.Service, "service", "", "`name` of the service (required)")
	flags.StringVar(&c.options.Path, "path", "/lookups/1", "`path` to ask for")
	flags.IntVar(&c.options.Requests, "requests", defaultLoadRequests, "`number` of requests on each way")
	flags.IntVar(&c.options.Concurrency, "concurrency", defaultLoadConcurrency, "`number` of requests open at once")
	flags.IntVar(&c.options.Turns, "turns", defaultLoadTurns, "`number` of turns of each way")
	flags.BoolVar(&c.options.Unrepeatable, "unrepeatable", false, "send unrepeatable requests with keys")
	flags.DurationVar(&c.options.Deadline, "deadline", defaultLoadDeadline, "deadline of one request")
	flags.DurationVar(&c.timeout, "timeout", defaultLoadTimeout, "longest run")
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rejectArguments(c.streams, flags) {
		return subcommands.ExitUsageError
	}
	c.options.Nodes, c.options.Servers = baseURLs(c.nodeAddresses), baseURLs(c.serverAddresses)
	hasRequired := len(c.options.Nodes) > 0 && len(c.options.Servers) > 0 && c.options.Service != ""
	if !hasRequired || c.options.Requests < 1 || c.options.Concurrency < 1 || c.options.Turns < 1 {
		fmt.Fprintln(c.streams.Error, "load: -nodes, -servers and -service are required, and numbers are at least 1")
		return subcommands.ExitUsageError
	}
	c.options.RunID = strconv.FormatInt(time.Now().UnixNano(), 36)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	report, err := load.Run(ctx, c.options)
	if err != nil {
		return printFailure(c.streams, "load", err)
	}
	if c.json {
		printJSON(c.streams, report)
	} else {
		renderLoad(c.streams.Output, report)
	}
	if report.Routed.Failed+report.Direct.Failed > 0 {
		fmt.Fprintln(c.streams.Error, "load: first failure:", report.FirstError)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// baseURLs splits a comma-separated list of addresses and adds the http scheme
// where there is none.
func baseURLs(list string) []string {
	var urls []string
	for address := range strings.SplitSeq(list, ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		urls = append(urls, address)
	}
	return urls
}

func renderLoad(out io.Writer, report load.Report) {
	requests := newTable("Requests", table.Row{"way", "sent", "failed", "per second", "p50 us", "p99 us", "max us"})
	for _, row := range []struct {
		name  string
		stats load.Stats
	}{{"through nodes", report.Routed}, {"direct", report.Direct}} {
		requests.AppendRow(table.Row{row.name, row.stats.Requests, row.stats.Failed, fmt.Sprintf("%.0f", row.stats.PerSecond),
			row.stats.P50Micros, row.stats.P99Micros, row.stats.MaxMicros})
	}
	fmt.Fprintln(out, requests.Render())
	fmt.Fprintf(out, "Added: p50 %d us, p99 %d us. Nodes: %.1f us processor time and %.1f allocations a request.\n",
		report.AddedP50Micros, report.AddedP99Micros, report.CPUMicrosPerRequest, report.AllocationsPerRequest)
}
