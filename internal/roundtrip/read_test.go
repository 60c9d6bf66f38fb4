package roundtrip

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
)

// Guards against a body that is cut at its limit, or in the middle, and taken for whole.
func TestReadAll(t *testing.T) {
	const (
		limit = 1 << 20
		// firstPieceBytes is the size of the first piece that package bytebudget reads.
		firstPieceBytes = 4 << 10
	)
	errBroken := errors.New("broken")
	for _, size := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, firstPieceBytes + 1, 300_000, limit - 1, limit, limit + 1, 2 * limit} {
		content := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			for name, body := range map[string]io.Reader{
				"whole": bytes.NewReader(content), "end with the last bytes": iotest.DataErrReader(bytes.NewReader(content)), "halves": iotest.HalfReader(bytes.NewReader(content)),
			} {
				got, err := ReadAll(&http.Response{Body: io.NopCloser(body), ContentLength: length}, limit)
				switch {
				case size > limit && !errors.Is(err, ErrTooLong):
					t.Errorf("%s, %d bytes, length %d: %v", name, size, length, err)
				case size <= limit && (err != nil || !bytes.Equal(got, content)):
					t.Errorf("%s, %d bytes, length %d: %d bytes, %v", name, size, length, len(got), err)
				}
			}
		}
		broken := io.MultiReader(bytes.NewReader(content), iotest.ErrReader(errBroken))
		if _, err := ReadAll(&http.Response{Body: io.NopCloser(broken), ContentLength: -1}, 3*limit); !errors.Is(err, errBroken) {
			t.Errorf("broken after %d bytes: %v", size, err)
		}
	}
}
