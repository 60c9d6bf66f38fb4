package serverlist

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// relayRecord is what a node that reads the heartbeats tells the others of the list:
// entries without their weight versions, which only the coordinator needs. A record
// that is not full says what changed since the record before it in the log.
type relayRecord struct {
	// Author names the process that wrote the record.
	Author string
	// Full says that Put holds all servers, else it holds those that changed.
	Full    bool
	Put     []relayEntry
	Removed []string
	// Next is the offset in the topic of servers up to which the author had read.
	Next int64
}

type relayEntry struct {
	ID string
	// Born is 0 in entries of nodes that do not tell it.
	Born                   int64
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	// Warming is how much longer the server is slow since it started, when the record was made.
	Warming time.Duration
	Digest  uint64
}

func entryOf(now time.Time, server *directory.Server) relayEntry {
	return relayEntry{
		Warming: max(server.WarmAt.Sub(now), 0),
		ID:      server.ID, Born: server.Born, Service: server.Service, Address: server.Address, Zone: server.Zone,
		Slots: server.Slots, Draining: server.Draining, Digest: server.Digest,
	}
}

// server returns the entry of a record that is read at now.
func (e relayEntry) server(now time.Time) *directory.Server {
	server := &directory.Server{
		ID: e.ID, Born: e.Born, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Slots: e.Slots, Draining: e.Draining, Digest: e.Digest,
	}
	if e.Warming > 0 {
		server.WarmAt = now.Add(e.Warming)
	}
	return server
}

// encodeRelay encodes a record and compresses it: full records have thousands of
// entries alike, and all nodes that start at once read one.
func encodeRelay(record *relayRecord) ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress a relay of the list: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(record); err != nil {
		return nil, fmt.Errorf("encode a relay of the list: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress a relay of the list: %w", err)
	}
	return buffer.Bytes(), nil
}

func decodeRelay(payload []byte) (*relayRecord, error) {
	record := &relayRecord{}
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(payload))).Decode(record); err != nil {
		return nil, fmt.Errorf("decode a relay of the list: %w", err)
	}
	return record, nil
}

// The timing of relays.
const (
	// relayInterval is the longest time between two records.
	relayInterval = 400 * time.Millisecond
	// fullInterval is the time between two records with all servers.
	fullInterval = 10 * time.Second
	// relayStale is the age of the last record beyond which nodes begin to read the
	// heartbeats themselves, within relaySpread, a few of them early and most of them
	// late: the first relays for the rest. A server that leaves must get no more
	// requests after two seconds.
	relayStale  = time.Second
	relaySpread = 900 * time.Millisecond
	// relayHaste makes few nodes early: a share x of all begins within x to this power
	// of the spread. Of 300 nodes one begins within 0.43 of it, and ten within 0.6.
	relayHaste = 0.15
)

// relay folds the records of the relay and makes new ones. It does no I/O.
type relay struct {
	self string
	// servers is nil until a full record came.
	servers map[string]*directory.Server
	// end is the offset after the last record, next that up to which its author had
	// read the heartbeats.
	end, next int64
	// toldAt is when the last record came, toldByOthersAt the last one of another
	// process, fullAt the last full one.
	toldAt, toldByOthersAt, fullAt time.Time
}

func newRelay(self string) relay { return relay{self: self} }

// handle takes the record at an offset and returns the changes that it makes. Records
// before the first full one are void. Old says that the record may have stood in the
// log for long, so that it says nothing of its author's being there.
func (r *relay) handle(now time.Time, offset int64, record *relayRecord, old bool) []directory.Change {
	if offset < r.end {
		return nil
	}
	r.end = offset + 1
	if !record.Full && r.servers == nil {
		return nil
	}
	r.next = record.Next
	if !old {
		r.toldAt = now
	}
	if !old && record.Author != r.self {
		r.toldByOthersAt = now
	}
	if record.Full {
		r.fullAt = now
	}
	return r.apply(now, record)
}

func (r *relay) apply(now time.Time, record *relayRecord) []directory.Change {
	var changes []directory.Change
	before := r.servers
	if record.Full {
		r.servers = make(map[string]*directory.Server, len(record.Put))
	}
	for _, entry := range record.Put {
		server := entry.server(now)
		r.servers[entry.ID] = server
		changes = append(changes, directory.Change{ID: entry.ID, Server: server})
	}
	for _, id := range record.Removed {
		delete(r.servers, id)
		changes = append(changes, directory.Change{ID: id})
	}
	if record.Full {
		for _, id := range slices.Sorted(maps.Keys(before)) {
			if r.servers[id] == nil {
				changes = append(changes, directory.Change{ID: id})
			}
		}
	}
	return changes
}

// tell returns the record to append at the relay's end, or nil. The list was read up
// to an offset.
func (r *relay) tell(now time.Time, snapshot *directory.Snapshot, read int64) *relayRecord {
	if read < r.next {
		return nil // others know more
	}
	record := &relayRecord{Author: r.self, Next: read, Full: r.servers == nil || now.Sub(r.fullAt) >= fullInterval}
	current := make(map[string]bool, snapshot.Count())
	snapshot.All(func(server *directory.Server) {
		current[server.ID] = true
		before := r.servers[server.ID]
		if record.Full || before == nil || !directory.SameIgnoringVersions(before, server) || directory.TurnedSlow(before, server) {
			record.Put = append(record.Put, entryOf(now, server))
		}
	})
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if !record.Full && !current[id] {
			record.Removed = append(record.Removed, id)
		}
	}
	if !record.Full && len(record.Put) == 0 && len(record.Removed) == 0 && now.Sub(r.toldAt) < relayInterval {
		return nil
	}
	return record
}

// list returns all servers, ordered by id.
func (r *relay) list() []directory.Server {
	servers := make([]directory.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		servers = append(servers, *r.servers[id])
	}
	return servers
}
