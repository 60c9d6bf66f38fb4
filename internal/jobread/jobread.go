// Package jobread passes reads of batch jobs on to the node that coordinates them. That node
// follows the partitions of all open jobs, so a read there costs no more than what it returns.
// Anywhere else the partition would be read from where the job begins, with other jobs'
// records.
package jobread

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/batch"
	"dalehook/internal/nodecall"
)

// ResultsQuestion asks for results of a job.
type ResultsQuestion struct {
	Job batch.Name
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

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"not followed", "behind", "absent", "found"}[v]
}

// Results are a job's results from a position on.
type Results struct {
	Verdict Verdict
	// Total is the number of the job's items.
	Total   int
	Ended   bool
	Results []batch.Result
}

// BodyQuestion asks for the body of an item.
type BodyQuestion struct {
	Job    batch.Name
	ItemID string
}

// Body is the body of an item that has no result yet. An item with a result, and one of a
// job that was ended, is absent.
type Body struct {
	Verdict Verdict
	Bytes   []byte
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

// Register has a server answer from a reader.
func Register(server *rpc.Server, reader Reader) error {
	return eris.Wrap(server.RegisterName(serviceName, &service{reader: reader}), "register the calls about jobs")
}

// Results answers a read of results.
func (s *service) Results(question ResultsQuestion, answer *Results) error {
	*answer = s.reader.FollowedResults(question)
	return nil
}

// Body answers a read of an item's body.
func (s *service) Body(question BodyQuestion, answer *Body) error {
	*answer = s.reader.FollowedBody(question)
	return nil
}

// AskResults asks the node at an address for results.
func AskResults(ctx context.Context, address string, question ResultsQuestion) (Results, error) {
	var answer Results
	err := nodecall.Call(ctx, address, methodResults, question, &answer)
	return answer, err
}

// AskBody asks the node at an address for the body of an item.
func AskBody(ctx context.Context, address string, question BodyQuestion) (Body, error) {
	var answer Body
	err := nodecall.Call(ctx, address, methodBody, question, &answer)
	return answer, err
}
