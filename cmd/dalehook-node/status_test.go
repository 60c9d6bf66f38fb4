package main

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dalehook/internal/nodestatus"
)

// Guards against a node of an earlier build, which reports no refused share, that looks like one that
// refuses nothing.
func TestStatusTable(t *testing.T) {
	node := func(address, service string, share float64) nodestatus.NodeResult {
		return nodestatus.NodeResult{Address: address, Status: nodestatus.Status{
			Node: "node-" + address, Build: "b1", Ready: true, Configuration: 3, ConfigurationAge: 12 * time.Millisecond, Servers: 4,
			ListAge: 250 * time.Millisecond, RefusedService: service, RefusedShare: share,
		}}
	}
	results := []nodestatus.NodeResult{
		{Address: "1", Err: errors.New("connection refused")},
		{Address: "2", Status: nodestatus.Status{Build: nodestatus.EarlierBuild, Ready: true}},
		node("3", "portal", 0.375), node("4", "bridge", 0), node("5", "", 0),
	}
	var output bytes.Buffer
	if err := writeStatus(&output, results, results); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "status", output.Bytes())
}
