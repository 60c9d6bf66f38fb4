package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/backend"
	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/record"
	"dalehook/internal/traffic"
)

// pollPause is the time between two looks at something that is waited for.
const pollPause = 50 * time.Millisecond

// persist tries until it succeeds, a node refuses for good, or the context ends.
// It returns the last error that was not the context's own.
func persist(ctx context.Context, doing string, try func() error) error {
	var last error
	for {
		err := try()
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if ctx.Err() != nil || client.IsFinal(err) {
			return eris.Wrap(last, doing)
		}
		traffic.Sleep(ctx, pollPause)
	}
}

// awaitReady waits until each node takes calls.
func (d *deployment) awaitReady(ctx context.Context) error {
	for i, node := range d.nodeClients() {
		err := persist(ctx, "wait for "+string(d.nodes[i].Self().ID), func() error {
			answer, err := node.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
			if err == nil && answer.Status != http.StatusOK {
				err = eris.Errorf("readyz has status %d: %s", answer.Status, answer.Body)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitLoads waits until each engine of the loads says itself that it has loaded
// the version.
func (d *deployment) awaitLoads(ctx context.Context, loads []record.LoadVersion) error {
	for _, load := range loads {
		engine := client.New(client.Options{Node: d.engines[load.Engine]})
		err := persist(ctx, "wait for a load at "+string(load.Engine), func() error { return hasLoaded(ctx, engine, load.Version) })
		if err != nil {
			return err
		}
	}
	return nil
}

func hasLoaded(ctx context.Context, engine *client.Client, version cluster.Version) error {
	answer, err := engine.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: backend.PathLoad})
	if err != nil {
		return err
	}
	var report backend.LoadReport
	if err := json.Unmarshal(answer.Body, &report); err != nil {
		return err
	}
	if report.Version < version {
		return eris.Errorf("version %d is loaded, not %d (%s)", report.Version, version, report.LoadError)
	}
	return nil
}
