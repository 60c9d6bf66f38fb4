package follow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Source is where a follower reads next.
type Source int

// The sources.
const (
	// SourceStore: the store, which may hold the read until there are new records.
	SourceStore Source = iota
	// SourceStoreShortWait: the store with a short wait, for a node that reads on behalf of others, which
	// need to know how old its state is.
	SourceStoreShortWait
	// SourceStoreNoWait: the store, which is known to have new records.
	SourceStoreNoWait
	// SourceStoreProbe: the store, although it may not answer. If it does not answer soon, other nodes read
	// on behalf of this one.
	SourceStoreProbe
	// SourcePeers: other nodes, which already have the new records.
	SourcePeers
	// SourceRelay: other nodes read the store on behalf of this one, which does not read it for now.
	SourceRelay
)

// wait returns how long the store may hold a read of a follower whose full wait is given.
func (s Source) wait(full time.Duration) time.Duration {
	switch s {
	case SourceStoreNoWait, SourceStoreProbe:
		return 0
	case SourceStoreShortWait:
		return min(full, shortWait)
	}
	return full
}

// shortWait is how long the store may hold a read by a node that reads on behalf of others.
const shortWait = 100 * time.Millisecond

// SourceSelector selects where a follower reads next. If one node announces a topic's end to all others, they
// need not each read it from the store.
type SourceSelector interface {
	// Await waits until there may be records from an offset on, -1 if nothing is known, and returns the source.
	Await(ctx context.Context, from int64) Source
	// Note receives the outcome of each read, except for SourceRelay.
	Note(source Source, err error)
}

// storeOnly always selects the store.
type storeOnly struct{}

func (storeOnly) Await(context.Context, int64) Source { return SourceStore }
func (storeOnly) Note(Source, error)                  {}

var errStoreSkipped = eris.New("store is not read directly for now")
