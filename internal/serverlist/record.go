package serverlist

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"dalehook/internal/directory"
)

// relayRecord is a record by which a node that reads the heartbeats publishes the list to the others:
// entries without their weight versions, which only the coordinator needs. Many entries are split across
// consecutive records.
type relayRecord struct {
	// Author is the name of the process that wrote the record.
	Author string
	// First is set in the first record of a sequence, More if further records belong to it.
	First, More bool
	// All is set if the records hold all relayed servers; otherwise they hold the changes since the records
	// before.
	All     bool
	Put     []relayEntry
	Removed []string
	// Next is the offset in the topic of servers up to which the author has read.
	Next int64
	// Total is the number of servers of all services.
	Total int
	// Since is, in a snapshot, the offset from which the changes are to be read.
	Since int64
}

type relayEntry struct {
	ID string
	// Born is 0 in entries of nodes that do not report it.
	Born                   int64
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	// Warming is the remaining warm-up time of the server when the record was created.
	Warming time.Duration
	Digest  uint64
}

func newRelayEntry(now time.Time, server *directory.Server) relayEntry {
	return relayEntry{
		Warming: max(server.WarmAt.Sub(now), 0),
		ID:      server.ID, Born: server.Born, Service: server.Service, Address: server.Address, Zone: server.Zone,
		Slots: server.Slots, Draining: server.Draining, Digest: server.Digest,
	}
}

// server converts the entry of a record that is read at now.
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

const (
	// maxEntriesPerRecord keeps records at about 30 KB, independent of the number of servers; a store may
	// accept no more than 256 KB.
	maxEntriesPerRecord = 1000
	// maxRecordsPerAppend bounds the records of one append, since a store may accept no more than 2 MB per
	// call: 40,000 servers. Remaining changes are published next.
	maxRecordsPerAppend = 40
)

// splitRecords splits entries across records, of which the first also carries the other fields of the head.
func splitRecords(head relayRecord, entries []relayEntry) []*relayRecord {
	var records []*relayRecord
	for first := true; first || len(entries) > 0; first = false {
		record := head
		record.First, record.More = first, true
		if !first {
			record.Removed = nil
		}
		count := min(len(entries), maxEntriesPerRecord)
		record.Put, entries = entries[:count], entries[count:]
		records = append(records, &record)
	}
	records[len(records)-1].More = false
	return records
}

// encodeRecord encodes and compresses a record: snapshots have thousands of similar entries, and all nodes
// that start at the same time read one.
func encodeRecord(record *relayRecord) ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress a relay record: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(record); err != nil {
		return nil, fmt.Errorf("encode a relay record: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress a relay record: %w", err)
	}
	return buffer.Bytes(), nil
}

func encodeRecords(records []*relayRecord) ([][]byte, error) {
	payloads := make([][]byte, 0, len(records))
	for _, record := range records {
		payload, err := encodeRecord(record)
		if err != nil {
			return nil, err
		}
		payloads = append(payloads, payload)
	}
	return payloads, nil
}

func decodeRecord(payload []byte) (*relayRecord, error) {
	record := &relayRecord{}
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(payload))).Decode(record); err != nil {
		return nil, fmt.Errorf("decode a relay record: %w", err)
	}
	return record, nil
}

// dropInvalid takes the entries that are out of bounds, which nodes of earlier builds relay, for removed. It calls note
// for each.
func (r *relayRecord) dropInvalid(note func(serverID string, err error)) {
	now := time.Time{} // warm-ups are relative to any time
	r.Put = slices.DeleteFunc(r.Put, func(entry relayEntry) bool {
		err := entry.server(now).CheckBounds(now)
		if err == nil {
			return false
		}
		note(entry.ID, err)
		r.Removed = append(r.Removed, entry.ID)
		return true
	})
}
