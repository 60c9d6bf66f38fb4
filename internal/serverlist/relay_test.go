package serverlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/directory"
)

const relayInterval = 500 * time.Millisecond

func testServer(id string, draining bool) directory.Server {
	return directory.Server{ID: id, Service: "s", Address: id + ":1", Slots: 4, Draining: draining}
}

// relayLog is a log of relay records, and the nodes that fold it.
type relayLog struct {
	t       *testing.T
	now     time.Time
	records []*relayRecord
	// shared tells which services are relayed; nil for all.
	shared    func(service string) bool
	directory *directory.Directory
}

func newRelayLog(t *testing.T, servers ...directory.Server) *relayLog {
	l := &relayLog{t: t, now: time.Unix(1000, 0), directory: directory.NewDirectory()}
	l.directory.Replace(servers)
	return l
}

// read folds the records that a node has not read.
func (l *relayLog) read(node *relay) {
	l.t.Helper()
	for offset := node.end; offset < int64(len(l.records)); offset++ {
		payload, err := encodeRecord(l.records[offset])
		if err != nil {
			l.t.Fatal(err)
		}
		record, err := decodeRecord(payload)
		if err != nil {
			l.t.Fatal(err)
		}
		node.handleRecord(l.now, offset, record, false)
	}
}

func (l *relayLog) state(heartbeatOffset int64) listState {
	shared := l.shared
	if shared == nil {
		shared = func(string) bool { return true }
	}
	return listState{snapshot: l.directory.Snapshot(), shared: shared, heartbeatOffset: heartbeatOffset, complete: true, leading: true}
}

// publish appends the records that a node publishes if it has read to the end of the log, and returns the
// first.
func (l *relayLog) publish(node *relay, heartbeatOffset int64) *relayRecord {
	records := node.nextRecords(l.now, l.state(heartbeatOffset))
	if len(records) == 0 || node.end != int64(len(l.records)) {
		return nil
	}
	l.records = append(l.records, records...)
	l.read(node)
	return records[0]
}

func readyIDs(node *relay) []string {
	ids := []string{}
	for _, server := range node.listServers() {
		if !server.Draining {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

func TestReaderKnowsPublishedList(t *testing.T) {
	l := newRelayLog(t, testServer("a", false), testServer("b", false))
	author, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
	l.publish(&author, 10)
	l.read(&reader)
	if diff := cmp.Diff([]string{"a", "b"}, readyIDs(&reader)); diff != "" {
		t.Fatal(diff)
	}
	draining, added := testServer("a", true), testServer("c", false)
	l.directory.Apply([]directory.Change{{ID: "a", Server: &draining}, {ID: "b"}, {ID: "c", Server: &added}})
	if record := l.publish(&author, 20); record == nil || record.All {
		t.Fatalf("published %+v", record)
	}
	l.read(&reader)
	if diff := cmp.Diff([]string{"c"}, readyIDs(&reader)); diff != "" {
		t.Error(diff)
	}
	if reader.heartbeatOffset != 20 {
		t.Errorf("read up to offset %d", reader.heartbeatOffset)
	}
}

func TestRelayPublishesWithoutChanges(t *testing.T) {
	l := newRelayLog(t, testServer("a", false))
	author := newRelay("x", relayInterval, 0)
	l.publish(&author, 1)
	loaded := testServer("a", false)
	loaded.Versions = map[string]int64{"m": 2}
	l.directory.Apply([]directory.Change{{ID: "a", Server: &loaded}})
	l.now = l.now.Add(relayInterval / 2)
	if record := l.publish(&author, 2); record != nil {
		t.Errorf("a change of weight versions was relayed: %+v", record)
	}
	l.now = l.now.Add(relayInterval)
	if record := l.publish(&author, 3); record == nil || record.All || len(record.Put) != 0 {
		t.Errorf("after an interval: %+v", record)
	}
	l.now = l.now.Add(snapshotInterval)
	if records := author.snapshotRecords(l.now); len(records) != 1 || !records[0].All || len(records[0].Put) != 1 {
		t.Errorf("after the interval of snapshots: %+v", records)
	}
	if records := author.snapshotRecords(l.now.Add(snapshotInterval / 2)); len(records) != 0 {
		t.Errorf("snapshot half an interval later: %+v", records)
	}
}

// Authors that alternate publish one list: each publishes the changes since the other's records.
func TestAlternatingAuthorsPublishOneList(t *testing.T) {
	l := newRelayLog(t, testServer("a", false), testServer("b", false))
	first, second, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0), newRelay("z", relayInterval, 0)
	l.publish(&first, 1)
	l.directory.Apply([]directory.Change{{ID: "a"}})
	if record := l.publish(&second, 2); record != nil {
		t.Fatal("published by a node that had not read the relay to its end")
	}
	l.read(&second)
	l.publish(&second, 2)
	l.read(&first)
	added := testServer("c", false)
	l.directory.Apply([]directory.Change{{ID: "c", Server: &added}})
	l.publish(&first, 3)
	l.read(&reader)
	if diff := cmp.Diff([]string{"b", "c"}, readyIDs(&reader)); diff != "" {
		t.Error(diff)
	}
	if records := first.nextRecords(l.now.Add(relayInterval), l.state(2)); len(records) > 0 {
		t.Errorf("a node that has read less than was published publishes %+v", records)
	}
}

func TestOldRecordsDoNotRefreshRelay(t *testing.T) {
	reader := newRelay("y", relayInterval, 0)
	now := time.Unix(1000, 0)
	reader.handleRecord(now, 0, &relayRecord{Author: "x", First: true, All: true, Put: []relayEntry{{ID: "a", Service: "s"}}}, true)
	if !reader.lastForeignRecordAt.IsZero() || len(reader.servers) != 1 {
		t.Errorf("last foreign record at %v, %d servers", reader.lastForeignRecordAt, len(reader.servers))
	}
	reader.handleRecord(now, 1, &relayRecord{Author: "y", First: true}, false)
	if !reader.lastForeignRecordAt.IsZero() {
		t.Error("a record of the node itself counts as foreign")
	}
	reader.handleRecord(now, 2, &relayRecord{Author: "x", First: true}, false)
	if !reader.lastForeignRecordAt.Equal(now) {
		t.Errorf("last foreign record at %v", reader.lastForeignRecordAt)
	}
}

func TestChangesBeforeFirstFullRecordAreIgnored(t *testing.T) {
	reader := newRelay("y", relayInterval, 0)
	reader.handleRecord(time.Unix(1000, 0), 7, &relayRecord{Author: "x", First: true, Put: []relayEntry{{ID: "b", Service: "s"}}}, false)
	if reader.servers != nil || reader.end != 8 {
		t.Errorf("servers %v, end %d", reader.servers, reader.end)
	}
}

// manyServers returns servers that belong in turn to a shared service and to one used only by the
// coordinator.
func manyServers(count int) []directory.Server {
	servers := make([]directory.Server, 0, count)
	for number := range count {
		server := testServer(fmt.Sprintf("i-%08x", number*2654435761%(1<<32)), false)
		if number%2 == 1 {
			server.Service = "engines"
		}
		servers = append(servers, server)
	}
	return servers
}

// Guards against a full list that does not fit one record of the store, which happened at 8,000 servers. A
// node that starts must know, from the snapshot and the changes since, the same as a node that was there
// all the time, for any number of servers and only for shared services.
func TestStartingNodeKnowsSameAsOthers(t *testing.T) {
	const recordBytes, callBytes = 256 << 10, 2 << 20
	for _, count := range []int{2, 6000, 20_000, 60_000} {
		l := newRelayLog(t, manyServers(count)...)
		l.shared = func(service string) bool { return service == "s" }
		author, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
		l.publish(&author, 10)
		l.read(&reader)
		snapshot := author.snapshotRecords(l.now)
		gone := l.directory.Snapshot().Ready("s")[0].ID
		l.directory.Apply([]directory.Change{{ID: gone}})
		l.now = l.now.Add(relayInterval)
		l.publish(&author, 20)
		l.read(&reader)
		starting := newRelay("z", relayInterval, 0)
		if !starting.loadSnapshot(l.now, newestCompleteSnapshot(snapshot), true) {
			t.Fatal("the snapshot was not loaded")
		}
		l.read(&starting)
		if diff := cmp.Diff(readyIDs(&reader), readyIDs(&starting)); diff != "" || len(reader.servers) != count/2-1 {
			t.Errorf("%d servers, of which %d are known: %s", count, len(reader.servers), diff)
		}
		if starting.heartbeatOffset != 20 || starting.totalServers != count-1 {
			t.Errorf("read up to offset %d, %d servers in total", starting.heartbeatOffset, starting.totalServers)
		}
		total := 0
		for _, record := range snapshot {
			payload, err := encodeRecord(record)
			if err != nil {
				t.Fatal(err)
			}
			total += len(payload)
			if len(payload) > recordBytes/2 {
				t.Errorf("%d servers: a record of %d bytes", count, len(payload))
			}
		}
		if total/len(snapshot)*maxRecordsPerAppend > callBytes {
			t.Errorf("%d servers: an append of %d bytes", count, total/len(snapshot)*maxRecordsPerAppend)
		}
	}
}

// Records of two authors may be interleaved; a snapshot whose last record is missing is ignored.
func TestOnlyCompleteSnapshotsAreUsed(t *testing.T) {
	record := func(author string, since int64, first, more bool) *relayRecord {
		return &relayRecord{Author: author, Since: since, First: first, More: more, All: true}
	}
	cases := []struct {
		name    string
		records []*relayRecord
		since   int64
	}{
		{"none", nil, -1},
		{"one", []*relayRecord{record("x", 3, true, false)}, 3},
		{"its end is missing", []*relayRecord{record("x", 3, true, true)}, -1},
		{"its beginning was dropped", []*relayRecord{record("x", 3, false, false)}, -1},
		{"the newest", []*relayRecord{record("x", 3, true, false), record("y", 5, true, false)}, 5},
		{"two authors", []*relayRecord{record("x", 3, true, true), record("y", 2, true, true), record("x", 3, false, false), record("y", 2, false, false)}, 3},
		{"broken off and begun anew", []*relayRecord{record("x", 3, true, true), record("x", 4, true, true), record("x", 4, false, false)}, 4},
	}
	for _, c := range cases {
		since := int64(-1)
		if parts := newestCompleteSnapshot(c.records); parts != nil {
			since = parts[0].Since
		}
		if since != c.since {
			t.Errorf("%s: loaded a snapshot with Since %d, want %d", c.name, since, c.since)
		}
	}
}

// Changes that exceed one append are published in several; a node that continues from the first must read
// the rest.
func TestTruncatedChangesAreNotCountedAsRead(t *testing.T) {
	const most = maxEntriesPerRecord * maxRecordsPerAppend
	l := newRelayLog(t, manyServers(3*most)...)
	author := newRelay("x", relayInterval, 0)
	l.publish(&author, 10)
	if len(author.servers) != most || author.heartbeatOffset != 0 {
		t.Fatalf("%d servers published, read up to offset %d", len(author.servers), author.heartbeatOffset)
	}
	for range 2 {
		l.publish(&author, 10)
	}
	if len(author.servers) != 3*most || author.heartbeatOffset != 10 {
		t.Errorf("%d servers published, read up to offset %d", len(author.servers), author.heartbeatOffset)
	}
}

// Guards against two publishers: a node that had relayed while there was no coordinator kept publishing
// beside it, each of its records arriving just before the coordinator's next one was due. The coordinator's
// records must come first, whichever node checks first.
func TestCoordinatorPublishesBeforeSubstitute(t *testing.T) {
	l := newRelayLog(t, testServer("a", false))
	coordinator, substitute := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
	l.publish(&substitute, 1)
	l.read(&coordinator)
	published := map[string]int{}
	for range 100 {
		l.now = l.now.Add(relayInterval / 5)
		state := l.state(1)
		state.leading = false
		if records := substitute.nextRecords(l.now, state); len(records) > 0 {
			l.records = append(l.records, records...)
			l.read(&substitute)
			published["substitute"]++
		}
		l.read(&coordinator)
		if l.publish(&coordinator, 1) != nil {
			published["coordinator"]++
		}
		l.read(&substitute)
	}
	if published["substitute"] > 0 || published["coordinator"] < 15 {
		t.Errorf("records published: %v", published)
	}
}
