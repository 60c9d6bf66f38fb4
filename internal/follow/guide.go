package follow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Way is where a follower reads next.
type Way int

// The ways.
const (
	// WayStore: the store, which may hold the read until there is news.
	WayStore Way = iota
	// WayStoreBriefly: the same for a node that reads for others, which are to know how young its knowledge is.
	WayStoreBriefly
	// WayStoreNow: the store, which is known to have news.
	WayStoreNow
	// WayStoreTry: the store, though it may not answer; other nodes read for this one if it does not soon.
	WayStoreTry
	// WayFetch: other nodes, which have the news already.
	WayFetch
	// WayOthers: other nodes read the store for this one, which leaves it alone for now.
	WayOthers
)

// wait returns how long the store may hold a read, which it may for a follower's own wait.
func (w Way) wait(own time.Duration) time.Duration {
	switch w {
	case WayStoreNow, WayStoreTry:
		return 0
	case WayStoreBriefly:
		return min(own, briefWait)
	}
	return own
}

// briefWait is how long the store may hold a read of a node that reads for others.
const briefWait = 100 * time.Millisecond

// Guide says where a follower reads next: where some node tells all others how far a topic goes, they need
// not each ask the store for it.
type Guide interface {
	// Await waits until there may be something to read from an offset on, -1 for nothing known, and returns where.
	Await(ctx context.Context, from int64) Way
	// Note is told what came of a read, but for WayOthers.
	Note(way Way, err error)
}

// storeAlone has all reads go to the store.
type storeAlone struct{}

func (storeAlone) Await(context.Context, int64) Way { return WayStore }
func (storeAlone) Note(Way, error)                  {}

var errStoreLeft = eris.New("the store is left alone for now")
