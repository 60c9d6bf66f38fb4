package frontend

import (
	"testing"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/fanout"
	"dalehook/internal/serverlist"
	"dalehook/internal/store"
)

// A coordinator tells the others how far the operator's topic goes in a large fleet alone, and not where nodes refuse
// keys that they are not sure of.
func TestCoordinatorAnnouncesOnlyInLargeFleets(t *testing.T) {
	cases := []struct {
		name              string
		servers           int
		failClosed, knows bool
		tells             bool
	}{
		{"a large fleet", serverlist.DefaultLargeFleetSize, false, true, true},
		{"a small fleet", serverlist.DefaultLargeFleetSize - 1, false, true, false},
		{"a large fleet with fail_closed", serverlist.DefaultLargeFleetSize, true, true, false},
		{"a coordinator that has not read the topic", serverlist.DefaultLargeFleetSize, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := directory.NewDirectory()
			for number := range c.servers {
				server := directory.Server{ID: string(rune('a' + number)), Service: "s"}
				list.Apply([]directory.Change{{ID: server.ID, Server: &server}})
			}
			n := &Node{options: Options{Settings: &Settings{}}, servers: serverlist.New(serverlist.Options{Directory: list}), operatorCache: fanout.NewCache()}
			n.options.Settings.Access.FailClosed = c.failClosed
			if c.knows {
				n.operatorCache.Update([]store.Record{{Offset: 6, Key: "config", Value: make([]byte, fanout.LargeBytes)}}, true, 7)
				n.operatorCache.MarkUpToDate(clock.Now())
			}
			announcement := n.operatorAnnouncement()
			if (announcement != nil) != c.tells {
				t.Fatalf("%+v", announcement)
			}
			if announcement != nil && (announcement.Next != 7 || announcement.Large != 7 || announcement.AgeMs < 1) {
				t.Errorf("%+v", announcement)
			}
		})
	}
}
