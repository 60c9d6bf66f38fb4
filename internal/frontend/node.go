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
	"dalehook/internal/bytebudget"
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
	"dalehook/internal/logs"
	"dalehook/internal/nodecall"
	"dalehook/internal/nodestatus"
	"dalehook/internal/roundtrip"
	"dalehook/internal/routetable"
	"dalehook/internal/scaling"
	"dalehook/internal/serverlist"
	"dalehook/internal/store"
	"dalehook/internal/storeproxy"
	"dalehook/internal/stricthttp"
	"dalehook/internal/usage"
)

// Adapter connects a node to the platform: callers, the store, back ends and the provider.
type Adapter interface {
	// Requests returns the handler of the address that serves callers.
	Requests(node *Node) http.Handler
	// Readiness returns the handler of the readiness address.
	Readiness(node *Node) http.Handler
	Log() store.Log
	Backend() gateway.Backend
	// Probe checks whether a server's address accepts connections.
	Probe(ctx context.Context, address string) crashwatch.ProbeResult
	Engines() coordinator.Engines
	// Provider is called only if the settings have a provider.
	Provider() Provider
	// Table decodes the record of the operator topic that holds the configuration. It returns nil
	// for other records.
	Table(record store.Record) (*routetable.Table, error)
	// Version decodes the record with a model's newest weight version; ok is false for other records.
	Version(record store.Record) (model string, version int64, ok bool, err error)
	// Evacuation decodes the record that evacuates a zone or cancels the evacuation.
	Evacuation(record store.Record) (zone string, evacuated, ok bool)
	// Server decodes a record of the topic of servers.
	Server(record store.Record) (directory.Server, error)
	// ServerDigest returns a digest of a server's record without the parts that change with every
	// heartbeat.
	ServerDigest(value []byte) uint64
	// LimitMemory sets the budget that the held parts of servers' responses count against; nil if they are not bounded.
	LimitMemory(budget *bytebudget.Budget)
	// ObserveStore sets the function that is called after each call to the store, with the call's
	// name, the status of the response, 0 for none, and its duration.
	ObserveStore(observe func(call string, status int, duration time.Duration))
	// ObserveForeignResponses sets the function that is called for each response of a server that came in
	// the place of another one.
	ObserveForeignResponses(observe func(serverID string, foreign *roundtrip.ForeignResponseError))
	// ObserveBrokenResponses sets the function that is called for each broken response of a server, the store or the
	// provider.
	ObserveBrokenResponses(observe stricthttp.Observer)
	// ObserveGoneServers sets the function that is called, before the outcome of the request is returned, when
	// another incarnation answers at the address of a server.
	ObserveGoneServers(observe func(gone directory.Incarnation, address string))
}

// Provider is the external service that receives usage reports and scaling orders from the holder
// of the lease.
type Provider interface {
	usage.Provider
	scaling.Provider
}

// Options configure a Node.
type Options struct {
	Settings *Settings
	Adapter  Adapter
	// DroppedLines returns the number of log lines that were dropped; it may be nil.
	DroppedLines func() int64
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation string
	// TimeOfDay returns the wall clock time; nil means that of package clock.
	TimeOfDay func() time.Time
	Logger    *zap.Logger
}

// Timing and limits of a node.
const (
	// listMinInterval is the minimum time between two reads of the list of servers, which changes
	// with every heartbeat; listPollWait is how long a read polls for changes.
	listMinInterval = 200 * time.Millisecond
	listPollWait    = 500 * time.Millisecond
	// operatorMinInterval and operatorPollWait are the same for the operator topic, which operators
	// and trainers write.
	operatorMinInterval = 30 * time.Millisecond
	operatorPollWait    = time.Second
	// defaultHeaderTimeout, defaultIdleTimeout and defaultMaxHeaderBytes limit callers' connections
	// independently of the configuration, which isn't known yet when the listeners open. Its limits
	// may be lower or higher; those on sizes are checked for each request.
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 1 << 20
	// cleanupInterval is the time between two runs that drop the gateway's state of servers that are no longer
	// listed, and list servers again that were found to be gone long ago.
	cleanupInterval = 5 * time.Second
)

// Node is one process of the service.
type Node struct {
	options Options
	logger  *zap.Logger
	table   atomic.Pointer[routetable.Table]
	metrics *nodeMetrics
	// operatorReadAt is when the store last confirmed the newest configuration.
	operatorReadAt latestTime
	// operatorGuide decides where this node reads the operator topic; operatorCache keeps the
	// topic's records for other nodes.
	operatorGuide *fanout.Guide
	operatorCache *fanout.Cache
	// storeAnsweredAt is when any call of this node to the store last succeeded.
	storeAnsweredAt latestTime
	// configurationAsOf is when this node, or the one that relayed the answer, sent the request to
	// the store whose answer last confirmed the newest configuration.
	configurationAsOf latestTime
	leaving           atomic.Bool
	// departure is set once this node is leaving.
	departure atomic.Pointer[departure]
	leave     chan struct{}
	directory *directory.Directory
	// zones tracks the evacuated zones.
	zones         evacuatedZones
	servers       *serverlist.List
	gateway       *gateway.Gateway
	crashTracker  *crashwatch.Tracker
	startedAt     time.Time
	jobLogs       *joblog.Logs
	jobReadRouter *jobReadRouter
	coordinator   *coordinator.Coordinator
	// leaseYielder decides whether this process yields its lease when another node asks for it.
	leaseYielder election.Yielder
	// peers are the last known coordinators, and the nodes that last asked this one whether it
	// holds the lease.
	peers storeproxy.Peers
	// electionState is this process's state in the election; nil until known.
	electionState atomic.Pointer[election.State]
	// clientMemory bounds the bytes held for callers and of servers' responses; nil if they are not bounded.
	clientMemory *bytebudget.Budget
	// waitingReads is the number of reads of results in progress.
	waitingReads atomic.Int64
	// backlog bounds the open batch jobs.
	backlog *backlog
	// usageSender and usageReporter are nil if usage isn't reported.
	usageSender   *usage.Sender
	usageReporter *usage.Reporter
	// scaling is nil if the node doesn't order servers.
	scaling *scaling.Driver
}

// NewNode wires up a node. Run starts it.
func NewNode(options Options) *Node {
	adapter, logger := options.Adapter, options.Logger
	n := &Node{options: options, logger: logger.Named("node"), leave: make(chan struct{}), directory: directory.NewDirectory(), startedAt: clock.Now()}
	n.operatorGuide, n.operatorCache = n.newOperatorGuide(), fanout.NewCache()
	n.metrics = newNodeMetrics(n, options.DroppedLines)
	n.clientMemory = options.Settings.clientMemory()
	n.backlog = &backlog{limit: int64(options.Settings.backlogMB()) * megabyte, open: n.openMemory}
	n.crashTracker = n.newCrashTracker(logger)
	n.zones = evacuatedZones{directory: n.directory, onChange: n.notifyServersChanged, logger: n.logger}
	n.gateway = gateway.NewGateway(gateway.Options{
		Backend: adapter.Backend(), Directory: n.directory, Node: options.Settings.Node, Zone: options.Settings.Zone, CrashTracker: n.crashTracker,
		Overload: options.Settings.overloadOptions(),
		Logger:   logger.Named("gateway"), Observe: n.metrics.observeRequest, OnMayHaveStarted: n.countStarted,
	})
	adapter.LimitMemory(n.clientMemory)
	adapter.ObserveStore(n.observeStore)
	adapter.ObserveForeignResponses(n.observeForeignResponse)
	adapter.ObserveBrokenResponses(n.observeBrokenResponse)
	adapter.ObserveGoneServers(n.handleGoneServer)
	n.jobLogs = joblog.NewLogs(joblog.Options{
		Log: adapter.Log(), Partitions: options.Settings.Store.Partitions, Logger: logger.Named("joblog"),
	})
	n.jobReadRouter = newJobReadRouter(n.jobLogs, n.metrics.observeJobRead, n.metrics.jobReadsMisread.Inc, logger.Named("jobs"))
	n.servers = serverlist.New(serverlist.Options{
		Log: adapter.Log(), Directory: n.directory, Logger: logger.Named("servers"), MinReadInterval: listMinInterval, ReadWait: listPollWait,
		Decode: adapter.Server, Digest: adapter.ServerDigest,
		Self: n.processID(), Leading: func() bool { return n.coordinator.State().Leading },
		ObserveInvalid: n.metrics.invalidRecords.WithLabelValues(recordServer).Inc,
		Established:    n.coordinatorEstablished, OnChange: n.notifyServersChanged, SharedServices: n.sharedServices, LeaveBound: time.Duration(options.Settings.LeaveBoundMs) * time.Millisecond,
	})
	n.coordinator = coordinator.New(coordinator.Options{
		Engines: adapter.Engines(), CrashTracker: n.crashTracker, Rewards: &rewardCaller{gateway: n.gateway, logger: logger.Named("reward")}, Log: adapter.Log(), JobLogs: n.jobLogs, Directory: n.directory,
		OrderPause:    time.Duration(options.Settings.OrderPauseMs) * time.Millisecond,
		TenantWeights: options.Settings.Scheduling.TenantWeights,
		Fenced:        options.Settings.FencingEnforced,
		Logger:        logger.Named("coordinator"),
		Observer:      n.metrics.items,
	})
	n.usageSender, n.usageReporter = n.newUsage(logger)
	n.scaling = n.newScaling(logger)
	return n
}

// Run serves until the context ends, a listener fails, or the shutdown begun by Leave is complete.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	internal, err := net.Listen("tcp", n.options.Settings.Listen.Internal)
	if err != nil {
		return fmt.Errorf("listen on the internal address: %w", err)
	}
	defer internal.Close()
	var background conc.WaitGroup
	calls := rpc.NewServer()
	if err := errors.Join(liveness.Register(calls, n.processID(), n), jobread.Register(calls, n.jobReadRouter), usage.Register(calls, n.options.Adapter.Log()),
		storeproxy.Register(calls, storeproxy.NewProxy(n.options.Adapter.Log(), &n.peers)), crashwatch.Register(calls, n.crashTracker), nodestatus.Register(calls, n),
		fanout.Register(calls, n.operatorCache)); err != nil {
		return err
	}
	background.Go(func() {
		if err := nodecall.Serve(internal, calls); err != nil {
			n.logger.Error("the internal listener failed", zap.Error(err))
		}
	})
	n.startBackground(ctx, &background)
	failed := make(chan error, len(servers))
	for _, s := range servers {
		background.Go(func() { failed <- s.serve() })
	}
	n.logger.Info("started", zap.String("build", build.Revision()), zap.String("zone", n.options.Settings.Zone),
		zap.String("requests", n.options.Settings.Listen.Requests))
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.leave:
		n.drainAll(servers)
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

// startBackground starts the goroutines that read the store, take part in the election and act on
// the lease.
func (n *Node) startBackground(ctx context.Context, background *conc.WaitGroup) {
	log := n.options.Adapter.Log()
	background.Go(func() { follow.Keyed(ctx, n.operatorFollowOptions(log)) })
	background.Go(func() { clock.Watch(ctx, n.logger) })
	background.Go(func() { n.servers.Run(ctx) })
	background.Go(func() { n.crashTracker.Run(ctx) })
	background.Go(func() { n.jobLogs.Run(ctx) })
	background.Go(func() { n.coordinator.Run(ctx) })
	background.Go(func() {
		election.Run(ctx, election.Options{
			Log: log, Self: n.processID(), Address: n.options.Settings.Listen.Internal, Timing: leaseTiming(n.options.Settings), Probe: n.probeHolder,
			Yielder: &n.leaseYielder,
			Logger:  n.options.Logger.Named("election"), Observe: n.observeLease, Resign: n.leave, Announcement: n.operatorAnnouncement, OpenMemory: n.statedMemory,
		})
	})
	background.Go(func() { n.cleanUp(ctx) })
	background.Go(func() { n.metrics.limits.log(ctx, n.logger) })
	if n.usageSender != nil {
		background.Go(func() { n.usageSender.Run(ctx) })
		background.Go(func() { n.usageReporter.Run(ctx) })
	}
	if n.scaling != nil {
		background.Go(func() { n.scaling.Run(ctx) })
	}
}

// sharedServices returns a predicate for the services to which every node sends requests. Engine
// pools that no route for single requests names are left out, since only the coordinator runs batch
// jobs. It returns nil while no configuration is known.
func (n *Node) sharedServices() func(service string) bool {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	return table.ServesSingleRequests
}

// warmingServers returns the number of listed servers that are still warming up.
func (n *Node) warmingServers(now time.Time) int {
	count := 0
	n.directory.Snapshot().All(func(server *directory.Server) {
		if now.Before(server.WarmAt) {
			count++
		}
	})
	return count
}

// processID returns an identifier of this process that no other process has.
func (n *Node) processID() string { return n.options.Settings.Node + "/" + n.options.Incarnation }

func (n *Node) cleanUp(ctx context.Context) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.gateway.Prune()
			if n.directory.ExpireGone(clock.Now()) {
				n.notifyServersChanged()
			}
		}
	}
}

type boundServer struct {
	address  string
	server   *drain.Server
	listener net.Listener
}

func (s boundServer) serve() error { return s.server.Serve(s.listener) }

func (n *Node) listen(ctx context.Context) ([]boundServer, error) {
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
		listener, err := drain.Listen(ctx, address, n.options.Settings.listenOptions(address))
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		bound = append(bound, boundServer{address: address, listener: listener, server: n.newClientServer(address, handler)})
	}
	return bound, nil
}

// replaceOperatorRecords handles a complete read of the operator topic: the newest record of each
// key. An evacuation that isn't among them was cancelled.
func (n *Node) replaceOperatorRecords(records []store.Record) {
	n.zones.clear()
	n.handleOperatorRecords(records)
}

func (n *Node) handleOperatorRecords(records []store.Record) {
	defer n.zones.apply()
	for _, record := range records {
		if zone, evacuated, ok := n.options.Adapter.Evacuation(record); ok {
			n.zones.set(zone, evacuated)
			continue
		}
		model, version, ok, err := n.options.Adapter.Version(record)
		if err != nil {
			n.noteInvalidRecord(recordVersion, record, err)
			continue
		}
		if ok {
			n.logger.Info("version named", zap.String("model", model), zap.Int64("version", version))
			n.coordinator.HandleVersion(model, version)
			continue
		}
		table, err := n.options.Adapter.Table(record)
		if err != nil {
			n.noteInvalidRecord(recordConfiguration, record, err)
			continue
		}
		n.applyTable(table)
	}
}

// Kinds of records that others write, in metrics.
const (
	recordServer        = "server"
	recordVersion       = "version"
	recordConfiguration = "configuration"
)

// noteInvalidRecord counts and logs a record of the operator topic that is skipped.
func (n *Node) noteInvalidRecord(kind string, record store.Record, err error) {
	n.metrics.invalidRecords.WithLabelValues(kind).Inc()
	n.logger.Error(kind+" not decoded", zap.Int64("offset", record.Offset), logs.QuotedError(err))
}

// applyTable puts a configuration in force unless a newer one is already.
func (n *Node) applyTable(table *routetable.Table) {
	if table == nil {
		return
	}
	current := n.table.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	n.table.Store(table)
	n.logger.Info("configuration in force", zap.Int64("configuration", table.Version), zap.Int("routes", len(table.Routes)))
	n.coordinator.HandleTable(table)
	n.coordinator.HandleServers()
}
