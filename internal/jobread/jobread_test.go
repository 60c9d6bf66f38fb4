package jobread

import (
	"context"
	"net/rpc"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/batch"
	"dalehook/internal/nodecall/nodecalltest"
)

// echoReader returns values from the request.
type echoReader struct{}

func (echoReader) FollowedResults(request ResultsRequest) Results {
	return Results{
		Verdict: Found, Total: request.From, Ended: true,
		Results: []batch.Result{{JobID: request.Job.ID, ItemID: "item", Outcome: batch.OutcomeDead, Text: "text", Versions: []int64{1, 2}, Score: "score"}},
	}
}

func (echoReader) FollowedBody(request BodyRequest) Body {
	return Body{Verdict: Absent, Bytes: []byte(request.Job.ID + request.ItemID)}
}

// Answers are transferred without loss and name the job that was looked up.
func TestAnswersArriveComplete(t *testing.T) {
	address := nodecalltest.Serve(t, func(server *rpc.Server) error { return Register(server, echoReader{}) })
	request := ResultsRequest{Job: batch.JobKey{ID: "job"}, From: 7}
	results, err := RequestResults(context.Background(), address, request)
	want := echoReader{}.FollowedResults(request)
	want.Job = request.Job
	if diff := cmp.Diff(want, results); err != nil || diff != "" {
		t.Errorf("results: %v, %s", err, diff)
	}
	body, err := RequestBody(context.Background(), address, BodyRequest{Job: batch.JobKey{ID: "job"}, ItemID: "item"})
	if diff := cmp.Diff(Body{Verdict: Absent, Job: batch.JobKey{ID: "job"}, Bytes: []byte("jobitem")}, body); err != nil || diff != "" {
		t.Errorf("body: %v, %s", err, diff)
	}
}
