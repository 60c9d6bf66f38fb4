package frontend

import (
	"testing"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/fanout"
	"dalehook/internal/serverlist"
	"dalehook/internal/store"
)

// A coordinator announces how far the operator topic goes only in a large fleet, and not with
// fail_closed.
func TestCoordinatorAnnouncesOnlyInLargeFleets(t *testing.T) {
	cases := []struct {
		name              string
		servers           int
		failClosed, knows bool
		tells             bool
	}{
		{"a large fleet", serverlist.DefaultLargeFleet, false, true, true},
		{"a small fleet", serverlist.DefaultLargeFleet - 1, false, true, false},
		{"a large fleet with fail_closed", serverlist.DefaultLargeFleet, true, true, false},
		{"a coordinator that has not read the topic", serverlist.DefaultLargeFleet, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := directory.NewDirectory()
			for number := range c.servers {
				server := directory.Server{ID: string(rune('a' + number)), Service: "s"}
				list.Apply([]directory.Change{{ID: server.ID, Server: &server}})
			}
			n := &Node{options: Options{Settings: &Settings{}}, servers: serverlist.New(serverlist.Options{Directory: list}), operatorSource: fanout.NewSource()}
			n.options.Settings.Access.FailClosed = c.failClosed
			if c.knows {
				n.operatorSource.Take([]store.Record{{Offset: 6, Key: "config", Value: make([]byte, fanout.LargeBytes)}}, true, 7)
				n.operatorSource.NoteAsked(clock.Now())
			}
			news := n.operatorNews()
			if (news != nil) != c.tells {
				t.Fatalf("%+v", news)
			}
			if news != nil && (news.Next != 7 || news.Large != 7 || news.AgeMs < 1) {
				t.Errorf("%+v", news)
			}
		})
	}
}
