package directory

import (
	"testing"
	"time"
)

func ids(servers []*Server) string {
	text := ""
	for _, server := range servers {
		text += server.ID
	}
	return text
}

// put applies the entry of one server and reports whether the list changed.
func put(d *Directory, server Server) bool {
	return len(d.Apply([]Change{{ID: server.ID, Server: &server}})) > 0
}

func remove(d *Directory, id string) bool { return len(d.Apply([]Change{{ID: id}})) > 0 }

func listedIDs(snapshot *Snapshot) map[string]bool {
	known := make(map[string]bool)
	snapshot.All(func(server *Server) { known[server.ID] = true })
	return known
}

func TestDirectory(t *testing.T) {
	d := NewDirectory()
	for _, id := range []string{"c", "a", "b"} {
		if !put(d, Server{ID: id, Service: "s", Versions: map[string]int64{"m": 1}}) {
			t.Errorf("adding %s did not change the list", id)
		}
	}
	before := d.Snapshot()
	if got := ids(before.Ready("s")); got != "abc" {
		t.Errorf("ready %s", got)
	}
	if put(d, Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 1}, Digest: 5}) {
		t.Error("a heartbeat without changes changed the list")
	}
	if !d.HasDigest("a", 5) || d.HasDigest("a", 4) || d.HasDigest("z", 5) {
		t.Error("HasDigest does not match the newest entry")
	}
	if !put(d, Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 2}}) {
		t.Error("a new version did not change the list")
	}
	put(d, Server{ID: "b", Service: "s", Draining: true})
	if !remove(d, "c") || remove(d, "c") {
		t.Error("removal did not change the list exactly once")
	}
	if got := ids(d.Snapshot().Ready("s")); got != "a" {
		t.Errorf("ready %s", got)
	}
	if d.Snapshot().Count() != 2 || listedIDs(d.Snapshot())["c"] {
		t.Error("the removed server is still listed")
	}
	if got := ids(before.Ready("s")); got != "abc" {
		t.Errorf("an earlier snapshot changed to %s", got)
	}
	d.Replace([]Server{{ID: "x", Service: "s"}})
	if got := ids(d.Snapshot().Ready("s")); got != "x" {
		t.Errorf("ready after Replace: %s", got)
	}
}

func TestServerMayChangeService(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Server{{ID: "a", Service: "s"}, {ID: "b", Service: "t"}})
	changes := d.Apply([]Change{{ID: "a", Server: &Server{ID: "a", Service: "t"}}, {ID: "c", Server: &Server{ID: "c", Service: "s"}}, {ID: "c"}})
	if len(changes) != 3 {
		t.Errorf("effective changes %v", changes)
	}
	if got := ids(d.Snapshot().Ready("t")); got != "ab" {
		t.Errorf("ready %s", got)
	}
	if got := ids(d.Snapshot().Ready("s")); got != "" {
		t.Errorf("ready %s", got)
	}
}

func TestAge(t *testing.T) {
	d := NewDirectory()
	now := time.Unix(1000, 0)
	d.MarkRead(now)
	if got := d.Age(now.Add(time.Second)); got != time.Second {
		t.Errorf("age %v", got)
	}
}

// A server that crashed and restarted under the same id was taken for the same incarnation, since
// births were not compared; what was known of the old one was kept.
func TestNewIncarnationIsAChange(t *testing.T) {
	d := NewDirectory()
	put(d, Server{ID: "a", Born: 1000, Service: "s"})
	before := d.Snapshot()
	if !put(d, Server{ID: "a", Born: 2000, Service: "s"}) {
		t.Error("a new incarnation is not a change")
	}
	if put(d, Server{ID: "a", Born: 2000, Service: "s", Digest: 7}) {
		t.Error("a heartbeat of the same incarnation is a change")
	}
	if got := d.Snapshot().Ready("s")[0].Incarnation(); got != (Incarnation{ID: "a", Born: 2000}) {
		t.Errorf("listed as %+v", got)
	}
	if got := before.Ready("s")[0].Incarnation(); got != (Incarnation{ID: "a", Born: 1000}) {
		t.Errorf("the earlier snapshot lists %+v", got)
	}
}
