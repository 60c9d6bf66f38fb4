package demo

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/daemon"
	"dalehook/internal/platform"
	"dalehook/internal/settings"
	"dalehook/internal/standin"
)

// freePortAddress is a loopback address at which the system picks a free port.
const freePortAddress = "127.0.0.1:0"

// deployment holds the stand-ins and nodes of the demo. They run in one process
// and communicate over sockets.
type deployment struct {
	options     Options
	platformURL string
	platform    *platform.Client
	// engines holds the engines' addresses.
	engines   map[cluster.BackendID]string
	services  []string
	nodes     []*daemon.Daemon
	nodeTasks *pool.ErrorPool
	// closers holds the functions that close the stand-ins. They are called in
	// reverse order.
	closers []func()
}

// newDeployment starts the stand-ins and the nodes.
func newDeployment(ctx context.Context, options Options) (*deployment, error) {
	d := &deployment{
		options:   options,
		engines:   map[cluster.BackendID]string{},
		nodeTasks: pool.New().WithErrors(),
	}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	for i := range d.options.Engines {
		if err := d.startEngine(i); err != nil {
			return err
		}
	}
	for i := range d.options.Servers {
		if err := d.startService(i); err != nil {
			return err
		}
	}
	for i := range d.options.Nodes {
		if err := d.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startPlatform() error {
	server, err := d.listen()
	if err != nil {
		return err
	}
	platformServer := standin.NewPlatform(standin.PlatformOptions{
		ListLag:      d.options.ListLag,
		WeightsRate:  d.options.WeightsRate,
		WeightsBurst: d.options.WeightsBurst,
	})
	d.closers = append(d.closers, platformServer.Close)
	server.Serve(platformServer.Handler())
	d.platformURL = server.URL()
	d.platform = platform.NewClient(platform.Options{LogURL: d.platformURL})
	return nil
}

func (d *deployment) startEngine(number int) error {
	server, err := d.listen()
	if err != nil {
		return err
	}
	machine := d.machine(server, "engine", enginePool, number)
	engine := standin.NewEngine(standin.EngineOptions{
		Machine:     machine,
		PlatformURL: d.platformURL,
		WeightsURL:  d.platformURL,
		Slots:       d.options.EngineSlots,
		TokenTime:   d.options.TokenTime,
		SwapTime:    d.options.SwapTime,
	})
	d.closers = append(d.closers, engine.Close)
	server.Serve(engine.Handler())
	d.engines[machine.ID] = server.URL()
	return nil
}

func (d *deployment) startService(number int) error {
	server, err := d.listen()
	if err != nil {
		return err
	}
	service := standin.NewService(standin.ServiceOptions{
		Machine:     d.machine(server, "bridge", serviceName, number),
		PlatformURL: d.platformURL,
		ServiceTime: d.options.ServiceTime,
	})
	d.closers = append(d.closers, service.Close)
	server.Serve(service.Handler())
	d.services = append(d.services, server.URL())
	return nil
}

// listen opens a stand-in's listener.
func (d *deployment) listen() (*standin.Server, error) {
	server, err := standin.Listen(freePortAddress)
	if err != nil {
		return nil, eris.Wrap(err, "start a stand-in")
	}
	d.closers = append(d.closers, server.Close)
	return server, nil
}

// machine returns a stand-in's entry for the machine list.
func (d *deployment) machine(server *standin.Server, kind, pool string, number int) cluster.Machine {
	return cluster.Machine{
		ID:      cluster.BackendID(fmt.Sprintf("%s-%d", kind, number+1)),
		Pool:    pool,
		Zone:    d.zone(number),
		Region:  region,
		Address: server.Address(),
	}
}

// zone assigns zones round-robin.
func (d *deployment) zone(number int) cluster.ZoneName {
	return d.options.Zones[number%len(d.options.Zones)]
}

func (d *deployment) startNode(ctx context.Context, number int) error {
	nodeSettings := settings.Default()
	nodeSettings.Node = settings.Identity{
		ID:     cluster.NodeID(fmt.Sprintf("node-%d", number+1)),
		Zone:   d.zone(number),
		Region: region,
	}
	nodeSettings.Zones = d.options.Zones
	nodeSettings.Platform = settings.Platform{
		Log:      settings.URL(d.platformURL),
		Weights:  settings.URL(d.platformURL),
		Machines: settings.URL(d.platformURL),
	}
	nodeSettings.Capacity = d.options.Capacity
	for _, peer := range d.nodes {
		nodeSettings.Peers = append(nodeSettings.Peers, peer.Self().PeerAddress)
	}
	node, err := daemon.New(daemon.Options{Settings: nodeSettings, Logger: d.options.Logger})
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, node)
	d.nodeTasks.Go(func() error { return node.Run(ctx) })
	return nil
}

// nodeAddresses returns the HTTP address of each node.
func (d *deployment) nodeAddresses() []string {
	addresses := make([]string, len(d.nodes))
	for i, node := range d.nodes {
		addresses[i] = node.Self().ClientAddress
	}
	return addresses
}

// nodeClients returns a client for each node.
func (d *deployment) nodeClients() []*client.Client { return newClients(d.nodeAddresses()) }

// serverClients returns a client for each service server.
func (d *deployment) serverClients() []*client.Client { return newClients(d.services) }

func newClients(addresses []string) []*client.Client {
	clients := make([]*client.Client, len(addresses))
	for i, address := range addresses {
		clients[i] = client.New(client.Options{Node: address})
	}
	return clients
}

// close stops the nodes without draining and then closes the stand-ins.
func (d *deployment) close() {
	for _, node := range d.nodes {
		node.Stop()
	}
	_ = d.nodeTasks.Wait()
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}
