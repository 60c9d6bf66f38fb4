package serverlist

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// In a fleet of more than 200 servers whose nodes are of two builds, nodes go on sending requests to a
// server that is gone, for as long as the coordinator is of a build that tells the list in another format
// (by this test; not seen with real programs, whose soak has no such fleet).
//
// Builds of before and of now told the list in the same partition. A record of before that holds all
// servers, each 10 s, says so by a field that builds of now do not have: they took it for changes, and
// kept whatever it left out. They in turn told only the servers that all nodes use, which builds of
// before took for the removal of the others. A meaning was changed under an old name, as in the reads of
// jobs between builds.
//
// What proves it: a relay of before that tells a server's end by leaving it out.

// earlierRecord and earlierEntry are what builds of before tell.
type earlierRecord struct {
	Author  string
	Full    bool
	Put     []earlierEntry
	Removed []string
	Next    int64
}

type earlierEntry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Digest                     uint64
}

// earlierInterval is the longest time between two records of such a build.
const earlierInterval = 400 * time.Millisecond

// earlierPartition is where such builds tell the list.
var earlierPartition = store.Partition{Topic: store.TopicServerRelay, Number: 0}

// tellEarlier tells the list as a coordinator of an earlier build until the fleet ends: whole records alone,
// each of which has the store forget those before.
func (f *virtualFleet) tellEarlier() {
	log := f.shared.Node(f.size.nodes)
	for ; f.ctx.Err() == nil; time.Sleep(earlierInterval) {
		records, end, err := log.Newest(f.ctx, store.TopicServers)
		if err != nil {
			continue
		}
		told := earlierRecord{Author: "earlier", Full: true, Next: end}
		for _, record := range records {
			server, err := decodeFleet(record)
			if err != nil {
				f.t.Error(err)
			}
			told.Put = append(told.Put, earlierEntry{
				ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone, Slots: server.Slots,
				Draining: server.Draining, Digest: digestFleet(record.Value),
			})
		}
		offset, err := log.Append(f.ctx, earlierPartition, [][]byte{encodeEarlier(f.t, told)})
		if err == nil {
			_ = log.Trim(f.ctx, earlierPartition, offset)
		}
	}
}

func encodeEarlier(t *testing.T, record earlierRecord) []byte {
	t.Helper()
	var encoded bytes.Buffer
	compressor, err := flate.NewWriter(&encoded, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if err := gob.NewEncoder(compressor).Encode(record); err != nil {
		t.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	return encoded.Bytes()
}

// mixedFleet is large enough for its list to be relayed.
var mixedFleet = fleetSize{nodes: 6, servers: 1200}

func TestAFleetOfTwoBuildsForgetsAServerThatIsGone(t *testing.T) {
	for name, leader := range map[string]int{"the earlier build coordinates": -1, "this build coordinates": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := &virtualFleet{t: t, size: mixedFleet, shared: storetest.NewShared(fleetLimits), ctx: ctx, states: make([]string, mixedFleet.servers)}
				f.leader.Store(int64(leader))
				f.established = leader < 0
				for number := range f.states {
					f.states[number] = "ready"
					f.put(number)
				}
				f.running.Go(f.beat)
				f.running.Go(f.tellEarlier)
				time.Sleep(2 * earlierInterval)
				for number := range f.size.nodes {
					f.start(number)
				}
				f.within("start of all", readyWithin)
				for number := 0; number < 5*sharedEvery; number += sharedEvery {
					f.set(number, "")
					f.within(fmt.Sprint("server ", number, " is gone"), leaveWithin)
					time.Sleep(heartbeat)
				}
				cancel()
				f.running.Wait()
			})
		})
	}
}
