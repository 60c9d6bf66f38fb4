package jobread

import (
	"context"
	"net/rpc"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/nodecall/nodecalltest"
)

// reader answers with what it was asked for.
type reader struct{}

func (reader) FollowedResults(question ResultsQuestion) Results {
	return Results{
		Verdict: Found, Total: question.From, Ended: true,
		Results: []batch.Result{{JobID: question.Job.ID, ItemID: "item", Outcome: batch.OutcomeDead, Text: "text", Versions: []int64{1, 2}, Score: "score"}},
	}
}

func (reader) FollowedBody(question BodyQuestion) Body {
	return Body{Verdict: Absent, Bytes: []byte(question.Job.ID + question.ItemID)}
}

// What a node answers arrives whole at the node that asks, with the job that it looked for.
func TestAnswersArriveWhole(t *testing.T) {
	address := nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, reader{}) })
	asked := ResultsQuestion{Job: batch.JobKey{ID: "job"}, From: 7}
	results, err := AskResults(context.Background(), address, asked)
	want := reader{}.FollowedResults(asked)
	want.Job = asked.Job
	if diff := cmp.Diff(want, results); err != nil || diff != "" {
		t.Errorf("results: %v, %s", err, diff)
	}
	body, err := AskBody(context.Background(), address, BodyQuestion{Job: batch.JobKey{ID: "job"}, ItemID: "item"})
	if diff := cmp.Diff(Body{Verdict: Absent, Job: batch.JobKey{ID: "job"}, Bytes: []byte("jobitem")}, body); err != nil || diff != "" {
		t.Errorf("body: %v, %s", err, diff)
	}
}
