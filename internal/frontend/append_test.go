package frontend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dalehook/internal/drain"
	"dalehook/internal/joblog"
	"dalehook/internal/store/storetest"
)

// ends is when the request of a test ends, so long after its append began.
const ends = 300 * time.Millisecond

// answersWithin is how long a handler that a stop has told to end has for its answer (drain.lastAnswerTime).
const answersWithin = 200 * time.Millisecond

// A submission that is under way when a planned stop has no more time is answered, as one that may have been
// carried out; one whose caller has left goes on.
//
// Seen: none; by a review. The connection was closed under its caller without an answer.
// Cause: an append waits for the store for 0.7 s whatever becomes of the request, and a stop waits for 0.2 s.
func TestASubmissionInTheLastMomentOfAStopIsAnswered(t *testing.T) {
	cases := []struct {
		name  string
		cause error
		// least and most bound the time from the beginning to the verdict.
		least, most time.Duration
	}{
		{"the stop has no more time", drain.ErrTimeUp, 0, ends + answersWithin},
		{"the caller has left", context.Canceled, appendTimeout, appendTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := storetest.NewMemory()
				log.SetFault(storetest.FaultSilent)
				n := &Node{logger: zap.NewNop(), jobs: joblog.NewLogs(joblog.Options{Log: log, Partitions: 1, Logger: zap.NewNop()})}
				ctx, end := context.WithCancelCause(t.Context())
				began := time.Now()
				time.AfterFunc(ends, func() { end(c.cause) })
				verdict := n.append(ctx, "job", [][]byte{[]byte("record")})
				took := time.Since(began)
				if verdict != VerdictUnknown {
					t.Errorf("verdict %s", verdict)
				}
				if took < c.least || took > c.most {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}
