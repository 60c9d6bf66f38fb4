package nodestatus

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/nodecall"
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
	refused := "zero from builds that refuse nothing under overload; the node is shown without a refused share"
	wiretest.Check(t, []wiretest.Message{{Name: "status", Codec: wiretest.Gob, Value: Status{}, Added: map[string]string{
		"RefusedService": refused, "RefusedShare": refused,
	}}})
}

// Guards against nodes that refuse requests below others that are equal in all else: only the first
// nodes are shown unless all are asked for.
func TestNodesThatRefuseRequestsComeFirst(t *testing.T) {
	node := func(address string, share float64) NodeResult {
		return NodeResult{Address: address, Status: Status{Build: "b", Ready: true, RefusedService: "s", RefusedShare: share}}
	}
	results := []NodeResult{node("a", 0), node("b", 0.2), node("c", 0), node("d", 0.7)}
	sortResults(results)
	var order []string
	for _, result := range results {
		order = append(order, result.Address)
	}
	if diff := cmp.Diff([]string{"d", "b", "a", "c"}, order); diff != "" {
		t.Error(diff)
	}
}

// EarlierStatus is the status of builds without a refused share. It is exported for package rpc.
type EarlierStatus struct {
	Node, Build      string
	Ready, Leading   bool
	Configuration    int64
	ConfigurationAge time.Duration
	Servers          int
	ListAge          time.Duration
}

type earlierService struct{ status EarlierStatus }

func (s *earlierService) Status(_ Empty, status *EarlierStatus) error {
	*status = s.status
	return nil
}

// Guards against a status that cannot be read while builds are replaced, when this build's command
// queries nodes of an earlier build, and the other way round.
func TestStatusBetweenBuilds(t *testing.T) {
	earlier := EarlierStatus{Node: "n", Build: "b", Ready: true, Configuration: 3, Servers: 4, ListAge: time.Minute}
	address := nodecalltest.Serve(t, func(server *rpc.Server) error {
		return server.RegisterName(serviceName, &earlierService{status: earlier})
	})
	status, err := Query(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	current := Status{Node: "n", Build: "b", Ready: true, Configuration: 3, Servers: 4, ListAge: time.Minute}
	if diff := cmp.Diff(current, status); diff != "" {
		t.Errorf("from an earlier build: %s", diff)
	}
	current.RefusedService, current.RefusedShare = "s", 0.5
	var answered EarlierStatus
	if err := nodecall.Call(context.Background(), serve(t, fixedStatus(current)), methodStatus, Empty{}, &answered); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(earlier, answered); diff != "" {
		t.Errorf("to an earlier build: %s", diff)
	}
}
