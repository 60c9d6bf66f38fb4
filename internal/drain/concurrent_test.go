package drain

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// Guards against one of several concurrent drains lasting until its timeout although no connection is
// left: a closed connection woke only one of the waiting drains. All of them must end soon after the
// last connection is closed.
func TestConcurrentDrainsEndTogether(t *testing.T) {
	const drains = 4
	s := startServer(t)
	client, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	began := time.Now()
	var waiting conc.WaitGroup
	for range drains {
		waiting.Go(func() { s.Drain(ctx) })
	}
	waiting.Wait()
	if took := time.Since(began); took > stepTimeout/2 {
		t.Errorf("the drains took %v", took)
	}
}
