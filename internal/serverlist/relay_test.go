package serverlist

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/directory"
)

func entry(id string, draining bool) directory.Server {
	return directory.Server{ID: id, Service: "s", Address: id + ":1", Slots: 4, Draining: draining}
}

// wire is a log of relay records, and the nodes that fold it.
type wire struct {
	t    *testing.T
	now  time.Time
	log  []*relayRecord
	list *directory.Directory
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

// tell appends what a node tells, if its end is the log's.
func (w *wire) tell(node *relay, read int64) *relayRecord {
	record := node.tell(w.now, w.list.Snapshot(), read)
	if record == nil || node.end != int64(len(w.log)) {
		return nil
	}
	w.log = append(w.log, record)
	w.read(node)
	return record
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
	author, reader := newRelay("x"), newRelay("y")
	w.tell(&author, 10)
	w.read(&reader)
	if diff := cmp.Diff([]string{"a", "b"}, ready(&reader)); diff != "" {
		t.Fatal(diff)
	}
	draining, added := entry("a", true), entry("c", false)
	w.list.Apply([]directory.Change{{ID: "a", Server: &draining}, {ID: "b"}, {ID: "c", Server: &added}})
	if record := w.tell(&author, 20); record == nil || record.Full {
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
	author := newRelay("x")
	w.tell(&author, 1)
	loaded := entry("a", false)
	loaded.Versions = map[string]int64{"m": 2}
	w.list.Apply([]directory.Change{{ID: "a", Server: &loaded}})
	w.now = w.now.Add(relayInterval / 2)
	if record := w.tell(&author, 2); record != nil {
		t.Errorf("new weights are relayed: %+v", record)
	}
	w.now = w.now.Add(relayInterval)
	if record := w.tell(&author, 3); record == nil || record.Full || len(record.Put) != 0 {
		t.Errorf("after an interval: %+v", record)
	}
	w.now = w.now.Add(fullInterval)
	if record := w.tell(&author, 4); record == nil || !record.Full || len(record.Put) != 1 {
		t.Errorf("after the interval of full records: %+v", record)
	}
}

// Authors that alternate tell one list: each says what changed since the other.
func TestAuthorsFollowOnEachOther(t *testing.T) {
	w := newWire(t, entry("a", false), entry("b", false))
	first, second, reader := newRelay("x"), newRelay("y"), newRelay("z")
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
	if record := first.tell(w.now.Add(relayInterval), w.list.Snapshot(), 2); record != nil {
		t.Errorf("a node that read less than was told tells %+v", record)
	}
}

func TestOldRecordsDoNotMakeTheRelayFresh(t *testing.T) {
	reader := newRelay("y")
	now := time.Unix(1000, 0)
	reader.handle(now, 0, &relayRecord{Author: "x", Full: true, Put: []relayEntry{{ID: "a", Service: "s"}}}, true)
	if !reader.toldByOthersAt.IsZero() || len(reader.servers) != 1 {
		t.Errorf("told at %v, %d servers", reader.toldByOthersAt, len(reader.servers))
	}
	reader.handle(now, 1, &relayRecord{Author: "y"}, false)
	if !reader.toldByOthersAt.IsZero() {
		t.Error("the own record counts as another's")
	}
	reader.handle(now, 2, &relayRecord{Author: "x"}, false)
	if !reader.toldByOthersAt.Equal(now) {
		t.Errorf("told at %v", reader.toldByOthersAt)
	}
}

func TestChangesBeforeTheFirstFullRecordAreVoid(t *testing.T) {
	reader := newRelay("y")
	reader.handle(time.Unix(1000, 0), 7, &relayRecord{Author: "x", Put: []relayEntry{{ID: "b", Service: "s"}}}, false)
	if reader.servers != nil || reader.end != 8 {
		t.Errorf("servers %v, end %d", reader.servers, reader.end)
	}
}
