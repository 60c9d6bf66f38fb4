package drain

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// Seen: of two drains at once one lasts until its time is up, though no connection is left. The
// cause: the end of a connection woke one of those that wait. The proof: both have ended
// soon after the last connection.
func TestDrainsBesideEachOtherEndTogether(t *testing.T) {
	const drains = 4
	s := start(t)
	caller, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stepTime)
	defer cancel()
	began := time.Now()
	var waiting conc.WaitGroup
	for range drains {
		waiting.Go(func() { s.Drain(ctx) })
	}
	waiting.Wait()
	if took := time.Since(began); took > stepTime/2 {
		t.Errorf("the drains take %v", took)
	}
}
