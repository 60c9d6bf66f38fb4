package roundtrip

import (
	"fmt"
	"net/http"
)

// ForeignResponseError means that the response received in the place of the one to a request names another
// request, or none. A server may send a second copy of an earlier response late. Such a response says nothing
// about the request: the server may be executing it.
type ForeignResponseError struct {
	// RequestID is the ID of the request and ResponseID the one that the response names; either may be empty.
	RequestID, ResponseID string
	// Status is the status of the response.
	Status int
}

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("response to another request: status %d for %q in place of %q", e.Status, e.ResponseID, e.RequestID)
}

// requestID returns the ID that a request states, empty if it states none or if responses name none.
func (t *Transport) requestID(r Request) string {
	if t.idHeader == "" {
		return ""
	}
	return r.Headers.Get(t.idHeader)
}

// checkResponseID returns a ForeignResponseError unless a response names the request with an ID.
func (t *Transport) checkResponseID(response *http.Response, id string) error {
	if t.idHeader == "" {
		return nil
	}
	if named := response.Header.Get(t.idHeader); named != id {
		return &ForeignResponseError{RequestID: id, ResponseID: named, Status: response.StatusCode}
	}
	return nil
}
