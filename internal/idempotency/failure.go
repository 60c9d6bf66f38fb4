package idempotency

import (
	"net/http"

	"dalehook/internal/machine"
)

// step names this part of a call in errors.
const step = "at_most_once"

func failure(status int, code machine.Code, message string) machine.Failure {
	return machine.Failure{Status: status, Code: code, Message: message, Step: step, RetryAfter: retryAfter}
}

func conflict() machine.Failure {
	f := failure(http.StatusConflict, machine.CodeKeyConflict, "the key stands for another request")
	f.Field = "Idempotency-Key"
	f.RetryAfter = 0
	return f
}

func outcomeUnknown(message string) machine.Failure {
	return failure(http.StatusServiceUnavailable, machine.CodeOutcomeUnknown, message)
}

func inProgress() machine.Failure {
	return failure(http.StatusServiceUnavailable, machine.CodeInProgress, "the key's request still runs")
}

// noQuorum and memoryFull are marked as not run where the votes show it.
func noQuorum() machine.Failure {
	f := failure(http.StatusServiceUnavailable, machine.CodeNoQuorum, "no majority of the key's replicas voted in time")
	f.NotRun = true
	return f
}

func memoryFull() machine.Failure {
	f := failure(http.StatusServiceUnavailable, machine.CodeOverloaded, "the key's replicas have no room for another key")
	f.NotRun = true
	return f
}

// answerNotKept says that the request ran, and that its answer was too large.
func answerNotKept() machine.Failure {
	f := failure(http.StatusGone, machine.CodeTooLarge, "the request ran once; its answer was too large to keep")
	f.RetryAfter = 0
	return f
}

// refusedElsewhere answers a call that waited for another one of its key, whose
// caller was told that it did not run. It says nothing of whether a later call ran.
func refusedElsewhere() machine.Failure {
	return failure(http.StatusServiceUnavailable, machine.CodeOverloaded, "another call of the key was refused meanwhile")
}
