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

// requestLifetime is the time from the start of the append to the end of the test's request.
const requestLifetime = 300 * time.Millisecond

// lastAnswerTime is how long a handler has for its answer after the drain deadline has cancelled it
// (drain.lastAnswerTime).
const lastAnswerTime = 200 * time.Millisecond

// A submission in flight when the drain deadline expires is answered with VerdictUnknown; one whose
// caller has disconnected goes on.
//
// Found by review: an append waits up to 0.7 s for the store even if its request has ended, while
// the drain waits 0.2 s for answers, so the connection was closed without an answer.
func TestSubmissionIsAnsweredWhenTheDrainDeadlineExpires(t *testing.T) {
	cases := []struct {
		name  string
		cause error
		// least and most bound the time from the start to the verdict.
		least, most time.Duration
	}{
		{"the drain deadline expires", drain.ErrDrainTimeout, 0, requestLifetime + lastAnswerTime},
		{"the caller disconnects", context.Canceled, appendTimeout, appendTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := storetest.NewMemory()
				log.SetFault(storetest.FaultSilent)
				n := &Node{logger: zap.NewNop(), jobLogs: joblog.NewLogs(joblog.Options{Log: log, Partitions: 1, Logger: zap.NewNop()})}
				ctx, end := context.WithCancelCause(t.Context())
				began := time.Now()
				time.AfterFunc(requestLifetime, func() { end(c.cause) })
				verdict := n.appendRecords(ctx, "job", [][]byte{[]byte("record")})
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
