// Package traffic implements the trainers and callers of the demo and the process
// tests, with independent counts of what they sent and received. No count is
// taken from a node.
package traffic

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"dalehook/internal/client"
)

// refreshInterval is the pause between two rounds of readiness checks.
const refreshInterval = 50 * time.Millisecond

// NodeBalancer distributes calls over the nodes that report ready, as a client's
// load balancer does. Its view can be stale by up to refreshInterval.
type NodeBalancer struct {
	nodes []*client.Client
	ready atomic.Pointer[[]*client.Client]
}

// NewNodeBalancer returns a balancer for nodes with the given HTTP addresses. All
// nodes are assumed ready until Run has checked them.
func NewNodeBalancer(addresses []string) *NodeBalancer {
	b := &NodeBalancer{}
	transport := client.NewHTTPClient()
	for _, address := range addresses {
		b.nodes = append(b.nodes, client.New(client.Options{Node: address, HTTP: transport}))
	}
	b.ready.Store(&b.nodes)
	return b
}

// Run checks the nodes' readiness until the context ends. If no node is ready, the
// last non-empty list stays in use.
func (b *NodeBalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		readyNodes := slices.Clone(b.nodes)
		readyNodes = slices.DeleteFunc(readyNodes, func(node *client.Client) bool { return !isReady(ctx, node) })
		if len(readyNodes) > 0 {
			b.ready.Store(&readyNodes)
		}
		Sleep(ctx, refreshInterval)
	}
}

// Pick returns one of the nodes that were ready at the last check. Consecutive
// indexes select the nodes round-robin.
func (b *NodeBalancer) Pick(index int) *client.Client {
	ready := *b.ready.Load()
	return ready[index%len(ready)]
}

func isReady(ctx context.Context, node *client.Client) bool {
	response, err := node.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
	return err == nil && response.Status == http.StatusOK
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
