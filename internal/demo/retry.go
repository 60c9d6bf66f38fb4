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

// pollInterval is the pause between attempts of retry.
const pollInterval = 50 * time.Millisecond

// retry repeats an attempt until it succeeds, fails with a final error, or the
// context ends. It returns the last error that was not caused by the end of the
// context.
func retry(ctx context.Context, operation string, attempt func() error) error {
	var last error
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if ctx.Err() != nil || client.IsPermanent(err) {
			return eris.Wrap(last, operation)
		}
		traffic.Sleep(ctx, pollInterval)
	}
}

// awaitReady waits until every node reports ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for i, node := range d.nodeClients() {
		err := retry(ctx, "wait for "+string(d.nodes[i].Self().ID), func() error {
			response, err := node.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: "/readyz"})
			if err == nil && response.Status != http.StatusOK {
				err = eris.Errorf("readyz has status %d: %s", response.Status, response.Body)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitLoads waits until the engine of each load reports that it has loaded the
// version.
func (d *deployment) awaitLoads(ctx context.Context, loads []record.LoadVersion) error {
	for _, load := range loads {
		engine := client.New(client.Options{Node: d.engines[load.Engine]})
		err := retry(ctx, "wait for a load at "+string(load.Engine), func() error { return checkLoaded(ctx, engine, load.Version) })
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLoaded returns an error if the engine reports an older version.
func checkLoaded(ctx context.Context, engine *client.Client, version cluster.Version) error {
	response, err := engine.CallDirect(ctx, client.Call{Method: http.MethodGet, Path: backend.PathLoad})
	if err != nil {
		return err
	}
	var report backend.LoadReport
	if err := json.Unmarshal(response.Body, &report); err != nil {
		return err
	}
	if report.Version < version {
		return eris.Errorf("version %d is loaded, not %d (%s)", report.Version, version, report.LoadError)
	}
	return nil
}
