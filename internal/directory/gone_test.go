package directory

import (
	"testing"
	"time"
)

// Guards against a server that is asked again and again under the ID of an incarnation that is gone, and against a
// late answer about an earlier incarnation that takes the current one out of the list.
func TestGoneServer(t *testing.T) {
	listed := Server{ID: "a", Born: 1, Service: "s", Address: "x:1", Digest: 7}
	cases := []struct {
		name        string
		incarnation Incarnation
		address     string
		// change happens after the mark.
		change func(d *Directory, now time.Time)
		marked bool
		ready  string
	}{
		{"the listed incarnation", Incarnation{ID: "a", Born: 1}, "x:1", nil, true, "b"},
		{"an incarnation that reports no birth", Incarnation{ID: "a"}, "x:1", nil, true, "b"},
		{"an earlier incarnation", Incarnation{ID: "a", Born: 5}, "x:1", nil, false, "ab"},
		{"an earlier address", Incarnation{ID: "a", Born: 1}, "y:1", nil, false, "ab"},
		{"a server that is not listed", Incarnation{ID: "c", Born: 1}, "x:1", nil, false, "ab"},
		{"its next heartbeat", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, _ time.Time) {
			if d.HasDigest("a", 7) {
				t.Error("the next heartbeat would be skipped")
			}
			put(d, listed)
		}, true, "ab"},
		{"its next incarnation", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, _ time.Time) {
			next := listed
			next.Born = 2
			put(d, next)
		}, true, "ab"},
		{"its removal", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, _ time.Time) { remove(d, "a") }, true, "b"},
		{"the same list read anew", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, _ time.Time) {
			d.Replace([]Server{listed, {ID: "b", Service: "s"}})
		}, true, "b"},
		{"before the timeout", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, now time.Time) {
			if d.ExpireGone(now.Add(goneTimeout - time.Millisecond)) {
				t.Error("listed again before the timeout")
			}
		}, true, "b"},
		{"after the timeout", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, now time.Time) {
			if !d.ExpireGone(now.Add(goneTimeout)) || d.ExpireGone(now.Add(goneTimeout)) {
				t.Error("not listed again exactly once")
			}
		}, true, "ab"},
		{"after the timeout, no longer listed", Incarnation{ID: "a", Born: 1}, "x:1", func(d *Directory, now time.Time) {
			d.Replace([]Server{{ID: "b", Service: "s"}})
			if d.ExpireGone(now.Add(goneTimeout)) {
				t.Error("a server that is not listed was listed again")
			}
		}, true, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := NewDirectory()
			put(d, listed)
			put(d, Server{ID: "b", Service: "s"})
			if marked := d.MarkGone(now, c.incarnation, c.address); marked != c.marked {
				t.Errorf("marked: %t", marked)
			}
			if d.MarkGone(now, c.incarnation, c.address) {
				t.Error("marked twice")
			}
			if c.change != nil {
				c.change(d, now)
			}
			if got := ids(d.Snapshot().Ready("s")); got != c.ready {
				t.Errorf("ready %s, want %s", got, c.ready)
			}
		})
	}
}
