package serverlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/directory"
)

const relayInterval = 500 * time.Millisecond

func entry(id string, draining bool) directory.Server {
	return directory.Server{ID: id, Service: "s", Address: id + ":1", Slots: 4, Draining: draining}
}

// wire is a log of relay records, and the nodes that fold it.
type wire struct {
	t   *testing.T
	now time.Time
	log []*relayRecord
	// shared says which services are relayed; nil for all.
	shared func(service string) bool
	list   *directory.Directory
}

func newWire(t *testing.T, servers ...directory.Server) *wire {
	w := &wire{t: t, now: time.Unix(1000, 0), list: directory.NewDirectory()}
	w.list.Replace(servers)
	return w
}

// read folds what a node has not read.
func (w *wire) read(node *relay) {
	w.t.Helper()
	for offset := node.end; offset < int64(len(w.log)); offset++ {
		payload, err := encodeRelay(w.log[offset])
		if err != nil {
			w.t.Fatal(err)
		}
		record, err := decodeRelay(payload)
		if err != nil {
			w.t.Fatal(err)
		}
		node.handle(w.now, offset, record, false)
	}
}

func (w *wire) source(read int64) source {
	shared := w.shared
	if shared == nil {
		shared = func(string) bool { return true }
	}
	return source{snapshot: w.list.Snapshot(), shared: shared, read: read, whole: true, leading: true}
}

// tell appends what a node tells, if its end is the log's, and returns the first record.
func (w *wire) tell(node *relay, read int64) *relayRecord {
	records := node.tell(w.now, w.source(read))
	if len(records) == 0 || node.end != int64(len(w.log)) {
		return nil
	}
	w.log = append(w.log, records...)
	w.read(node)
	return records[0]
}

func ready(node *relay) []string {
	ids := []string{}
	for _, server := range node.list() {
		if !server.Draining {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

func TestAReaderKnowsWhatWasTold(t *testing.T) {
	w := newWire(t, entry("a", false), entry("b", false))
	author, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
	w.tell(&author, 10)
	w.read(&reader)
	if diff := cmp.Diff([]string{"a", "b"}, ready(&reader)); diff != "" {
		t.Fatal(diff)
	}
	draining, added := entry("a", true), entry("c", false)
	w.list.Apply([]directory.Change{{ID: "a", Server: &draining}, {ID: "b"}, {ID: "c", Server: &added}})
	if record := w.tell(&author, 20); record == nil || record.All {
		t.Fatalf("told %+v", record)
	}
	w.read(&reader)
	if diff := cmp.Diff([]string{"c"}, ready(&reader)); diff != "" {
		t.Error(diff)
	}
	if reader.next != 20 {
		t.Errorf("read up to %d", reader.next)
	}
}

func TestTheRelaySpeaksWhileNothingChanges(t *testing.T) {
	w := newWire(t, entry("a", false))
	author := newRelay("x", relayInterval, 0)
	w.tell(&author, 1)
	loaded := entry("a", false)
	loaded.Versions = map[string]int64{"m": 2}
	w.list.Apply([]directory.Change{{ID: "a", Server: &loaded}})
	w.now = w.now.Add(relayInterval / 2)
	if record := w.tell(&author, 2); record != nil {
		t.Errorf("new weights are relayed: %+v", record)
	}
	w.now = w.now.Add(relayInterval)
	if record := w.tell(&author, 3); record == nil || record.All || len(record.Put) != 0 {
		t.Errorf("after an interval: %+v", record)
	}
	w.now = w.now.Add(snapshotInterval)
	if records := author.snapshot(w.now); len(records) != 1 || !records[0].All || len(records[0].Put) != 1 {
		t.Errorf("after the interval of snapshots: %+v", records)
	}
	if records := author.snapshot(w.now.Add(snapshotInterval / 2)); len(records) != 0 {
		t.Errorf("half an interval later: %+v", records)
	}
}

// Authors that alternate tell one list: each says what changed since the other.
func TestAuthorsFollowOnEachOther(t *testing.T) {
	w := newWire(t, entry("a", false), entry("b", false))
	first, second, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0), newRelay("z", relayInterval, 0)
	w.tell(&first, 1)
	w.list.Apply([]directory.Change{{ID: "a"}})
	if record := w.tell(&second, 2); record != nil {
		t.Fatal("told by a node that had not read the relay to its end")
	}
	w.read(&second)
	w.tell(&second, 2)
	w.read(&first)
	added := entry("c", false)
	w.list.Apply([]directory.Change{{ID: "c", Server: &added}})
	w.tell(&first, 3)
	w.read(&reader)
	if diff := cmp.Diff([]string{"b", "c"}, ready(&reader)); diff != "" {
		t.Error(diff)
	}
	if records := first.tell(w.now.Add(relayInterval), w.source(2)); len(records) > 0 {
		t.Errorf("a node that read less than was told tells %+v", records)
	}
}

func TestOldRecordsDoNotMakeTheRelayFresh(t *testing.T) {
	reader := newRelay("y", relayInterval, 0)
	now := time.Unix(1000, 0)
	reader.handle(now, 0, &relayRecord{Author: "x", First: true, All: true, Put: []relayEntry{{ID: "a", Service: "s"}}}, true)
	if !reader.toldByOthersAt.IsZero() || len(reader.servers) != 1 {
		t.Errorf("told at %v, %d servers", reader.toldByOthersAt, len(reader.servers))
	}
	reader.handle(now, 1, &relayRecord{Author: "y", First: true}, false)
	if !reader.toldByOthersAt.IsZero() {
		t.Error("the own record counts as another's")
	}
	reader.handle(now, 2, &relayRecord{Author: "x", First: true}, false)
	if !reader.toldByOthersAt.Equal(now) {
		t.Errorf("told at %v", reader.toldByOthersAt)
	}
}

func TestChangesBeforeTheFirstFullRecordAreVoid(t *testing.T) {
	reader := newRelay("y", relayInterval, 0)
	reader.handle(time.Unix(1000, 0), 7, &relayRecord{Author: "x", First: true, Put: []relayEntry{{ID: "b", Service: "s"}}}, false)
	if reader.servers != nil || reader.end != 8 {
		t.Errorf("servers %v, end %d", reader.servers, reader.end)
	}
}

// manyServers returns servers of a service that all nodes use and of one that the coordinator does.
func manyServers(count int) []directory.Server {
	servers := make([]directory.Server, 0, count)
	for number := range count {
		server := entry(fmt.Sprintf("i-%08x", number*2654435761%(1<<32)), false)
		if number%2 == 1 {
			server.Service = "engines"
		}
		servers = append(servers, server)
	}
	return servers
}

// Seen: at 8,000 servers a list of all had no room in one record of the store.
// A node that starts knows from the snapshot and the changes since what one knows that was there all
// the time, whatever the number of servers; and of the services that all nodes use alone.
func TestANodeThatStartsKnowsWhatTheOthersKnow(t *testing.T) {
	const recordBytes, callBytes = 256 << 10, 2 << 20
	for _, count := range []int{2, 6000, 20_000, 60_000} {
		w := newWire(t, manyServers(count)...)
		w.shared = func(service string) bool { return service == "s" }
		author, reader := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
		w.tell(&author, 10)
		w.read(&reader)
		snapshot := author.snapshot(w.now)
		gone := w.list.Snapshot().Ready("s")[0].ID
		w.list.Apply([]directory.Change{{ID: gone}})
		w.now = w.now.Add(relayInterval)
		w.tell(&author, 20)
		w.read(&reader)
		starting := newRelay("z", relayInterval, 0)
		if !starting.base(w.now, newestSnapshot(snapshot), true) {
			t.Fatal("the snapshot was not taken")
		}
		w.read(&starting)
		if diff := cmp.Diff(ready(&reader), ready(&starting)); diff != "" || len(reader.servers) != count/2-1 {
			t.Errorf("%d servers, of which %d are known: %s", count, len(reader.servers), diff)
		}
		if starting.next != 20 || starting.total != count-1 {
			t.Errorf("read up to %d, %d servers in all", starting.next, starting.total)
		}
		total := 0
		for _, record := range snapshot {
			payload, err := encodeRelay(record)
			if err != nil {
				t.Fatal(err)
			}
			total += len(payload)
			if len(payload) > recordBytes/2 {
				t.Errorf("%d servers: a record of %d bytes", count, len(payload))
			}
		}
		if total/len(snapshot)*recordsOfCall > callBytes {
			t.Errorf("%d servers: a call of %d bytes", count, total/len(snapshot)*recordsOfCall)
		}
	}
}

// What was told by one author stands between what another told; a snapshot whose end is missing is none.
func TestOnlyWholeSnapshotsAreTaken(t *testing.T) {
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
		if parts := newestSnapshot(c.records); parts != nil {
			since = parts[0].Since
		}
		if since != c.since {
			t.Errorf("%s: taken since %d, want %d", c.name, since, c.since)
		}
	}
}

// More changes than one call takes are told in several; who goes on from what is told reads the rest.
func TestChangesThatAreCutAreNotCountedAsRead(t *testing.T) {
	const most = entriesOfRecord * recordsOfCall
	w := newWire(t, manyServers(3*most)...)
	author := newRelay("x", relayInterval, 0)
	w.tell(&author, 10)
	if len(author.servers) != most || author.next != 0 {
		t.Fatalf("%d servers told, read up to %d", len(author.servers), author.next)
	}
	for range 2 {
		w.tell(&author, 10)
	}
	if len(author.servers) != 3*most || author.next != 10 {
		t.Errorf("%d servers told, read up to %d", len(author.servers), author.next)
	}
}

// Seen: a node that had relayed while there was no coordinator went on beside it for good, each of its
// records coming a moment before the coordinator's next one was due.
// The coordinator's records come first, whoever of them looks first.
func TestTheCoordinatorTellsBeforeADeputy(t *testing.T) {
	w := newWire(t, entry("a", false))
	coordinator, deputy := newRelay("x", relayInterval, 0), newRelay("y", relayInterval, 0)
	w.tell(&deputy, 1)
	w.read(&coordinator)
	told := map[string]int{}
	for range 100 {
		w.now = w.now.Add(relayInterval / 5)
		from := w.source(1)
		from.leading = false
		if records := deputy.tell(w.now, from); len(records) > 0 {
			w.log = append(w.log, records...)
			w.read(&deputy)
			told["deputy"]++
		}
		w.read(&coordinator)
		if w.tell(&coordinator, 1) != nil {
			told["coordinator"]++
		}
		w.read(&deputy)
	}
	if told["deputy"] > 0 || told["coordinator"] < 15 {
		t.Errorf("told %v", told)
	}
}
