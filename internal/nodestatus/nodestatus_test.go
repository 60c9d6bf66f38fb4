package nodestatus

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/wiretest"
)

type fixedStatus Status

func (t fixedStatus) Status() Status { return Status(t) }

// serve starts a node that serves its status; with a nil source it serves no such call, as an
// earlier build.
func serve(t *testing.T, source Source) string {
	t.Helper()
	if source == nil {
		return nodecalltest.Serve(t)
	}
	return nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, source) })
}

// Unusual nodes come first: those that don't answer, aren't ready, or have a rare build or
// configuration.
func TestQueryFleet(t *testing.T) {
	usual := Status{Node: "usual", Build: "b", Ready: true, Configuration: 3, ConfigurationAge: time.Second, Servers: 4, ListAge: time.Minute}
	with := func(change func(*Status)) fixedStatus {
		status := usual
		change(&status)
		return fixedStatus(status)
	}
	addresses := []string{
		serve(t, fixedStatus(usual)), serve(t, fixedStatus(usual)), serve(t, fixedStatus(usual)), serve(t, fixedStatus(usual)),
		serve(t, with(func(s *Status) { s.Node, s.Configuration = "behind", 2 })),
		serve(t, nil), serve(t, nil),
		serve(t, with(func(s *Status) { s.Node, s.Build = "other build", "a" })),
		serve(t, with(func(s *Status) { s.Node, s.Ready = "not ready", false })),
		"127.0.0.1:1",
	}
	var order []string
	for _, result := range QueryFleet(context.Background(), addresses) {
		switch {
		case result.Err != nil:
			order = append(order, "silent")
		case result.Build == EarlierBuild:
			order = append(order, EarlierBuild)
		default:
			order = append(order, result.Node)
		}
	}
	want := []string{"silent", "not ready", "other build", EarlierBuild, EarlierBuild, "behind", "usual", "usual", "usual", "usual"}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Error(diff)
	}
}

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{{Name: "status", Codec: wiretest.Gob, Value: Status{}}})
}
