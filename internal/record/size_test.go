package record_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

func gobSize(t *testing.T, value any) int {
	t.Helper()
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		t.Fatal(err)
	}
	return buffer.Len()
}

// TestSizes bounds what a view costs each node and what a starting node fetches,
// at 340 nodes and with all memories full.
func TestSizes(t *testing.T) {
	var members []cluster.Node
	for i := range 340 {
		address := fmt.Sprintf("10.1.%d.%d", i/250, i%250)
		members = append(members, cluster.Node{
			ID: cluster.NodeID(fmt.Sprintf("cercado-%03d", i)), Incarnation: 1764660000000, Zone: "cercado",
			Region: "arequipa", PeerAddress: address + ":7400", ClientAddress: address + ":7401",
		})
	}
	control := record.NewControl()
	add := func(value any) {
		next := control.Offset() + 1
		id := record.ID(fmt.Sprintf("cercado-001.1764660000000.%d", next))
		control.Apply(record.Entry{Offset: next, Record: record.Record{ID: id, Body: value}})
	}
	add(record.LeaseClaimed{Duty: record.DutyView, Holder: "cercado-001", Incarnation: 1764660000000})
	view := record.ViewPublished{Epoch: 1, Members: members}
	add(view)
	add(view)
	for i := range 600 {
		add(record.StepOpened{Step: fmt.Sprintf("marker-step-%d", i), Event: "exam", Trainer: "marker", Samples: 1024})
		add(record.StepClosed{Step: fmt.Sprintf("marker-step-%d", i)})
	}
	viewBytes, snapshotBytes := gobSize(t, view), gobSize(t, control.Snapshot())
	t.Logf("view of %d members %d bytes, snapshot %d bytes", len(members), viewBytes, snapshotBytes)
	if viewBytes > 28_000 || snapshotBytes > 110_000 {
		t.Errorf("view %d bytes, snapshot %d bytes", viewBytes, snapshotBytes)
	}
}
