package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"dalehook/internal/build"
	"dalehook/internal/clock"
	"dalehook/internal/coordinator"
	"dalehook/internal/crashwatch"
	"dalehook/internal/directory"
	"dalehook/internal/drain"
	"dalehook/internal/election"
	"dalehook/internal/fanout"
	"dalehook/internal/follow"
	"dalehook/internal/gateway"
	"dalehook/internal/joblog"
	"dalehook/internal/jobread"
	"dalehook/internal/liveness"
	"dalehook/internal/nodecall"
	"dalehook/internal/nodestatus"
	"dalehook/internal/routetable"
	"dalehook/internal/scaling"
	"dalehook/internal/serverlist"
	"dalehook/internal/store"
	"dalehook/internal/storeproxy"
	"dalehook/internal/usage"
)

// Adapter is how a node speaks to what stands around it.
type Adapter interface {
	// Requests is the handler of the callers' address.
	Requests(node *Node) http.Handler
	// Readiness is the handler of the readiness address.
	Readiness(node *Node) http.Handler
	Log() store.Log
	Backend() gateway.Backend
	// Probe finds out whether anything takes connections at a server's address.
	Probe(ctx context.Context, address string) crashwatch.ProbeResult
	Engines() coordinator.Engines
	// Provider is called only where the settings name one.
	Provider() Provider
	// Table decodes the record of the operator's topic that holds the
	// configuration; it returns nil for a record that does not.
	Table(record store.Record) (*routetable.Table, error)
	// Version decodes the record that names a model's newest weight version.
	Version(record store.Record) (model string, version int64, ok bool)
	// Evacuation decodes the record that has a zone evacuated, or takes that back.
	Evacuation(record store.Record) (zone string, evacuated, ok bool)
	// Server decodes the record of a server.
	Server(record store.Record) (directory.Server, error)
	// ServerDigest tells the entries of a server apart without what every heartbeat
	// changes.
	ServerDigest(value []byte) uint64
	// ObserveStore sets what is told of each call to the store: its name, the
	// status of its answer, 0 for none, and the time it took.
	ObserveStore(observe func(call string, status int, took time.Duration))
}

// Provider is the service that takes reports and orders from the holder of the lease.
type Provider interface {
	usage.Provider
	scaling.Provider
}

// Options configure a Node.
type Options struct {
	Settings *Settings
	Adapter  Adapter
	// LostLines returns the number of log lines that were lost; it may be nil.
	LostLines func() int64
	// Incarnation tells this process from earlier ones of the same node.
	Incarnation string
	// TimeOfDay tells the machine's time of day; nil stands for that of package clock.
	TimeOfDay func() time.Time
	Logger    *zap.Logger
}

// The timing of a node.
const (
	// listPace is the shortest time between two reads of the list of servers, whose
	// heartbeats come all the time; listWait is how long a read waits for news.
	listPace = 200 * time.Millisecond
	listWait = 500 * time.Millisecond
	// operatorPace and operatorWait are the same for what operators and trainers put.
	operatorPace = 30 * time.Millisecond
	operatorWait = time.Second
	// leaveNotice is how long a leaving node serves after it called itself not
	// ready, so that new connections go elsewhere.
	leaveNotice = 2700 * time.Millisecond
	// leaveReserve is kept from the grace period for the end of the process.
	leaveReserve = 1200 * time.Millisecond
	// headerTimeout, idleTimeout and headerBytes bound callers while nothing is
	// known of the configuration's limits, which may be narrower or wider. What
	// the configuration says of sizes is checked for each request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 1 << 20
	// forgetInterval is the time between two sweeps of what was seen of servers.
	forgetInterval = 5 * time.Second
)

// Node is one process of the service.
type Node struct {
	options Options
	logger  *zap.Logger
	table   atomic.Pointer[routetable.Table]
	metrics *nodeMetrics
	// operatorReadAt is when the store last answered what the newest configuration is.
	operatorReadAt moment
	// operatorGuide says where this node reads what operators put, operatorSource holds it for other nodes.
	operatorGuide  *fanout.Guide
	operatorSource *fanout.Source
	// storeAnsweredAt is when the store last carried out any call of this node.
	storeAnsweredAt moment
	// configuredAt is when the store was asked, by this node or another, for what was
	// answered last of the newest configuration.
	configuredAt moment
	leaving      atomic.Bool
	left         chan struct{}
	directory    *directory.Directory
	// zones are those that the operator has evacuated.
	zones       evacuatedZones
	servers     *serverlist.List
	gateway     *gateway.Gateway
	quarantine  *crashwatch.Tracker
	startedAt   time.Time
	jobs        *joblog.Logs
	jobReader   *jobReader
	coordinator *coordinator.Coordinator
	// yielder decides whether the lease is yielded while this process holds it.
	yielder election.Yielder
	// peers are the nodes that coordinated last, or asked this one whether it does.
	peers storeproxy.Peers
	// electionState is this process's role in the election; nil before it is known.
	electionState atomic.Pointer[election.State]
	// usageSender and usageReporter are nil where no usage is reported.
	usageSender   *usage.Sender
	usageReporter *usage.Reporter
	// scaling is nil where no servers are ordered.
	scaling *scaling.Driver
}

// NewNode assembles a node.
func NewNode(options Options) *Node {
	adapter, logger := options.Adapter, options.Logger
	n := &Node{options: options, logger: logger.Named("node"), left: make(chan struct{}), directory: directory.NewDirectory(), startedAt: clock.Now()}
	n.operatorGuide, n.operatorSource = n.newOperatorGuide(), fanout.NewSource()
	n.metrics = newNodeMetrics(n, options.LostLines)
	n.quarantine = n.newQuarantine(logger)
	n.zones = evacuatedZones{directory: n.directory, changed: n.observeServers, logger: n.logger}
	n.gateway = gateway.NewGateway(gateway.Options{
		Backend: adapter.Backend(), Directory: n.directory, Node: options.Settings.Node, Zone: options.Settings.Zone, Quarantine: n.quarantine,
		Logger: logger.Named("gateway"), Observe: n.metrics.observeRequest, OnStarted: n.noteBegan,
	})
	adapter.ObserveStore(n.observeStore)
	n.jobs = joblog.NewLogs(joblog.Options{
		Log: adapter.Log(), Partitions: options.Settings.Store.Partitions, Logger: logger.Named("joblog"),
	})
	n.jobReader = newJobReader(n.jobs, n.metrics.observeJobRead, n.metrics.jobReadsMisread.Inc, logger.Named("jobs"))
	n.servers = serverlist.New(serverlist.Options{
		Log: adapter.Log(), Directory: n.directory, Logger: logger.Named("servers"), MinReadInterval: listPace, ReadWait: listWait,
		Decode: adapter.Server, Digest: adapter.ServerDigest,
		Self: n.process(), Leading: func() bool { return n.coordinator.State().Leading },
		Established: n.coordinatorEstablished, OnChange: n.observeServers, SharedServices: n.sharedServices, LeaveBound: time.Duration(options.Settings.LeaveBoundMs) * time.Millisecond,
	})
	n.coordinator = coordinator.New(coordinator.Options{
		Engines: adapter.Engines(), Quarantine: n.quarantine, Rewards: &rewardCaller{gateway: n.gateway, logger: logger.Named("reward")}, Log: adapter.Log(), Jobs: n.jobs, Directory: n.directory,
		OrderPause: time.Duration(options.Settings.OrderPauseMs) * time.Millisecond,
		Fenced:     options.Settings.FencingEnforced,
		Logger:     logger.Named("coordinator"),
		Observer:   n.metrics,
	})
	n.usageSender, n.usageReporter = n.newUsage(logger)
	n.scaling = n.newScaling(logger)
	return n
}

// Run serves until the context ends, or until Leave has been carried out.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	internal, err := net.Listen("tcp", n.options.Settings.Listen.Internal)
	if err != nil {
		return fmt.Errorf("listen for other nodes: %w", err)
	}
	defer internal.Close()
	var background conc.WaitGroup
	calls := rpc.NewServer()
	if err := errors.Join(liveness.Register(calls, n.process(), n), jobread.Register(calls, n.jobReader), usage.Register(calls, n.options.Adapter.Log()),
		storeproxy.Register(calls, storeproxy.NewProxy(n.options.Adapter.Log(), &n.peers)), crashwatch.Register(calls, n.quarantine), nodestatus.Register(calls, n),
		fanout.Register(calls, n.operatorSource)); err != nil {
		return err
	}
	background.Go(func() {
		if err := nodecall.Serve(internal, calls); err != nil {
			n.logger.Error("nodes are not answered", zap.Error(err))
		}
	})
	n.start(ctx, &background)
	failed := make(chan error, len(servers))
	for _, s := range servers {
		background.Go(func() { failed <- s.serve() })
	}
	n.logger.Info("started", zap.String("build", build.Revision()), zap.String("zone", n.options.Settings.Zone),
		zap.String("requests", n.options.Settings.Listen.Requests))
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.left:
		n.finish(servers)
	}
	cancel()
	for _, s := range servers {
		s.server.Close()
	}
	internal.Close()
	background.Wait()
	n.logger.Info("stopped", zap.Error(err))
	return err
}

// start runs what follows the store.
func (n *Node) start(ctx context.Context, background *conc.WaitGroup) {
	log := n.options.Adapter.Log()
	background.Go(func() { follow.Keyed(ctx, n.operatorFollowing(log)) })
	background.Go(func() { clock.Watch(ctx, n.logger) })
	background.Go(func() { n.servers.Run(ctx) })
	background.Go(func() { n.quarantine.Run(ctx) })
	background.Go(func() { n.jobs.Run(ctx) })
	background.Go(func() { n.coordinator.Run(ctx) })
	background.Go(func() {
		election.Run(ctx, election.Options{
			Log: log, Self: n.process(), Address: n.options.Settings.Listen.Internal, Timing: leaseTiming(n.options.Settings), Probe: n.askHolder,
			Yielder: &n.yielder,
			Logger:  n.options.Logger.Named("election"), Observe: n.observeLease, Resign: n.left, Announcement: n.operatorNews,
		})
	})
	background.Go(func() { n.sweep(ctx) })
	if n.usageSender != nil {
		background.Go(func() { n.usageSender.Run(ctx) })
		background.Go(func() { n.usageReporter.Run(ctx) })
	}
	if n.scaling != nil {
		background.Go(func() { n.scaling.Run(ctx) })
	}
}

// sharedServices returns which services all nodes send requests to: not the pools of engines that no
// route for single requests names, since batch jobs are run by the coordinator alone. It returns nil
// while no configuration is known.
func (n *Node) sharedServices() func(service string) bool {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	return table.ServesSingleRequests
}

// warmingServers returns how many of the listed servers are slow since they started.
func (n *Node) warmingServers(now time.Time) int {
	count := 0
	n.directory.Snapshot().All(func(server *directory.Server) {
		if now.Before(server.WarmAt) {
			count++
		}
	})
	return count
}

// process names this process unlike any other.
func (n *Node) process() string { return n.options.Settings.Node + "/" + n.options.Incarnation }

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.gateway.Prune()
		}
	}
}

type boundServer struct {
	address  string
	server   *drain.Server
	listener net.Listener
}

func (s boundServer) serve() error { return s.server.Serve(s.listener) }

func (n *Node) listen() ([]boundServer, error) {
	listen := n.options.Settings.Listen
	var bound []boundServer
	handlers := map[string]http.Handler{
		listen.Requests:  n.options.Adapter.Requests(n),
		listen.Readiness: n.options.Adapter.Readiness(n),
	}
	if listen.Metrics != "" {
		handlers[listen.Metrics] = n.metrics.handler()
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		bound = append(bound, boundServer{address: address, listener: listener, server: drain.NewServer(drain.Options{HTTP: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
			ErrorLog: zap.NewStdLog(n.options.Logger.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		}})})
	}
	return bound, nil
}

// Leave begins a planned stop; it returns at once.
func (n *Node) Leave() {
	if n.leaving.CompareAndSwap(false, true) {
		n.logger.Info("leaving")
		n.coordinator.Resign()
		close(n.left)
	}
}

// finish serves what is under way, within the grace period.
func (n *Node) finish(servers []boundServer) {
	ends := time.Now().Add(time.Duration(n.options.Settings.GraceSeconds*float64(time.Second)) - leaveReserve)
	for _, s := range servers {
		s.server.Leave()
	}
	time.Sleep(leaveNotice)
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	// Each listener has the whole time: what one waits for is not taken from the others.
	var drains conc.WaitGroup
	for _, s := range servers {
		drains.Go(func() { n.drain(ctx, s) })
	}
	drains.Wait()
	if n.usageSender != nil {
		last, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		n.usageSender.Flush(last)
	}
}

// drain serves what is under way at a listener.
func (n *Node) drain(ctx context.Context, s boundServer) {
	began := clock.Now()
	late := s.server.Drain(ctx)
	n.logger.Info("drained", zap.String("address", s.address), zap.Duration("took", clock.Since(began)), zap.Int("late", late))
	if late > 0 {
		n.metrics.requestsPastGrace.Add(float64(late))
		n.logger.Warn("requests ended by the end of the grace period", zap.String("address", s.address), zap.Int("late", late))
	}
}

// replaceOperator takes the newest record of each key: what is not among them was taken back.
func (n *Node) replaceOperator(records []store.Record) {
	n.zones.clear()
	n.handleOperator(records)
}

func (n *Node) handleOperator(records []store.Record) {
	defer n.zones.apply()
	for _, record := range records {
		if zone, evacuated, ok := n.options.Adapter.Evacuation(record); ok {
			n.zones.set(zone, evacuated)
			continue
		}
		if model, version, ok := n.options.Adapter.Version(record); ok {
			n.logger.Info("version named", zap.String("model", model), zap.Int64("version", version))
			n.coordinator.ObserveVersion(model, version)
			continue
		}
		table, err := n.options.Adapter.Table(record)
		if err != nil {
			n.logger.Error("configuration void", zap.Int64("offset", record.Offset), zap.Error(err))
			continue
		}
		n.adopt(table)
	}
}

// adopt puts a configuration in force unless a newer one is.
func (n *Node) adopt(table *routetable.Table) {
	if table == nil {
		return
	}
	current := n.table.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	n.table.Store(table)
	n.logger.Info("configuration in force", zap.Int64("configuration", table.Version), zap.Int("routes", len(table.Routes)))
	n.coordinator.ObserveTable(table)
	n.coordinator.ObserveServers()
}
