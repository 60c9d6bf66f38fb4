package explain

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Log messages and reasons that refusals are explained by, as package gateway logs them. They are part of
// the format of logs, which may be those of other builds.
const (
	messageRequestAnswered = "request answered"
	messageOverload        = "requests refused under overload"

	reasonOverloaded  = "overloaded"
	reasonTooLate     = "too late"
	reasonRetryBudget = "retry budget"
)

// maxOverloadDistance is the largest time between a refusal and a line about its service's overload
// that is shown with it. A node logs such a line at most once a second while it refuses requests.
const maxOverloadDistance = 2 * time.Second

// Refusal is a refused request with the log entries that explain the refusal.
type Refusal struct {
	// Answer is the entry about the response that refused the request.
	Answer Entry
	// Overload is the entry about the overload of the request's service that is nearest in time at the
	// same node; nil if there is none within maxOverloadDistance.
	Overload *Entry
}

// refusalsOf returns the refusals among the entries about an ID; entries holds those of all logs.
func refusalsOf(answers, entries []Entry) []Refusal {
	var refusals []Refusal
	for _, answer := range answers {
		if answer.isRefusal() {
			refusals = append(refusals, Refusal{Answer: answer, Overload: nearestOverload(answer, entries)})
		}
	}
	return refusals
}

// isRefusal reports whether the entry is about a request that was refused for a reason that this
// package knows, or with a logged Retry-After.
func (e Entry) isRefusal() bool {
	if e.Message != messageRequestAnswered || e.intField("status") != http.StatusServiceUnavailable {
		return false
	}
	return e.isUnderOverload() || e.intField("retry_after") > 0
}

// isUnderOverload reports whether the entry's reason is one of those that protect a loaded service.
func (e Entry) isUnderOverload() bool {
	switch e.stringField("reason") {
	case reasonOverloaded, reasonTooLate, reasonRetryBudget:
		return true
	}
	return false
}

func nearestOverload(answer Entry, entries []Entry) *Entry {
	var nearest *Entry
	nearestDistance := maxOverloadDistance
	for i, entry := range entries {
		if entry.Message != messageOverload || entry.Source != answer.Source || entry.stringField("service") != answer.stringField("service") {
			continue
		}
		if distance := entry.Time.Sub(answer.Time).Abs(); distance < nearestDistance || nearest == nil && distance == nearestDistance {
			nearest, nearestDistance = &entries[i], distance
		}
	}
	return nearest
}

func writeRefusals(w io.Writer, refusals []Refusal) error {
	if len(refusals) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, "why it was refused"); err != nil {
		return err
	}
	for _, refusal := range refusals {
		if _, err := fmt.Fprintf(w, "  %s  %s\n", refusal.Answer.Time.Format(clockLayout), strings.Join(refusal.sentences(), "\n                ")); err != nil {
			return err
		}
	}
	return nil
}

// sentences returns the reason of the refusal, the inputs of the decision, and the Retry-After.
func (r Refusal) sentences() []string {
	sentences := []string{r.cause()}
	if _, logged := r.Answer.Fields["refused_share"]; logged {
		sentences = append(sentences, fmt.Sprintf("The node refused %s of the requests to %s.", formatShare(r.Answer), r.Answer.stringField("service")))
	}
	if r.Answer.isUnderOverload() || r.Overload != nil {
		sentences = append(sentences, r.overloadState())
	}
	return append(sentences, r.retryTime())
}

func (r Refusal) cause() string {
	service := r.Answer.stringField("service")
	switch reason := r.Answer.stringField("reason"); reason {
	case reasonOverloaded:
		return fmt.Sprintf("Overloaded: %s had more requests than it could serve, and %s.", service, r.Answer.describeAttempts())
	case reasonTooLate:
		return fmt.Sprintf("Too late: %d ms after its arrival, it had less time left than the fastest recent answer of route %s at %s took, and %s.",
			r.Answer.intField("took"), r.Answer.stringField("route"), service, r.Answer.describeAttempts())
	case reasonRetryBudget:
		return fmt.Sprintf("Retry budget: the node's budget for more attempts at %s was spent, and %s.", service, r.Answer.describeAttempts())
	default:
		return fmt.Sprintf("Another reason than overload: %s.", reason)
	}
}

// describeAttempts says which servers rejected the refused request.
func (e Entry) describeAttempts() string {
	servers, _ := e.Fields["servers"].([]any)
	if len(servers) == 0 {
		return "the request was not sent"
	}
	names := make([]string, len(servers))
	for i, server := range servers {
		names[i] = fmt.Sprint(server)
	}
	return fmt.Sprintf("the request did not run at %s", strings.Join(names, ", "))
}

// overloadState describes the service's load as the node saw it.
func (r Refusal) overloadState() string {
	if r.Overload == nil {
		return fmt.Sprintf("No line of the node about an overload of %s is within %v.", r.Answer.stringField("service"), maxOverloadDistance)
	}
	line := *r.Overload
	utilization := "not stated by the servers"
	if value, logged := line.Fields["utilization"].(float64); logged && value >= 0 {
		utilization = fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("Each second: %.1f offered, %.1f accepted, %.1f refused (%s). Utilization: %s. Evidence: %s, %d ms old. (Line of %s.)",
		line.floatField("offered"), line.floatField("accepted"), line.floatField("refused"), formatShare(line), utilization,
		formatEvidence(line.stringField("evidence")), line.intField("evidence_age"), line.Time.Format(clockLayout))
}

// formatEvidence describes a kind of evidence of overload.
func formatEvidence(evidence string) string {
	switch evidence {
	case "":
		return "none logged"
	case "rejected":
		return "a server rejected a request"
	case "queue":
		return "a server's queue made the next request late"
	default:
		return evidence
	}
}

// retryTime describes the Retry-After of the response.
func (r Refusal) retryTime() string {
	if _, logged := r.Answer.Fields["retry_after"]; !logged {
		return "The log does not say when the caller was told to come back."
	}
	retryAfter := time.Duration(r.Answer.intField("retry_after")) * time.Millisecond
	return fmt.Sprintf("The caller was told to come back after %d ms, at %s.", retryAfter.Milliseconds(), r.Answer.Time.Add(retryAfter).Format(clockLayout))
}

func (e Entry) floatField(field string) float64 {
	number, _ := e.Fields[field].(float64)
	return number
}

// formatShare formats the refused share of an entry as a percentage.
func formatShare(entry Entry) string {
	return fmt.Sprintf("%.1f%%", 100*entry.floatField("refused_share"))
}
