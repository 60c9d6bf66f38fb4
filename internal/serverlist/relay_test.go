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

// relayed folds records through the encoding and returns the ids of the ready servers.
type relayed struct {
	t        *testing.T
	now      time.Time
	receiver receiver
	list     *directory.Directory
}

func newRelayed(t *testing.T) *relayed {
	return &relayed{t: t, now: time.Unix(1000, 0), list: directory.NewDirectory()}
}

func (r *relayed) pass(record *relayRecord) {
	r.t.Helper()
	if record == nil {
		return
	}
	payload, err := encodeRelay(record)
	if err != nil {
		r.t.Fatal(err)
	}
	decoded, err := decodeRelay(payload)
	if err != nil {
		r.t.Fatal(err)
	}
	r.receiver.handle(r.now, decoded)
	r.list.Replace(r.receiver.list())
}

func (r *relayed) ready() []string {
	ids := []string{}
	for _, server := range r.list.Snapshot().Ready("s") {
		ids = append(ids, server.ID)
	}
	return ids
}

func TestAReceiverKnowsWhatThePublisherTold(t *testing.T) {
	source := directory.NewDirectory()
	source.Replace([]directory.Server{entry("a", false), entry("b", false)})
	publisher := publisher{epoch: 1}
	r := newRelayed(t)
	r.pass(publisher.next(r.now, source.Snapshot(), 10))
	if diff := cmp.Diff([]string{"a", "b"}, r.ready()); diff != "" {
		t.Fatal(diff)
	}
	draining, added := entry("a", true), entry("c", false)
	source.Apply([]directory.Change{{ID: "a", Server: &draining}, {ID: "b"}, {ID: "c", Server: &added}})
	r.pass(publisher.next(r.now, source.Snapshot(), 20))
	if diff := cmp.Diff([]string{"c"}, r.ready()); diff != "" {
		t.Error(diff)
	}
	if r.receiver.next != 20 {
		t.Errorf("read up to %d", r.receiver.next)
	}
}

func TestThePublisherSpeaksWhileNothingChanges(t *testing.T) {
	source := directory.NewDirectory()
	source.Replace([]directory.Server{entry("a", false)})
	publisher := publisher{epoch: 1}
	now := time.Unix(1000, 0)
	publisher.next(now, source.Snapshot(), 1)
	loaded := entry("a", false)
	loaded.Versions = map[string]int64{"m": 2}
	source.Apply([]directory.Change{{ID: "a", Server: &loaded}})
	if record := publisher.next(now.Add(relayInterval/2), source.Snapshot(), 2); record != nil {
		t.Errorf("new weights are relayed: %+v", record)
	}
	if record := publisher.next(now.Add(relayInterval), source.Snapshot(), 3); record == nil || record.Full || len(record.Put) != 0 {
		t.Errorf("after an interval: %+v", record)
	}
	if record := publisher.next(now.Add(fullInterval), source.Snapshot(), 4); record == nil || !record.Full || len(record.Put) != 1 {
		t.Errorf("after the interval of full records: %+v", record)
	}
}

func TestARelayOfAnEarlierCoordinatorIsVoid(t *testing.T) {
	r := newRelayed(t)
	r.pass(&relayRecord{Epoch: 5, Full: true, Put: []relayEntry{{ID: "a", Service: "s"}}, Next: 9})
	r.now = r.now.Add(relayStale)
	r.pass(&relayRecord{Epoch: 4, Full: true, Put: []relayEntry{{ID: "z", Service: "s"}}, Next: 99})
	if diff := cmp.Diff([]string{"a"}, r.ready()); diff != "" {
		t.Error(diff)
	}
	if r.receiver.fresh(r.now) {
		t.Error("the record of an earlier coordinator counts as fresh")
	}
	r.pass(&relayRecord{Epoch: 6, Put: []relayEntry{{ID: "b", Service: "s"}}})
	if diff := cmp.Diff([]string{"a"}, r.ready()); diff != "" {
		t.Errorf("changes of a coordinator before its first full record: %s", diff)
	}
}
