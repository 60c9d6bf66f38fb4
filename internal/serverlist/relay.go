package serverlist

import (
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// The timing of relays.
const (
	// snapshotInterval is the time between two snapshots, which a node that starts waits for at the
	// most where the store has forgotten the last one.
	snapshotInterval = 2 * time.Second
	// deputyFactor is by how much a node that does not coordinate tells more seldom. The next record is
	// not yet overdue then.
	deputyFactor = 1.4
)

// relay folds the records of the relay and makes new ones. It does no I/O.
//
// What changes is told in one partition, which all nodes follow. Snapshots stand in another one, and
// are read by nodes that start alone: what the others read grows with the changes, not with the list.
type relay struct {
	self string
	// interval is the longest time between two records of changes, pause the shortest: each wakes all
	// nodes.
	interval, pause time.Duration
	// servers is nil until a snapshot came, or a record that holds all servers.
	servers map[string]*directory.Server
	// total is the number of servers of all services, of which those that all nodes send requests to
	// are relayed.
	total int
	// end is the offset after the last record of changes, next that up to which its author had
	// read the heartbeats.
	end, next int64
	// least is the offset from which on a snapshot's changes must begin: what was known before is
	// younger than one of earlier changes.
	least int64
	// parts are records of changes that further ones belong to.
	parts []*relayRecord
	// toldAt is when the last changes came, toldByOthersAt the last ones of another process.
	toldAt, toldByOthersAt time.Time
	// snapshotAt is when this process last made a snapshot.
	snapshotAt time.Time
	// comparedWith and comparedAt are the list and the end at which there was nothing to tell.
	comparedWith *directory.Snapshot
	comparedAt   int64
}

func newRelay(self string, interval, pause time.Duration) relay {
	return relay{self: self, interval: interval, pause: pause}
}

// begin has a node that knows no list follow the changes from an offset on.
func (r *relay) begin(end int64) { r.end = max(r.end, end) }

// restart forgets what was told, after the store has dropped changes that were not read.
func (r *relay) restart() { r.servers, r.parts, r.least = nil, nil, r.end }

// base takes a whole snapshot; it returns false for one that is older than what was known. Old is as
// for handle.
func (r *relay) base(now time.Time, parts []*relayRecord, old bool) bool {
	if parts[0].Since < r.least {
		return false
	}
	r.servers = make(map[string]*directory.Server)
	for _, part := range parts {
		for _, entry := range part.Put {
			r.servers[entry.ID] = entry.server(now)
		}
	}
	first := parts[0]
	r.parts = nil
	r.end, r.next, r.total = first.Since, first.Next, first.Total
	if !old && first.Author != r.self {
		r.toldByOthersAt = now
	}
	return true
}

// handle takes the record of changes at an offset and returns what it changes, together with the
// records before that it belongs to. Changes to a list that is not known are void. Old says that the
// record may have stood in the log for long, so that it says nothing of its author's being there.
func (r *relay) handle(now time.Time, offset int64, record *relayRecord, old bool) []directory.Change {
	if offset < r.end {
		return nil
	}
	r.end = offset + 1
	r.parts = append(r.parts, record)
	if record.More {
		return nil
	}
	parts := r.parts
	r.parts = nil
	if r.servers == nil && !parts[0].All {
		return nil
	}
	r.next, r.total = record.Next, record.Total
	if !old {
		r.toldAt = now
	}
	if !old && record.Author != r.self {
		r.toldByOthersAt = now
	}
	return r.apply(now, parts)
}

func (r *relay) apply(now time.Time, parts []*relayRecord) []directory.Change {
	var changes []directory.Change
	before := r.servers
	if parts[0].All {
		r.servers = make(map[string]*directory.Server)
	}
	for _, part := range parts {
		for _, entry := range part.Put {
			server := entry.server(now)
			r.servers[entry.ID] = server
			changes = append(changes, directory.Change{ID: entry.ID, Server: server})
		}
		for _, id := range part.Removed {
			delete(r.servers, id)
			changes = append(changes, directory.Change{ID: id})
		}
	}
	if parts[0].All {
		for _, id := range slices.Sorted(maps.Keys(before)) {
			if r.servers[id] == nil {
				changes = append(changes, directory.Change{ID: id})
			}
		}
	}
	return changes
}

// source is the list that a node relays.
type source struct {
	snapshot *directory.Snapshot
	// shared says whether all nodes send requests to the servers of a service.
	shared func(service string) bool
	// read is the offset up to which the heartbeats were read.
	read int64
	// leading says that the node coordinates.
	leading bool
	// whole says that the list holds all servers, and not only what came since the relay told last.
	whole bool
}

// tell returns the records of changes to append at the relay's end, or none.
func (r *relay) tell(now time.Time, from source) []*relayRecord {
	if from.read < r.next {
		return nil // others know more
	}
	interval, pause := r.interval, r.pause
	if !from.leading {
		// The coordinator goes first, so that whoever relays in its place hears it, and ends.
		interval, pause = time.Duration(deputyFactor*float64(interval)), time.Duration(deputyFactor*float64(pause))
	}
	if r.servers != nil && now.Sub(r.toldAt) < pause {
		return nil
	}
	due := now.Sub(r.toldAt) >= interval
	if !due && r.servers != nil && from.snapshot == r.comparedWith && r.end == r.comparedAt {
		return nil
	}
	put, removed := r.compare(now, from)
	next := from.read
	if len(put) > entriesOfRecord*recordsOfCall {
		// Whoever goes on from what is told now is to read what is told later.
		put, next = put[:entriesOfRecord*recordsOfCall], r.next
	}
	if !due && r.servers != nil && len(put) == 0 && len(removed) == 0 {
		r.comparedWith, r.comparedAt = from.snapshot, r.end
		return nil
	}
	head := relayRecord{Author: r.self, Next: next, Total: r.totalOf(from), All: r.servers == nil, Removed: removed}
	return inParts(head, put)
}

// totalOf returns the number of servers of all services.
func (r *relay) totalOf(from source) int {
	if from.whole {
		return from.snapshot.Count()
	}
	return max(from.snapshot.Count(), r.total)
}

// compare returns what the relay does not tell of a list yet.
func (r *relay) compare(now time.Time, from source) (put []relayEntry, removed []string) {
	current := make(map[string]bool)
	from.snapshot.Services(func(service string, servers []*directory.Server) {
		if !from.shared(service) {
			return
		}
		for _, server := range servers {
			current[server.ID] = true
			before := r.servers[server.ID]
			if before == nil || !directory.EqualIgnoringVersions(before, server) || directory.WarmUpExtended(before, server) {
				put = append(put, entryOf(now, server))
			}
		}
	})
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if !current[id] {
			removed = append(removed, id)
		}
	}
	return put, removed
}

// snapshot returns the records of a snapshot of what was told, or none where the last one is young
// enough.
func (r *relay) snapshot(now time.Time) []*relayRecord {
	if r.servers == nil || now.Sub(r.snapshotAt) < snapshotInterval {
		return nil
	}
	r.snapshotAt = now
	entries := make([]relayEntry, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		entries = append(entries, entryOf(now, r.servers[id]))
	}
	return inParts(relayRecord{Author: r.self, Next: r.next, Total: r.total, All: true, Since: r.end}, entries)
}

// newestSnapshot returns the records of the newest snapshot that is whole, or none. Records of two
// authors may stand between each other's.
func newestSnapshot(records []*relayRecord) []*relayRecord {
	var newest []*relayRecord
	under := make(map[string][]*relayRecord)
	for _, record := range records {
		parts := under[record.Author]
		if len(parts) > 0 && parts[0].Since != record.Since {
			parts = nil
		}
		parts = append(parts, record)
		if record.More {
			under[record.Author] = parts
			continue
		}
		delete(under, record.Author)
		if parts[0].First && (newest == nil || record.Since >= newest[0].Since) {
			newest = parts
		}
	}
	return newest
}

// list returns all servers that are relayed, ordered by id.
func (r *relay) list() []directory.Server {
	servers := make([]directory.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		servers = append(servers, *r.servers[id])
	}
	return servers
}
