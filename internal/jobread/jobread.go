// Package jobread passes reads of batch jobs on to the node that coordinates them. That node
// follows the partitions of all open jobs, so a read there costs no more than what it returns.
// Anywhere else the partition would be read from where the job begins, with other jobs'
// records.
//
// The two nodes may be of different builds. A question names the job in each way that a build
// understands, and an answer says which job was looked for: that a job is absent counts only where
// it was this one.
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

// ResultsQuestion asks for results of a job.
type ResultsQuestion struct {
	Job batch.JobKey
	// JobID is as LegacyID returns it; AskResults sets it.
	JobID string
	// From is the position of the first result wanted.
	From int
	// Wait is how long the answer may be held until there is a result.
	Wait time.Duration
	// MostBytes bounds the texts of the answer, beyond the first result.
	MostBytes int
}

// Verdict says what an answer is worth.
type Verdict int

// The verdicts.
const (
	// NotFollowed: the node does not read the job's partition, or not from where the job
	// begins, and says nothing of the job.
	NotFollowed Verdict = iota
	// Behind: the node reads the partition, but has not come far enough in time.
	Behind
	// Absent: the partition holds no such job, or the job no such item.
	Absent
	// Found: the answer holds what was asked for.
	Found
)

var verdictNames = [...]string{"not followed", "behind", "absent", "found"}

// String implements fmt.Stringer. Nodes of later builds may give verdicts that this one does not have.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

// Results are a job's results from a position on.
type Results struct {
	Verdict Verdict
	// Job is the job that the node looked for; empty in answers of nodes that do not tell.
	Job batch.JobKey
	// Total is the number of the job's items.
	Total   int
	Ended   bool
	Results []batch.Result
}

// BodyQuestion asks for the body of an item.
type BodyQuestion struct {
	Job batch.JobKey
	// JobID is as LegacyID returns it; AskBody sets it.
	JobID  string
	ItemID string
}

// Body is the body of an item that has no result yet. An item with a result, and one of a
// job that was ended, is absent.
type Body struct {
	Verdict Verdict
	// Job is the job that the node looked for; empty in answers of nodes that do not tell.
	Job   batch.JobKey
	Bytes []byte
}

// LegacyID returns the name of a job for nodes that know no tenants and look for jobs by their ids
// alone. It is empty for the jobs of a tenant, which such a node would give to everybody.
func LegacyID(job batch.JobKey) string {
	if job.Tenant != "" {
		return ""
	}
	return job.ID
}

// Understood says whether an answer with a verdict is one to a question about a job, where answered is
// the job that the answer names. A node of a build that reads the question otherwise finds no job, and
// that must not be taken for the word that there is none.
func Understood(asked, answered batch.JobKey, verdict Verdict) bool {
	return verdict != Absent || asked == answered
}

// Reader answers from what a node has read of the store.
type Reader interface {
	FollowedResults(question ResultsQuestion) Results
	FollowedBody(question BodyQuestion) Body
}

// The calls of the service.
const (
	serviceName   = "Jobs"
	methodResults = serviceName + ".Results"
	methodBody    = serviceName + ".Body"
)

type service struct{ reader Reader }

// asked returns the job that a question is about, and whether it names the job as this build does. Nodes
// that know no tenants name it by its id alone.
func asked(job batch.JobKey, legacyID string) (name batch.JobKey, whole bool) {
	if job.ID != "" {
		return job, true
	}
	return batch.JobKey{ID: legacyID}, false
}

// verdictFor returns the verdict for a node that asked for a job, by its whole name or not. One that gives the id
// alone may mean a job of a tenant, and believes that a job is absent: it is to read the store instead.
func verdictFor(verdict Verdict, whole bool) Verdict {
	if verdict == Absent && !whole {
		return NotFollowed
	}
	return verdict
}

// Register has a server answer from a reader.
func Register(server *rpc.Server, reader Reader) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{reader: reader}), "register the calls about jobs")
}

// Results answers a read of results.
func (s *service) Results(question ResultsQuestion, answer *Results) error {
	var whole bool
	question.Job, whole = asked(question.Job, question.JobID)
	*answer = s.reader.FollowedResults(question)
	answer.Job, answer.Verdict = question.Job, verdictFor(answer.Verdict, whole)
	return nil
}

// Body answers a read of an item's body.
func (s *service) Body(question BodyQuestion, answer *Body) error {
	var whole bool
	question.Job, whole = asked(question.Job, question.JobID)
	*answer = s.reader.FollowedBody(question)
	answer.Job, answer.Verdict = question.Job, verdictFor(answer.Verdict, whole)
	return nil
}

// AskResults asks the node at an address for results. The answer counts only if it is Understood.
func AskResults(ctx context.Context, address string, question ResultsQuestion) (Results, error) {
	question.JobID = LegacyID(question.Job)
	var answer Results
	err := nodecall.Call(ctx, address, methodResults, question, &answer)
	return answer, err
}

// AskBody asks the node at an address for the body of an item. The answer counts only if it is
// Understood.
func AskBody(ctx context.Context, address string, question BodyQuestion) (Body, error) {
	question.JobID = LegacyID(question.Job)
	var answer Body
	err := nodecall.Call(ctx, address, methodBody, question, &answer)
	return answer, err
}
