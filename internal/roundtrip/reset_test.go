package roundtrip

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"dalehook/internal/brokenresponse"
)

// uploads is the number of requests by which a test looks for a response that depends on the order of two events.
const uploads = 40

// unstatedLengths are the forms of a response whose length is not stated.
var unstatedLengths = []brokenresponse.Response{
	{Name: "no length"},
	{Name: "closing", Fields: []string{"Connection: close"}},
	{Name: "HTTP/1.0", StatusLine: "HTTP/1.0 200 OK"},
	{Name: "failure", StatusLine: "HTTP/1.1 500 Internal Server Error"},
}

// partBytes are sizes of a part within and beyond what a client buffers.
var partBytes = []int{6, 4 << 10, 300 << 10}

// Guards against the part of a response without a length that was reset during an upload and is taken for the whole: the
// write had taken the error of the reset, and the read returned the end of the stream.
func TestResponseThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	forEachUnstatedLength(t, brokenresponse.ResetUpload, func(t *testing.T, response brokenresponse.Response) {
		if whole := countWhole(t, response); whole > 0 {
			t.Errorf("%d of %d parts are taken for the whole response", whole, uploads)
		}
	})
}

// Guards against the same where the server resets at once, closes with the upload unread, or has read it.
func TestResponseThatIsResetWithAnUploadIsNotWhole(t *testing.T) {
	for name, ending := range map[string]brokenresponse.Ending{
		"at once": brokenresponse.ResetUploadAtOnce, "closed": brokenresponse.CloseUpload, "after the upload": brokenresponse.ResetAfterUpload,
	} {
		for _, part := range partBytes {
			t.Run(fmt.Sprintf("%s, %d bytes", name, part), func(t *testing.T) {
				if whole := countWhole(t, brokenresponse.Response{Part: part, Ending: ending}); whole > 0 {
					t.Errorf("%d of %d parts are taken for the whole response", whole, uploads)
				}
			})
		}
	}
}

// Guards against a whole response that is given up since the server had ended it before the request was written.
func TestResponseThatEndsDuringAnUploadIsWhole(t *testing.T) {
	for name, ending := range map[string]brokenresponse.Ending{
		"ends": brokenresponse.EndUpload, "ends, then resets": brokenresponse.EndAndResetUpload,
	} {
		t.Run(name, func(t *testing.T) {
			forEachUnstatedLength(t, ending, func(t *testing.T, response brokenresponse.Response) {
				if whole := countWhole(t, response); whole != uploads {
					t.Errorf("%d of %d responses are taken for whole", whole, uploads)
				}
			})
		})
	}
}

// forEachUnstatedLength runs a test for each form and size of a response without a length, with the given ending.
func forEachUnstatedLength(t *testing.T, ending brokenresponse.Ending, test func(*testing.T, brokenresponse.Response)) {
	t.Helper()
	for _, response := range unstatedLengths {
		for _, part := range partBytes {
			response.Part, response.Ending = part, ending
			t.Run(fmt.Sprintf("%s, %d bytes", response.Name, part), func(t *testing.T) { test(t, response) })
		}
	}
}

// countWhole uploads to a server that sends a response, and returns how many responses were read to their end without an
// error. A request without a response must count as sent.
func countWhole(t *testing.T, response brokenresponse.Response) (whole int) {
	t.Helper()
	address := brokenresponse.Serve(t, brokenresponse.Whole{IDHeader: testIDHeader, Body: strings.Repeat("x", 400<<10)}, response)
	transport := newTestTransport(t, Options{IDHeader: testIDHeader})
	upload := make([]byte, brokenresponse.UploadBytes)
	for number := range uploads {
		header := http.Header{testIDHeader: {fmt.Sprint("request-", number)}}
		got, failed := transport.RoundTrip(t.Context(), Request{
			Method: http.MethodPost, Address: address, Path: "/", Headers: header, Body: upload,
		})
		if failed != nil {
			if !failed.Sent {
				t.Errorf("counted as not sent: %v", failed)
			}
			continue
		}
		received, err := io.Copy(io.Discard, got.Body)
		got.Body.Close()
		if err != nil {
			t.Logf("request %d: %d bytes, then %v", number, received, err)
			continue
		}
		if received != int64(response.Part) {
			t.Errorf("request %d: %d bytes and no error", number, received)
		}
		whole++
	}
	return whole
}
