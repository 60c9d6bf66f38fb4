package serverlist

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// relayRecord is what the coordinator tells the other nodes of the list: entries
// without their weight versions, which only the coordinator needs.
type relayRecord struct {
	// Epoch is that of the coordinator's lease.
	Epoch int64
	// Full says that Put holds all servers, else it holds those that changed.
	Full    bool
	Put     []relayEntry
	Removed []string
	// Next is the offset in the topic of servers up to which the coordinator had read.
	Next int64
}

type relayEntry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Digest                     uint64
}

func entryOf(server *directory.Server) relayEntry {
	return relayEntry{
		ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone,
		Slots: server.Slots, Draining: server.Draining, Digest: server.Digest,
	}
}

func (e relayEntry) server() *directory.Server {
	return &directory.Server{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Slots: e.Slots, Draining: e.Draining, Digest: e.Digest,
	}
}

func encodeRelay(record *relayRecord) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(record); err != nil {
		return nil, fmt.Errorf("encode a relay of the list: %w", err)
	}
	return buffer.Bytes(), nil
}

func decodeRelay(payload []byte) (*relayRecord, error) {
	record := &relayRecord{}
	if err := gob.NewDecoder(bytes.NewReader(payload)).Decode(record); err != nil {
		return nil, fmt.Errorf("decode a relay of the list: %w", err)
	}
	return record, nil
}

// The timing of relays.
const (
	// relayInterval is the longest time between two records of the coordinator.
	relayInterval = 400 * time.Millisecond
	// fullInterval is the time between two records with all servers.
	fullInterval = 10 * time.Second
)

// publisher decides what the coordinator tells of the list. It does no I/O.
type publisher struct {
	epoch int64
	// told holds the servers that were told; nil before the first record.
	told   map[string]*directory.Server
	toldAt time.Time
	fullAt time.Time
}

// next returns the record to append now, or nil.
func (p *publisher) next(now time.Time, snapshot *directory.Snapshot, read int64) *relayRecord {
	record := &relayRecord{Epoch: p.epoch, Next: read, Full: p.told == nil || now.Sub(p.fullAt) >= fullInterval}
	current := make(map[string]*directory.Server, snapshot.Count())
	snapshot.All(func(server *directory.Server) {
		current[server.ID] = server
		before := p.told[server.ID]
		if record.Full || before == nil || before != server && !directory.SameIgnoringVersions(before, server) {
			record.Put = append(record.Put, entryOf(server))
		}
	})
	for _, id := range slices.Sorted(maps.Keys(p.told)) {
		if current[id] == nil {
			record.Removed = append(record.Removed, id)
		}
	}
	if !record.Full && len(record.Put) == 0 && len(record.Removed) == 0 && now.Sub(p.toldAt) < relayInterval {
		return nil
	}
	p.told, p.toldAt = current, now
	if record.Full {
		p.fullAt = now
	}
	return record
}

// forget makes the next record a full one, since the last may not stand in the log.
func (p *publisher) forget() { p.told = nil }

// receiver folds relay records. It does no I/O.
type receiver struct {
	epoch int64
	// servers is nil until a full record came.
	servers map[string]*directory.Server
	next    int64
	freshAt time.Time
}

// handle takes a record that was read at now and returns the changes it makes.
// Records of coordinators that were succeeded, and those before the first full one,
// are void.
func (r *receiver) handle(now time.Time, record *relayRecord) (changes []directory.Change, full bool) {
	if record.Epoch < r.epoch || !record.Full && (r.servers == nil || record.Epoch != r.epoch) {
		return nil, false
	}
	r.epoch, r.next, r.freshAt = record.Epoch, record.Next, now
	if record.Full {
		r.servers = make(map[string]*directory.Server, len(record.Put))
	}
	for _, entry := range record.Put {
		server := entry.server()
		r.servers[entry.ID] = server
		changes = append(changes, directory.Change{ID: entry.ID, Server: server})
	}
	for _, id := range record.Removed {
		delete(r.servers, id)
		changes = append(changes, directory.Change{ID: id})
	}
	return changes, record.Full
}

// fresh says whether the relay is young enough to go by.
func (r *receiver) fresh(now time.Time) bool {
	return r.servers != nil && now.Sub(r.freshAt) < relayStale
}

// relayStale is the age of the last record beyond which a node reads the list itself.
// Together with the time of a first read it stays below the time in which a server
// that leaves must get no more requests.
const relayStale = time.Second

// list returns all servers, ordered by id.
func (r *receiver) list() []directory.Server {
	servers := make([]directory.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		servers = append(servers, *r.servers[id])
	}
	return servers
}
