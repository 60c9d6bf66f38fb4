// Package traffic holds trainers and callers as the demo and the process test
// need them, and the books in which they count what they truly sent and
// received. No node is asked for a figure.
package traffic

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"dalehook/internal/client"
)

// refreshEvery is the time between two looks at the nodes' readiness.
const refreshEvery = 50 * time.Millisecond

// Directory lists the nodes that say that they take calls, as a caller's load
// balancer does. It lags by up to refreshEvery.
type Directory struct {
	nodes []*client.Client
	ready atomic.Pointer[[]*client.Client]
}

// NewDirectory returns a directory in which each node counts as ready until Run
// has asked it. It takes HTTP addresses.
func NewDirectory(addresses []string) *Directory {
	d := &Directory{}
	transport := client.NewHTTPClient()
	for _, address := range addresses {
		d.nodes = append(d.nodes, client.New(client.Options{Node: address, HTTP: transport}))
	}
	d.ready.Store(&d.nodes)
	return d
}

// Run asks the nodes until the context ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ready := slices.Clone(d.nodes)
		ready = slices.DeleteFunc(ready, func(node *client.Client) bool { return !isReady(ctx, node) })
		if len(ready) > 0 {
			d.ready.Store(&ready)
		}
		Pause(ctx, refreshEvery)
	}
}

// Pick returns one of the nodes that were ready at the last look; turn deals
// them out one after the other.
func (d *Directory) Pick(turn int) *client.Client {
	ready := *d.ready.Load()
	return ready[turn%len(ready)]
}

func isReady(ctx context.Context, node *client.Client) bool {
	answer, err := node.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
	return err == nil && answer.Status == http.StatusOK
}

// Pause waits, or less when the context ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
