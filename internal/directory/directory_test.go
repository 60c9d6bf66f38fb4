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

func TestDirectory(t *testing.T) {
	d := NewDirectory()
	for _, id := range []string{"c", "a", "b"} {
		if !d.Put(Server{ID: id, Service: "s", Versions: map[string]int64{"m": 1}}) {
			t.Errorf("%s changed nothing", id)
		}
	}
	before := d.Snapshot()
	if got := ids(before.Ready("s")); got != "abc" {
		t.Errorf("ready %s", got)
	}
	if d.Put(Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 1}}) {
		t.Error("a heartbeat without news changed the list")
	}
	if !d.Put(Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 2}}) {
		t.Error("a new version changed nothing")
	}
	d.Put(Server{ID: "b", Service: "s", Draining: true})
	if !d.Remove("c") || d.Remove("c") {
		t.Error("a server is removed once")
	}
	if got := ids(d.Snapshot().Ready("s")); got != "a" {
		t.Errorf("ready %s", got)
	}
	if d.Snapshot().Count() != 2 || d.Snapshot().Server("c") != nil {
		t.Error("the removed server is listed")
	}
	if got := ids(before.Ready("s")); got != "abc" {
		t.Errorf("an earlier snapshot changed to %s", got)
	}
	d.Replace([]Server{{ID: "x", Service: "s"}})
	if got := ids(d.Snapshot().Ready("s")); got != "x" {
		t.Errorf("ready after a replacement %s", got)
	}
}

func TestAge(t *testing.T) {
	d := NewDirectory()
	now := time.Unix(1000, 0)
	d.NoteRead(now)
	if got := d.Age(now.Add(time.Second)); got != time.Second {
		t.Errorf("age %v", got)
	}
}
