package serverlist

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"time"

	"dalehook/internal/directory"
)

// relayRecord is what a node that reads the heartbeats tells the others of the list: entries without
// their weight versions, which only the coordinator needs. Many entries take several records, which
// stand one after the other.
type relayRecord struct {
	// Author names the process that wrote the record.
	Author string
	// First says that the record begins, and More that further ones belong to it.
	First, More bool
	// All says that the records hold all servers that are relayed, else they hold what changed
	// since the records before.
	All     bool
	Put     []relayEntry
	Removed []string
	// Next is the offset in the topic of servers up to which the author had read.
	Next int64
	// Total is the number of servers of all services.
	Total int
	// Since is, in a snapshot, the offset from which on changes are to be read.
	Since int64
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

const (
	// entriesOfRecord bounds the entries of a record, at some 30 KB where a store may take no more
	// than 256 KB, whatever the number of servers.
	entriesOfRecord = 1000
	// recordsOfCall bounds the records that are appended at once, since a store may take no more than
	// 2 MB by one call: 40,000 servers. What is left of changes is told next.
	recordsOfCall = 40
)

// inParts returns records that hold entries together, the first with what the head has beside them.
func inParts(head relayRecord, entries []relayEntry) []*relayRecord {
	var records []*relayRecord
	for first := true; first || len(entries) > 0; first = false {
		record := head
		record.First, record.More = first, true
		if !first {
			record.Removed = nil
		}
		count := min(len(entries), entriesOfRecord)
		record.Put, entries = entries[:count], entries[count:]
		records = append(records, &record)
	}
	records[len(records)-1].More = false
	return records
}

// encodeRelay encodes a record and compresses it: snapshots have thousands of entries alike, and
// all nodes that start at once read one.
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

func encodeRelays(records []*relayRecord) ([][]byte, error) {
	payloads := make([][]byte, 0, len(records))
	for _, record := range records {
		payload, err := encodeRelay(record)
		if err != nil {
			return nil, err
		}
		payloads = append(payloads, payload)
	}
	return payloads, nil
}

func decodeRelay(payload []byte) (*relayRecord, error) {
	record := &relayRecord{}
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(payload))).Decode(record); err != nil {
		return nil, fmt.Errorf("decode a relay of the list: %w", err)
	}
	return record, nil
}
