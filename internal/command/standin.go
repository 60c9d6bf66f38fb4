package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"dalehook/internal/cluster"
	"dalehook/internal/standin"
)

// standinCommand runs one stand-in until a signal stops it.
type standinCommand struct {
	streams Streams
}

func newStandinCommand(streams Streams) *standinCommand { return &standinCommand{streams: streams} }

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in of what surrounds the nodes" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin platform|engine|service [-listen ADDRESS] [flags]:
	Runs a stand-in of the platform (log, weight store, machine list), of a
	model engine or of a service server, and prints one line "listening ADDRESS"
	once it takes connections. SIGTERM or SIGINT stops it. See
	"standin KIND -help" for the flags of each.
`
}

// SetFlags implements subcommands.Command. Execute parses the flags, which follow
// the kind of stand-in.
func (*standinCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kind, ok := map[string]standinFlags{
		"platform": &platformFlags{},
		"engine":   &engineFlags{},
		"service":  &serviceFlags{},
	}[flags.Arg(0)]
	if !ok {
		fmt.Fprintln(c.streams.Error, `standin: name one of "platform", "engine" and "service"`)
		return subcommands.ExitUsageError
	}
	kindFlags := flag.NewFlagSet("standin "+flags.Arg(0), flag.ContinueOnError)
	kindFlags.SetOutput(c.streams.Error)
	listen := kindFlags.String("listen", "127.0.0.1:0", "`address` to listen on; port 0 takes a free one")
	kind.register(kindFlags)
	if kindFlags.Parse(flags.Args()[1:]) != nil || rejectArguments(c.streams, kindFlags) {
		return subcommands.ExitUsageError
	}
	return c.serve(ctx, *listen, kind)
}

// serve runs the stand-in until it receives a signal or ctx is done.
func (c *standinCommand) serve(ctx context.Context, listen string, kind standinFlags) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := standin.Listen(listen)
	if err != nil {
		fmt.Fprintf(c.streams.Error, "standin: %v\n", err)
		return subcommands.ExitFailure
	}
	defer server.Close()
	instance := kind.start(server)
	defer instance.Close()
	server.Serve(instance.Handler())
	fmt.Fprintf(c.streams.Output, "listening %s\n", server.Address())
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// standinInstance is a started stand-in.
type standinInstance interface {
	Handler() http.Handler
	Close()
}

// standinFlags holds the flags of one kind of stand-in and starts it.
type standinFlags interface {
	register(flags *flag.FlagSet)
	start(server *standin.Server) standinInstance
}

type platformFlags struct {
	options standin.PlatformOptions
}

func (f *platformFlags) register(flags *flag.FlagSet) {
	flags.DurationVar(&f.options.ListLag, "list-lag", 0, "`time` that a change of the machine list stays unseen")
	flags.Float64Var(&f.options.WeightsRate, "weights-rate", 0, "weight fetches a second, 0 for no limit")
	flags.IntVar(&f.options.WeightsBurst, "weights-burst", 1, "weight fetches allowed at once")
}

func (f *platformFlags) start(*standin.Server) standinInstance {
	return standin.NewPlatform(f.options)
}

// machineFlags are the flags of a stand-in that registers in the machine list.
type machineFlags struct {
	machine     cluster.Machine
	platformURL string
}

func (f *machineFlags) register(flags *flag.FlagSet, id, poolHelp string) {
	flags.StringVar((*string)(&f.machine.ID), "id", id, "`name` on the machine list")
	flags.StringVar(&f.machine.Pool, "pool", "", poolHelp)
	flags.StringVar((*string)(&f.machine.Zone), "zone", "", "`zone` of the machine")
	flags.StringVar((*string)(&f.machine.Region), "region", "", "`region` of the machine")
	flags.StringVar(&f.machine.Address, "advertise", "", "`address` on the machine list; by default the bound one")
	flags.StringVar(&f.platformURL, "platform", "", "`URL` of the platform to register at, empty for none")
}

// machineEntry returns the stand-in's entry in the machine list.
func (f *machineFlags) machineEntry(server *standin.Server) cluster.Machine {
	machine := f.machine
	if machine.Address == "" {
		machine.Address = server.Address()
	}
	return machine
}

type engineFlags struct {
	machineFlags
	options standin.EngineOptions
}

func (f *engineFlags) register(flags *flag.FlagSet) {
	o := &f.options
	f.machineFlags.register(flags, "engine-1", "`name` of the model pool")
	flags.StringVar(&o.WeightsURL, "weights", "", "`URL` of the weight store; empty: each version is at hand")
	flags.StringVar((*string)(&o.Model), "model", "", "`model` loaded at the start")
	flags.Int64Var((*int64)(&o.Version), "version", 0, "version loaded at the start, 0 for none")
	flags.IntVar(&o.Slots, "slots", standin.DefaultSlots, "streams in a batch")
	flags.IntVar(&o.QueueLimit, "queue", standin.DefaultEngineQueueLimit, "waiting requests")
	flags.DurationVar(&o.TokenTime, "token-time", standin.DefaultTokenTime, "`time` of a token of a stream that is alone")
	flags.Float64Var(&o.BatchCost, "batch-cost", standin.DefaultBatchCost, "`share` of the token time that each further stream adds")
	flags.IntVar(&o.ChunkTokens, "chunk-tokens", standin.DefaultChunkTokens, "tokens in a chunk")
	flags.DurationVar(&o.PrefillTokenTime, "prefill-token-time", standin.DefaultPrefillTokenTime, "`time` of a token of the prompt")
	flags.IntVar(&o.CacheGroups, "cache-groups", standin.DefaultCacheGroups, "prefix groups in the cache")
	flags.DurationVar(&o.SwapTime, "swap-time", standin.DefaultSwapTime, "`time` that a load stops generation")
	flags.DurationVar(&o.ReportLag, "report-lag", 0, "`age` of the load report")
	flags.DurationVar(&o.EventLag, "event-lag", time.Second, "`age` of cache events")
	flags.DurationVar(&o.DetachGrace, "detach-grace", standin.DefaultDetachGrace, "`time` that a request goes on whose stream was closed")
	flags.DurationVar(&o.KeepTime, "keep-time", standin.DefaultKeepTime, "`time` that a finished answer can be read again")
}

func (f *engineFlags) start(server *standin.Server) standinInstance {
	options := f.options
	options.Server = server
	options.Machine = f.machineEntry(server)
	options.PlatformURL = strings.TrimRight(f.platformURL, "/")
	return standin.NewEngine(options)
}

type serviceFlags struct {
	machineFlags
	options standin.ServiceOptions
}

func (f *serviceFlags) register(flags *flag.FlagSet) {
	o := &f.options
	f.machineFlags.register(flags, "service-1", "`name` of the service")
	flags.DurationVar(&o.ServiceTime, "service-time", 0, "`time` that a request runs")
	flags.IntVar(&o.Concurrency, "concurrency", standin.DefaultConcurrency, "requests that run at once")
	flags.IntVar(&o.QueueLimit, "queue", standin.DefaultServiceQueueLimit, "waiting requests")
	flags.IntVar(&o.PayloadBytes, "payload", 0, "`bytes` of filler in each answer")
}

func (f *serviceFlags) start(server *standin.Server) standinInstance {
	options := f.options
	options.Server = server
	options.Machine = f.machineEntry(server)
	options.PlatformURL = strings.TrimRight(f.platformURL, "/")
	return standin.NewService(options)
}
