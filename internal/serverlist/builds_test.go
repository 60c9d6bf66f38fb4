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

// Guards against nodes sending requests to a server that is gone, in a fleet of more than 200 servers whose
// nodes are of two builds, while the coordinator is of a build that relays the list in another format. This
// was reproduced by this test only; the soak test has no such fleet.
//
// Earlier builds relayed the list in the same partition. Their full records, one each 10 s, are marked by a
// field that current builds do not have: current builds took such records for changes and kept every server
// that they left out. In turn current builds relay only the servers of shared services, which earlier
// builds took for the removal of the others.
//
// The test relays like an earlier build, which reports the end of a server by leaving it out.

// earlierRecord and earlierEntry are the records of earlier builds.
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

// earlierPartition is where such builds relay the list.
var earlierPartition = store.Partition{Topic: store.TopicServerRelay, Number: 0}

// relayAsEarlierBuild relays the list as a coordinator of an earlier build until the fleet ends: full
// records only, each of which has the store drop the ones before.
func (f *simulatedFleet) relayAsEarlierBuild() {
	log := f.shared.Node(f.size.nodes)
	for ; f.ctx.Err() == nil; time.Sleep(earlierInterval) {
		records, end, err := log.Newest(f.ctx, store.TopicServers)
		if err != nil {
			continue
		}
		full := earlierRecord{Author: "earlier", Full: true, Next: end}
		for _, record := range records {
			server, err := decodeFleet(record)
			if err != nil {
				f.t.Error(err)
			}
			full.Put = append(full.Put, earlierEntry{
				ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone, Slots: server.Slots,
				Draining: server.Draining, Digest: digestFleet(record.Value),
			})
		}
		offset, err := log.Append(f.ctx, earlierPartition, [][]byte{encodeEarlier(f.t, full)})
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
				f := &simulatedFleet{t: t, size: mixedFleet, shared: storetest.NewShared(fleetLimits), ctx: ctx, states: make([]string, mixedFleet.servers)}
				f.leader.Store(int64(leader))
				f.established = leader < 0
				for number := range f.states {
					f.states[number] = "ready"
					f.writeEntry(number)
				}
				f.running.Go(f.writeHeartbeats)
				f.running.Go(f.relayAsEarlierBuild)
				time.Sleep(2 * earlierInterval)
				for number := range f.size.nodes {
					f.start(number)
				}
				f.awaitAll("start of all", startBound)
				for number := 0; number < 5*sharedEvery; number += sharedEvery {
					f.setState(number, "")
					f.awaitAll(fmt.Sprint("server ", number, " is gone"), leaveBound)
					time.Sleep(heartbeat)
				}
				cancel()
				f.running.Wait()
			})
		})
	}
}
