package roundtrip

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrTooLong is the error of a body that is longer than the reader accepts.
var ErrTooLong = eris.New("body is too long")

// Sizes of the pieces in which a body of unknown length is read, in bytes. Each piece is twice as long as the one
// before. Pieces are not copied before the body has ended, so that one without end takes little more than its limit.
const (
	firstPieceBytes   = 4 << 10
	longestPieceBytes = 256 << 10
)

// ReadAll reads the body of a response to its end, and returns ErrTooLong once it exceeds limit bytes. The caller must
// close the body; the rest is not read, so that its connection is closed too.
func ReadAll(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, ErrTooLong
	}
	size := firstPieceBytes
	if response.ContentLength >= 0 {
		size = int(response.ContentLength) + 1 // the extra byte lets the end be read into the same piece
	}
	var pieces [][]byte
	piece, total := make([]byte, 0, size), int64(0)
	for {
		n, err := response.Body.Read(piece[len(piece):cap(piece)])
		piece, total = piece[:len(piece)+n], total+int64(n)
		switch {
		case total > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && len(pieces) == 0:
			return piece, nil
		case errors.Is(err, io.EOF):
			return slices.Concat(append(pieces, piece)...), nil
		case err != nil:
			return nil, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), longestPieceBytes))
		}
	}
}
