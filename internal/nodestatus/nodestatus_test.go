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

type teller Status

func (t teller) Status() Status { return Status(t) }

// serve has a node answer; without a teller it is of a build that does not have the call.
func serve(t *testing.T, teller Teller) string {
	t.Helper()
	if teller == nil {
		return nodecalltest.Serve(t)
	}
	return nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, teller) })
}

// The odd nodes come first: what is silent, not ready, of a build or a configuration that few have.
func TestAskFleet(t *testing.T) {
	usual := Status{Node: "usual", Build: "b", Ready: true, Configuration: 3, ConfigurationAge: time.Second, Servers: 4, ListAge: time.Minute}
	with := func(change func(*Status)) teller {
		status := usual
		change(&status)
		return teller(status)
	}
	addresses := []string{
		serve(t, teller(usual)), serve(t, teller(usual)), serve(t, teller(usual)), serve(t, teller(usual)),
		serve(t, with(func(s *Status) { s.Node, s.Configuration = "behind", 2 })),
		serve(t, nil), serve(t, nil),
		serve(t, with(func(s *Status) { s.Node, s.Build = "other build", "a" })),
		serve(t, with(func(s *Status) { s.Node, s.Ready = "not ready", false })),
		"127.0.0.1:1",
	}
	var order []string
	for _, line := range AskFleet(context.Background(), addresses) {
		switch {
		case line.Err != nil:
			order = append(order, "silent")
		case line.Build == NoBuild:
			order = append(order, NoBuild)
		default:
			order = append(order, line.Node)
		}
	}
	want := []string{"silent", "not ready", "other build", NoBuild, NoBuild, "behind", "usual", "usual", "usual", "usual"}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Error(diff)
	}
}

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{{Name: "status", Codec: wiretest.Gob, Value: Status{}}})
}
