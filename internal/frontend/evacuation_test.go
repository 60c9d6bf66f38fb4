package frontend

import (
	"testing"

	"go.uber.org/zap"

	"dalehook/internal/directory"
)

// Servers of an evacuated zone take no new work, whether they were listed before or join later,
// until the evacuation is cancelled.
func TestEvacuatedZoneTakesNoWork(t *testing.T) {
	list := directory.NewDirectory()
	put := func(id, zone string) {
		server := directory.Server{ID: id, Service: "s", Zone: zone}
		list.Apply([]directory.Change{{ID: id, Server: &server}})
	}
	changes := 0
	zones := evacuatedZones{directory: list, onChange: func() { changes++ }, logger: zap.NewNop()}
	put("a", "north")
	put("b", "south")
	steps := []struct {
		name  string
		do    func()
		ready int
	}{
		{"before", func() {}, 2},
		{"evacuated", func() { zones.set("north", true) }, 1},
		{"a server joins the zone", func() { put("c", "north") }, 1},
		{"evacuated twice", func() { zones.set("north", true) }, 1},
		{"full read with the evacuation", func() { zones.clear(); zones.set("north", true) }, 1},
		{"cancelled", func() { zones.set("north", false) }, 3},
		{"evacuated again", func() { zones.set("north", true) }, 1},
		{"full read without the evacuation", func() { zones.clear() }, 3},
	}
	for _, step := range steps {
		step.do()
		zones.apply()
		if got := len(list.Snapshot().Ready("s")); got != step.ready {
			t.Errorf("%s: %d servers take work, want %d", step.name, got, step.ready)
		}
	}
	if changes != 4 {
		t.Errorf("onChange called %d times, want 4", changes)
	}
	if listed := list.Snapshot().Count(); listed != 3 {
		t.Errorf("%d servers listed", listed)
	}
}
