package backend

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
)

// Report asks an engine or a service server for its report.
func (c *EngineClient) Report(ctx context.Context, poll machine.PollBackend) machine.BackendReport {
	var load LoadReport
	if err := c.getJSON(ctx, poll.Address, PathLoad, &load); err != nil {
		failed := eris.Wrapf(err, "ask %s at %s for its load", poll.Backend, poll.Address)
		return machine.BackendReport{Backend: poll.Backend, Err: failed.Error()}
	}
	report := machine.BackendReport{
		Backend:         poll.Backend,
		Leaving:         load.Leaving,
		Running:         load.Running,
		Waiting:         load.Waiting,
		Slots:           load.Slots,
		KVTokens:        load.KVTokens,
		KVCapacity:      load.KVCapacity,
		Model:           load.Model,
		Version:         load.Version,
		Loading:         load.Loading,
		LoadError:       load.LoadError,
		LastFence:       load.LastFence,
		TokensPerSecond: load.TokensPerSecond,
	}
	if poll.Kind == cluster.KindEngine {
		report.Groups = c.cachedGroups(ctx, poll)
	}
	return report
}

// cachedGroups folds the engine's cache events. They are a hint only, so a
// failure leaves what was known before.
func (c *EngineClient) cachedGroups(ctx context.Context, poll machine.PollBackend) []string {
	view := c.caches.of(poll.Backend)
	view.mu.Lock()
	defer view.mu.Unlock()
	var events CacheEvents
	path := PathCacheEvents + "?from=" + strconv.FormatUint(view.next, 10)
	if err := c.getJSON(ctx, poll.Address, path, &events); err == nil {
		view.fold(events)
	}
	return slices.Sorted(slices.Values(view.groups))
}

// cacheViewLimit bounds the groups that are remembered of one engine. Evictions
// are lost in the gaps of the feed, so that old groups have to go unasked.
const cacheViewLimit = 256

// cacheViews holds what is known of the engines' prefix caches.
type cacheViews struct {
	mu    sync.Mutex
	views map[cluster.BackendID]*cacheView
}

func (v *cacheViews) of(engine cluster.BackendID) *cacheView {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.views == nil {
		v.views = make(map[cluster.BackendID]*cacheView)
	}
	view, ok := v.views[engine]
	if !ok {
		view = &cacheView{}
		v.views[engine] = view
	}
	return view
}

// cacheView is the fold of one engine's cache events.
type cacheView struct {
	mu   sync.Mutex
	next uint64
	// groups is ordered by the last event, oldest first.
	groups []string
}

func (v *cacheView) fold(events CacheEvents) {
	if events.Next < v.next {
		// The engine counts from the start again: it has lost its cache. What
		// came since is asked for the next time.
		v.groups = nil
		v.next = 0
		return
	}
	v.next = events.Next
	for _, event := range events.Events {
		v.forget(event.Group)
		if event.Kind == CacheStored {
			v.groups = append(v.groups, event.Group)
		}
	}
	if excess := len(v.groups) - cacheViewLimit; excess > 0 {
		v.groups = slices.Delete(v.groups, 0, excess)
	}
}

func (v *cacheView) forget(group string) {
	v.groups = slices.DeleteFunc(v.groups, func(g string) bool { return g == group })
}
