package frontend

import (
	"context"
	"testing"
	"time"

	"dalehook/internal/batch"
	"dalehook/internal/jobread"
	"dalehook/internal/nodecall"
	"dalehook/internal/nodecall/nodecalltest"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// Guards against wrong 404 answers during rolling upgrades. Nodes forward reads to the coordinator
// as gob. The earlier build's request identified the job by JobID, the later one's by Job with a
// tenant and an id. Since gob drops unknown fields and leaves missing ones zero, a coordinator of
// the other build looked up a job with an empty name and reported it as absent, and the asking node
// believed it. Two real programs gave 206 and 219 such answers, one count for each order of the
// upgrade, and none where both builds identify the job alike. The cases below ask and answer as the
// earlier build did.

// EarlierResultsQuestion and EarlierBodyQuestion are the questions of builds without tenants.
type EarlierResultsQuestion struct {
	JobID     string
	From      int
	Wait      time.Duration
	MostBytes int
}

type EarlierBodyQuestion struct{ JobID, ItemID string }

// earlierCoordinator answers as a coordinator of such a build that follows one job.
type earlierCoordinator struct{ job string }

func (c *earlierCoordinator) Results(request EarlierResultsQuestion, answer *jobread.Results) error {
	*answer = jobread.Results{Verdict: jobread.Absent}
	if request.JobID == c.job {
		*answer = jobread.Results{Verdict: jobread.Found, Total: 1, Results: []batch.Result{{JobID: c.job, ItemID: c.job + "-0", Text: "text"}}}
	}
	return nil
}

func (c *earlierCoordinator) Body(request EarlierBodyQuestion, answer *jobread.Body) error {
	*answer = jobread.Body{Verdict: jobread.Absent}
	if request.JobID == c.job && request.ItemID == c.job+"-1" {
		*answer = jobread.Body{Verdict: jobread.Found, Bytes: []byte("body")}
	}
	return nil
}

// appendJobOf appends a tenant's job with two items, the first of which has a result.
func appendJobOf(t *testing.T, memory *storetest.Memory, name batch.JobKey) {
	t.Helper()
	items := []batch.Item{{ID: name.ID + "-0"}, {ID: name.ID + "-1", Body: []byte("body")}}
	records, err := batch.EncodeJob(&batch.Job{ID: name.ID, Tenant: name.Tenant, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	result, err := batch.EncodeResult(&batch.Result{JobID: name.ID, ItemID: items[0].ID, Text: "text"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Append(context.Background(), store.Partition{Topic: store.TopicJobs}, append(records, result...)); err != nil {
		t.Fatal(err)
	}
	appendIndex(t, memory, name.ID, 0)
}

// Nodes and coordinators of two builds read each other's jobs, and never report a job as absent
// because they didn't understand which one was asked for.
func TestJobsAreReadBetweenBuilds(t *testing.T) {
	ctx := context.Background()
	for _, name := range []batch.JobKey{{ID: "job"}, {Tenant: "tenant", ID: "job"}} {
		memory := storetest.NewMemory()
		appendJobOf(t, memory, name)
		t.Run("this build asks a coordinator of the earlier one, tenant "+name.Tenant, func(t *testing.T) {
			for what, coordinator := range map[string]*earlierCoordinator{"follows the job": {job: name.ID}, "does not know the job": {job: "other"}} {
				node := newReaderNode(t, memory)
				node.observeCoordinator(false, nodecalltest.Serve(t, nodecalltest.WithService("Jobs", coordinator)))
				if _, results, verdict := node.results(ctx, name, 0, 0); verdict != VerdictDone || len(results) != 1 {
					t.Errorf("%s: %v, %d results", what, verdict, len(results))
				}
				if body, verdict := node.itemBody(ctx, name, "job-1"); verdict != VerdictDone || string(body) != "body" {
					t.Errorf("%s: body %q, %v", what, body, verdict)
				}
				if _, _, verdict := node.results(ctx, batch.JobKey{Tenant: "stranger", ID: name.ID}, 0, 0); verdict == VerdictDone {
					t.Errorf("%s: another tenant is given the results", what)
				}
			}
		})
		t.Run("a node of the earlier build asks a coordinator of this one, tenant "+name.Tenant, func(t *testing.T) {
			coordinator := newReaderNode(t, memory)
			coordinator.jobLogs.Subscribe(ctx, 0, subscriber{})
			address := serve(t, coordinator)
			// A job without a tenant is returned. A job with a tenant is not, since the request
			// doesn't say on whose behalf it is asked.
			want := jobread.Found
			if name.Tenant != "" {
				want = jobread.NotFollowed
			}
			for _, job := range []string{name.ID, "no such job"} {
				var results jobread.Results
				err := nodecall.Call(ctx, address, "Jobs.Results", EarlierResultsQuestion{JobID: job, MostBytes: 1 << 10}, &results)
				if job != name.ID {
					want = jobread.NotFollowed
				}
				if err != nil || results.Verdict != want {
					t.Errorf("results of %s: %v, %v", job, results.Verdict, err)
				}
				var body jobread.Body
				err = nodecall.Call(ctx, address, "Jobs.Body", EarlierBodyQuestion{JobID: job, ItemID: "job-1"}, &body)
				if err != nil || body.Verdict != want {
					t.Errorf("body of %s: %v, %v", job, body.Verdict, err)
				}
			}
		})
	}
}
