package serverlist

import (
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// Timing of the relay.
const (
	// snapshotInterval is the time between two snapshots. It is the longest time a node that starts waits for a
	// snapshot if the store has lost the last one.
	snapshotInterval = 2 * time.Second
	// substituteIntervalFactor is the factor by which a node that is not the coordinator publishes less often:
	// 1.4 times publishIntervalShare is 0.35 of the leave bound, below staleShare, 0.45, so that its next record
	// is not overdue.
	substituteIntervalFactor = 1.4
)

// relay folds the records of the relay and creates new ones. It does no I/O.
//
// Changes are published in one partition, which all nodes follow. Snapshots are in another one, which only
// nodes that start read: what the others read grows with the changes, not with the list.
type relay struct {
	self string
	// interval is the longest time between two records of changes, minGap the shortest: each record wakes all
	// nodes.
	interval, minGap time.Duration
	// servers is nil until a snapshot or a record that holds all servers has been read.
	servers map[string]*directory.Server
	// totalServers is the number of servers of all services; only those of shared services are relayed.
	totalServers int
	// end is the offset after the last record of changes, heartbeatOffset the offset up to which its author had
	// read the heartbeats.
	end, heartbeatOffset int64
	// minSnapshotSince is the lowest offset at which the changes of an acceptable snapshot begin: an older
	// snapshot is older than what was known before.
	minSnapshotSince int64
	// pendingParts are records of changes whose sequence is not complete yet.
	pendingParts []*relayRecord
	// lastRecordAt is when the last changes were read, lastForeignRecordAt when the last ones of another
	// process were.
	lastRecordAt, lastForeignRecordAt time.Time
	// snapshotAt is when this process last created a snapshot.
	snapshotAt time.Time
	// comparedSnapshot and comparedEnd are the list and the end for which there was nothing to publish.
	comparedSnapshot *directory.Snapshot
	comparedEnd      int64
}

func newRelay(self string, interval, minGap time.Duration) relay {
	return relay{self: self, interval: interval, minGap: minGap}
}

// startAt makes a node that knows no list follow the changes from an offset on.
func (r *relay) startAt(end int64) { r.end = max(r.end, end) }

// reset discards the known list after the store has dropped changes that were not read.
func (r *relay) reset() { r.servers, r.pendingParts, r.minSnapshotSince = nil, nil, r.end }

// loadSnapshot loads a complete snapshot; it returns false if that is older than what was known. For old
// see handleRecord.
func (r *relay) loadSnapshot(now time.Time, parts []*relayRecord, old bool) bool {
	if parts[0].Since < r.minSnapshotSince {
		return false
	}
	r.servers = make(map[string]*directory.Server)
	for _, part := range parts {
		for _, entry := range part.Put {
			r.servers[entry.ID] = entry.server(now)
		}
	}
	first := parts[0]
	r.pendingParts = nil
	r.end, r.heartbeatOffset, r.totalServers = first.Since, first.Next, first.Total
	if !old && first.Author != r.self {
		r.lastForeignRecordAt = now
	}
	return true
}

// handleRecord takes the record of changes at an offset and returns the changes made by it and the
// preceding records of its sequence. Changes to an unknown list are ignored. Old is set if the record may
// have been in the log for long, so that it does not show that its author is alive.
func (r *relay) handleRecord(now time.Time, offset int64, record *relayRecord, old bool) []directory.Change {
	if offset < r.end {
		return nil
	}
	r.end = offset + 1
	r.pendingParts = append(r.pendingParts, record)
	if record.More {
		return nil
	}
	parts := r.pendingParts
	r.pendingParts = nil
	if r.servers == nil && !parts[0].All {
		return nil
	}
	r.heartbeatOffset, r.totalServers = record.Next, record.Total
	if !old {
		r.lastRecordAt = now
	}
	if !old && record.Author != r.self {
		r.lastForeignRecordAt = now
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

// listState is the list that a node relays.
type listState struct {
	snapshot *directory.Snapshot
	// shared reports whether all nodes send requests to the servers of a service.
	shared func(service string) bool
	// heartbeatOffset is the offset up to which the heartbeats were read.
	heartbeatOffset int64
	// leading is set if the node is the coordinator.
	leading bool
	// complete is set if the list holds all servers, not only changes since the last relay record.
	complete bool
}

// nextRecords returns the records of changes to append at the relay's end, or none.
func (r *relay) nextRecords(now time.Time, state listState) []*relayRecord {
	if state.heartbeatOffset < r.heartbeatOffset {
		return nil // others have read further
	}
	interval, minGap := r.interval, r.minGap
	if !state.leading {
		// The coordinator publishes first, so that a node that relays in its place reads its records and stops.
		interval, minGap = time.Duration(substituteIntervalFactor*float64(interval)), time.Duration(substituteIntervalFactor*float64(minGap))
	}
	if r.servers != nil && now.Sub(r.lastRecordAt) < minGap {
		return nil
	}
	due := now.Sub(r.lastRecordAt) >= interval
	if !due && r.servers != nil && state.snapshot == r.comparedSnapshot && r.end == r.comparedEnd {
		return nil
	}
	put, removed := r.diff(now, state)
	next := state.heartbeatOffset
	if len(put) > maxEntriesPerRecord*maxRecordsPerAppend {
		// Whoever continues from this record must still read the remaining changes.
		put, next = put[:maxEntriesPerRecord*maxRecordsPerAppend], r.heartbeatOffset
	}
	if !due && r.servers != nil && len(put) == 0 && len(removed) == 0 {
		r.comparedSnapshot, r.comparedEnd = state.snapshot, r.end
		return nil
	}
	head := relayRecord{Author: r.self, Next: next, Total: r.countServers(state), All: r.servers == nil, Removed: removed}
	return splitRecords(head, put)
}

// countServers returns the number of servers of all services.
func (r *relay) countServers(state listState) int {
	if state.complete {
		return state.snapshot.Count()
	}
	return max(state.snapshot.Count(), r.totalServers)
}

// diff returns the differences between a list and what the relay has published.
func (r *relay) diff(now time.Time, state listState) (put []relayEntry, removed []string) {
	current := make(map[string]bool)
	state.snapshot.Services(func(service string, servers []*directory.Server) {
		if !state.shared(service) {
			return
		}
		for _, server := range servers {
			current[server.ID] = true
			before := r.servers[server.ID]
			if before == nil || !directory.EqualIgnoringVersions(before, server) || directory.WarmUpExtended(before, server) {
				put = append(put, newRelayEntry(now, server))
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

// snapshotRecords returns the records of a snapshot of the published list, or none if the last snapshot is
// recent enough.
func (r *relay) snapshotRecords(now time.Time) []*relayRecord {
	if r.servers == nil || now.Sub(r.snapshotAt) < snapshotInterval {
		return nil
	}
	r.snapshotAt = now
	entries := make([]relayEntry, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		entries = append(entries, newRelayEntry(now, r.servers[id]))
	}
	return splitRecords(relayRecord{Author: r.self, Next: r.heartbeatOffset, Total: r.totalServers, All: true, Since: r.end}, entries)
}

// newestCompleteSnapshot returns the records of the newest complete snapshot, or none. Records of two
// authors may be interleaved.
func newestCompleteSnapshot(records []*relayRecord) []*relayRecord {
	var newest []*relayRecord
	partsByAuthor := make(map[string][]*relayRecord)
	for _, record := range records {
		parts := partsByAuthor[record.Author]
		if len(parts) > 0 && parts[0].Since != record.Since {
			parts = nil
		}
		parts = append(parts, record)
		if record.More {
			partsByAuthor[record.Author] = parts
			continue
		}
		delete(partsByAuthor, record.Author)
		if parts[0].First && (newest == nil || record.Since >= newest[0].Since) {
			newest = parts
		}
	}
	return newest
}

// listServers returns all relayed servers, ordered by id.
func (r *relay) listServers() []directory.Server {
	servers := make([]directory.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		servers = append(servers, *r.servers[id])
	}
	return servers
}
