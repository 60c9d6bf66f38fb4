package roundtrip

import (
	"errors"
	"net/http"

	"dalehook/internal/bytebudget"
)

// ErrTooLong is the error of a body that is longer than the reader accepts.
var ErrTooLong = errors.New("body is too long")

// ReadAll reads the body of a response to its end, and returns ErrTooLong once it has limit bytes. The caller must
// close the body; the rest is not read, so that its connection is closed too.
func ReadAll(response *http.Response, limit int64) ([]byte, error) {
	var unbounded *bytebudget.Reservation // the limit is the only bound
	content, ended, err := unbounded.ReadAll(response.Body, response.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	if !ended {
		return nil, ErrTooLong
	}
	return content, nil
}
