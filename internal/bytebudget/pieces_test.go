package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadPieces(t *testing.T) {
	failure := errors.New("broken")
	text := func(size int) io.Reader { return strings.NewReader(strings.Repeat("x", size)) }
	cases := []struct {
		name                string
		budget, size, limit int64
		source              io.Reader
		length, pieces      int
		ended               bool
		err                 error
	}{
		{"of known size", 202, 100, 1000, text(100), 100, 1, true, nil},
		{"of unknown size", 1 << 20, -1, 1 << 20, text(100_000), 100_000, 5, true, nil},
		{"empty", 1 << 20, 0, 1000, text(0), 0, 1, true, nil},
		{"as long as the limit", 1 << 20, 1000, 1000, text(1000), 1000, 1, false, nil},
		{"longer than the limit", 1 << 20, -1, 10_000, text(20_000), 10_000, 2, false, nil},
		{"longer than half of the budget", 2 * firstPieceBytes, -1, 1 << 20, text(20_000), firstPieceBytes, 1, false, nil},
		{"of known size over half of the budget", 30_000, 20_000, 1 << 20, text(20_000), 0, 0, false, nil},
		{"broken off", 1 << 20, 1000, 10_000, io.MultiReader(strings.NewReader("xyz"), iotest.ErrReader(failure)), 3, 1, false, failure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := New(c.budget)
			pieces, ended, err := budget.Reserve("").ReadPieces(iotest.HalfReader(c.source), c.size, c.limit)
			if pieces.Size() != int64(c.length) || len(pieces) != c.pieces || ended != c.ended || !errors.Is(err, c.err) {
				t.Errorf("%d bytes in %d pieces, ended: %v, %v", pieces.Size(), len(pieces), ended, err)
			}
			if held := budget.Used(); held < pieces.Size() || held > c.budget/2 {
				t.Errorf("%d bytes reserved for %d of a budget of %d", held, pieces.Size(), c.budget)
			}
			var written bytes.Buffer
			if n, err := pieces.WriteTo(&written); err != nil || n != int64(c.length) || written.String() != strings.Repeat("x", written.Len()) && c.err == nil {
				t.Errorf("wrote %d bytes, %v", n, err)
			}
		})
	}
	if pieces, ended, err := (*Reservation)(nil).ReadPieces(text(9000), -1, 1<<20); pieces.Size() != 9000 || !ended || err != nil {
		t.Errorf("without a budget: %d bytes, %v, %v", pieces.Size(), ended, err)
	}
}
