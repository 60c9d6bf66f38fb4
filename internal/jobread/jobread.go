// Package jobread forwards reads of batch jobs to the coordinator. The coordinator
// follows the partitions of all open jobs, so a read there costs only what it returns.
// Any other node would read the partition from the start of the job, including other jobs'
// records.
//
// The two nodes may run different builds. A request names the job in every form that a build
// may expect, and an answer names the job that was looked up: a report that a job is absent
// counts only if it names the requested job.
package jobread

import (
	"context"
	"fmt"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/batch"
	"dalehook/internal/nodecall"
)

// ResultsRequest requests results of a job.
type ResultsRequest struct {
	Job batch.JobKey
	// JobID is the job's LegacyID; RequestResults sets it.
	JobID string
	// From is the position of the first requested result.
	From int
	// Wait is how long the answer may be delayed until there is a result.
	Wait time.Duration
	// MostBytes bounds the size of the answer's texts; the first result is always included.
	MostBytes int
}

// Verdict is the kind of an answer.
type Verdict int

// The verdicts.
const (
	// NotFollowed: the node does not read the job's partition, or not from the start of the
	// job, and can not answer.
	NotFollowed Verdict = iota
	// Behind: the node reads the partition but did not catch up in time.
	Behind
	// Absent: the partition holds no such job, or the job no such item.
	Absent
	// Found: the answer holds the requested data.
	Found
)

var verdictNames = [...]string{"not followed", "behind", "absent", "found"}

// String implements fmt.Stringer. Nodes of later builds may send verdicts that this build does not know.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

// Results holds a job's results from a position.
type Results struct {
	Verdict Verdict
	// Job is the job that the node looked up; empty in answers from builds without this field.
	Job batch.JobKey
	// Total is the number of the job's items.
	Total   int
	Ended   bool
	Results []batch.Result
}

// BodyRequest requests the body of an item.
type BodyRequest struct {
	Job batch.JobKey
	// JobID is the job's LegacyID; RequestBody sets it.
	JobID  string
	ItemID string
}

// Body holds the body of an item that has no result yet. An item that has a result or whose
// job has ended is absent.
type Body struct {
	Verdict Verdict
	// Job is the job that the node looked up; empty in answers from builds without this field.
	Job   batch.JobKey
	Bytes []byte
}

// LegacyID returns the ID of a job for builds without tenants, which look up jobs by ID only. It is
// empty for a tenant's job, which such a node would return to any caller.
func LegacyID(job batch.JobKey) string {
	if job.Tenant != "" {
		return ""
	}
	return job.ID
}

// Conclusive reports whether an answer with a verdict is valid for the requested job, where answered is
// the job that the answer names. A build that interprets the request differently finds no job, which
// must not be taken as proof that the requested job is absent.
func Conclusive(requested, answered batch.JobKey, verdict Verdict) bool {
	return verdict != Absent || requested == answered
}

// Reader answers requests from the job state that a node follows.
type Reader interface {
	FollowedResults(request ResultsRequest) Results
	FollowedBody(request BodyRequest) Body
}

// Names of the RPC service and its methods.
const (
	serviceName   = "Jobs"
	methodResults = serviceName + ".Results"
	methodBody    = serviceName + ".Body"
)

type service struct{ reader Reader }

// requestedJob returns the job that a request names, and whether it is named in full. Builds without
// tenants name it by ID only.
func requestedJob(job batch.JobKey, legacyID string) (name batch.JobKey, fullName bool) {
	if job.ID != "" {
		return job, true
	}
	return batch.JobKey{ID: legacyID}, false
}

// verdictFor returns the verdict to send to a caller that named a job in full or by ID only. A caller that names
// the ID only may mean a tenant's job and would accept Absent as final, so it must read the store instead.
func verdictFor(verdict Verdict, fullName bool) Verdict {
	if verdict == Absent && !fullName {
		return NotFollowed
	}
	return verdict
}

// Register registers the job read service on a server, with answers from a reader.
func Register(server *rpc.Server, reader Reader) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{reader: reader}), "register the job read service")
}

// Results answers a ResultsRequest.
func (s *service) Results(request ResultsRequest, answer *Results) error {
	var fullName bool
	request.Job, fullName = requestedJob(request.Job, request.JobID)
	*answer = s.reader.FollowedResults(request)
	answer.Job, answer.Verdict = request.Job, verdictFor(answer.Verdict, fullName)
	return nil
}

// Body answers a BodyRequest.
func (s *service) Body(request BodyRequest, answer *Body) error {
	var fullName bool
	request.Job, fullName = requestedJob(request.Job, request.JobID)
	*answer = s.reader.FollowedBody(request)
	answer.Job, answer.Verdict = request.Job, verdictFor(answer.Verdict, fullName)
	return nil
}

// RequestResults requests results from the node at an address. The answer counts only if it is Conclusive.
func RequestResults(ctx context.Context, address string, request ResultsRequest) (Results, error) {
	request.JobID = LegacyID(request.Job)
	var answer Results
	err := nodecall.Call(ctx, address, methodResults, request, &answer)
	return answer, err
}

// RequestBody requests the body of an item from the node at an address. The answer counts only if it is
// Conclusive.
func RequestBody(ctx context.Context, address string, request BodyRequest) (Body, error) {
	request.JobID = LegacyID(request.Job)
	var answer Body
	err := nodecall.Call(ctx, address, methodBody, request, &answer)
	return answer, err
}
