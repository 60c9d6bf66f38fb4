package roundtrip

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"dalehook/internal/bytebudget"
)

// ErrTooLong is the error of a body that is longer than the reader accepts.
var ErrTooLong = eris.New("body is too long")

// ReadAll reads the body of a response to its end, and returns ErrTooLong once it exceeds limit bytes. The caller must
// close the body; the rest is not read, so that its connection is closed too. One without end takes little more than the
// limit, since its pieces are not copied before it has ended.
func ReadAll(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, ErrTooLong
	}
	var unbounded *bytebudget.Reservation
	pieces, ended, err := unbounded.ReadPieces(response.Body, response.ContentLength, limit+1)
	switch {
	case err != nil:
		return nil, err
	case !ended:
		return nil, ErrTooLong
	case len(pieces) == 1:
		return pieces[0], nil
	}
	return slices.Concat(pieces...), nil
}

// maxUnusedBytes bounds a body of which nothing is used.
const maxUnusedBytes = 64 << 10

// ReadUnused reads a body to its end without keeping it. What the head of its response states, such as that a request was
// not executed, counts only if the error is nil: a response that breaks off is none. It returns ErrTooLong if the body is
// longer than 64 KB.
func ReadUnused(body io.Reader) error {
	_, err := io.CopyN(io.Discard, body, maxUnusedBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return ErrTooLong
	}
	return err
}
