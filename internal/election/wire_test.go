package election

import (
	"testing"

	"dalehook/internal/wiretest"
)

func TestWire(t *testing.T) {
	wiretest.Check(t, []wiretest.Message{{Name: "entry", Codec: wiretest.JSON, Value: entry{}, Added: map[string]string{
		"News": "nil from builds that tell nothing: each node reads the topic itself; builds that leave it unread do so anyway",
		"Asks": "false from builds that may not ask their predecessors for what they leave; those give their runs up early",
	}}})
}
