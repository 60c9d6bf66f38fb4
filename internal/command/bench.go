package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"dalehook/internal/bench"
)

// benchCommand measures the control plane.
type benchCommand struct {
	streams Streams
}

func newBenchCommand(streams Streams) *benchCommand { return &benchCommand{streams: streams} }

// benchSettings are the flags of "bench control".
type benchSettings struct {
	sizes    string
	servers  int
	seed     uint64
	output   string
	loopback int
}

// benchControl is the only kind of bench so far.
const benchControl = "control"

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "measure what the control plane costs" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench control [-sizes N,...] [-servers N] [-seed N] [-output DIRECTORY]
      [-loopback N]:
	Runs hollow nodes, which are the control machines of a node with the gob
	encoding of its messages, in one process before hollow servers: steady, with
	plans confirmed, with a day's failures and replacements compressed, with a
	zone lost, and with the regions cut. Prints cost and times for each size and
	role, on the virtual clock. With -output it also writes them as CSV and
	plots. With -loopback it runs that many nodes over loopback sockets and real
	time instead. Exits with 0 when it ran, 1 when it failed, 2 for wrong use.
`
}

// SetFlags implements subcommands.Command. The flags follow the kind of bench,
// so Execute reads them.
func (*benchCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 || flags.Arg(0) != benchControl {
		fmt.Fprintf(c.streams.Error, "bench: want %q first\n", benchControl)
		return subcommands.ExitUsageError
	}
	settings, sizes, err := c.parse(flags.Args()[1:])
	if err != nil {
		fmt.Fprintf(c.streams.Error, "bench: %v\n", err)
		return subcommands.ExitUsageError
	}
	if settings.loopback > 0 {
		err = c.runLoopback(ctx, settings)
	} else {
		err = c.runVirtual(settings, sizes)
	}
	if err != nil {
		fmt.Fprintf(c.streams.Error, "bench: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// parse reads the flags of "bench control".
func (c *benchCommand) parse(arguments []string) (benchSettings, []int, error) {
	var settings benchSettings
	flags := flag.NewFlagSet("bench control", flag.ContinueOnError)
	flags.SetOutput(c.streams.Error)
	flags.StringVar(&settings.sizes, "sizes", "20,40,80,160,340", "numbers of nodes, by comma")
	flags.IntVar(&settings.servers, "servers", 600, "number of back ends")
	flags.Uint64Var(&settings.seed, "seed", 1, "seed of the runs")
	flags.StringVar(&settings.output, "output", "", "write CSV and plots into this `directory`")
	flags.IntVar(&settings.loopback, "loopback", 0, "run this many nodes over loopback sockets")
	if err := flags.Parse(arguments); err != nil {
		return settings, nil, eris.Wrap(err, "read the flags")
	}
	if flags.NArg() > 0 {
		return settings, nil, eris.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if settings.servers < bench.MinServers {
		return settings, nil, eris.Errorf("-servers: want %d or more", bench.MinServers)
	}
	sizes, err := parseSizes(settings.sizes)
	return settings, sizes, err
}

// parseSizes reads numbers of nodes.
func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || size < bench.MinNodes {
			return nil, eris.Errorf("-sizes: %q is no number from %d on", text, bench.MinNodes)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// runVirtual measures each size on the virtual clock.
func (c *benchCommand) runVirtual(settings benchSettings, sizes []int) error {
	var results []bench.Result
	for _, size := range sizes {
		fmt.Fprintf(c.streams.Error, "bench: Running %d nodes.\n", size)
		result, err := bench.Run(bench.Options{
			Nodes: size, Servers: settings.servers, Seed: settings.seed,
			Progress: func(phase bench.Phase) {
				fmt.Fprintf(c.streams.Error, "bench: Measured phase %s of %d nodes.\n", phase, size)
			},
		})
		if err != nil {
			return eris.Wrapf(err, "run %d nodes", size)
		}
		results = append(results, result)
	}
	fmt.Fprintf(c.streams.Output, "Virtual clock, seed %d, %d servers.\n", settings.seed, settings.servers)
	bench.WriteTables(c.streams.Output, results)
	bench.WriteFits(c.streams.Output, results)
	if settings.output == "" {
		return nil
	}
	return c.writeFiles(settings.output, results)
}

// writeFiles writes the CSV file and the plots.
func (c *benchCommand) writeFiles(directory string, results []bench.Result) error {
	name := filepath.Join(directory, "control.csv")
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "write the figures")
	}
	err = errors.Join(bench.WriteCSV(file, results), file.Close())
	if err != nil {
		return eris.Wrap(err, "write the figures")
	}
	plots, err := bench.WritePlots(directory, results)
	if err != nil {
		return err
	}
	for _, written := range append([]string{name}, plots...) {
		fmt.Fprintln(c.streams.Output, "Wrote", written)
	}
	return nil
}

// runLoopback measures one size over sockets.
func (c *benchCommand) runLoopback(ctx context.Context, settings benchSettings) error {
	result, err := bench.RunLoopback(ctx, bench.LoopbackOptions{
		Nodes: settings.loopback, Servers: settings.servers, Seed: settings.seed,
	})
	if err != nil {
		return eris.Wrapf(err, "run %d nodes over loopback sockets", settings.loopback)
	}
	result.Write(c.streams.Output)
	return nil
}
