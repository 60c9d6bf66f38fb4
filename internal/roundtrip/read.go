package roundtrip

import (
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
