package roundtrip

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"dalehook/internal/brokenresponse"
	"dalehook/internal/stricthttp"
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
		if whole := countUploads(t, response).whole; whole > 0 {
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
				if whole := countUploads(t, brokenresponse.Response{Part: part, Ending: ending}).whole; whole > 0 {
					t.Errorf("%d of %d parts are taken for the whole response", whole, uploads)
				}
			})
		}
	}
}

// Guards against a whole response that is given up since the server had ended it before the request was written.
func TestResponseThatEndsDuringAnUploadIsWhole(t *testing.T) {
	forEachUnstatedLength(t, brokenresponse.EndUpload, func(t *testing.T, response brokenresponse.Response) {
		if whole := countUploads(t, response).whole; whole != uploads {
			t.Errorf("%d of %d responses are taken for whole", whole, uploads)
		}
	})
}

// Guards against an end of the stream that is taken for a reset, since a reset followed it. If that fails the write first,
// net/http closes the connection, and the response may be lost.
func TestResponseThatEndsBeforeAResetIsNotBroken(t *testing.T) {
	forEachUnstatedLength(t, brokenresponse.EndAndResetUpload, func(t *testing.T, response brokenresponse.Response) {
		counted := countUploads(t, response)
		if counted.broken > 0 || counted.whole == 0 {
			t.Errorf("of %d responses %d are taken for broken, %d for whole", uploads, counted.broken, counted.whole)
		}
	})
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

// uploadCounts are the numbers of uploads whose response was whole, and of those whose response was found to be broken.
type uploadCounts struct {
	whole, broken int
}

// countUploads uploads to a server that sends a response, and counts those that were read to their end without an error. A
// request without a response must count as sent.
func countUploads(t *testing.T, response brokenresponse.Response) (counted uploadCounts) {
	t.Helper()
	address := brokenresponse.Serve(t, brokenresponse.Whole{IDHeader: testIDHeader, Body: strings.Repeat("x", 400<<10)}, response)
	transport := newTestTransport(t, Options{IDHeader: testIDHeader})
	upload := make([]byte, brokenresponse.UploadBytes)
	for number := range uploads {
		received, err := uploadOnce(t, transport, address, fmt.Sprint("request-", number), upload)
		var broken *stricthttp.BrokenResponseError
		switch {
		case err == nil && received != int64(response.Part):
			t.Errorf("request %d: %d bytes and no error", number, received)
		case err == nil:
			counted.whole++
		case errors.As(err, &broken):
			counted.broken++
		}
	}
	return counted
}

// uploadOnce sends a request, and returns the length of the body of its response.
func uploadOnce(t *testing.T, transport *Transport, address, id string, upload []byte) (received int64, err error) {
	t.Helper()
	response, failed := transport.RoundTrip(t.Context(), Request{
		Method: http.MethodPost, Address: address, Path: "/", Headers: http.Header{testIDHeader: {id}}, Body: upload,
	})
	if failed != nil {
		if !failed.Sent {
			t.Errorf("%s is counted as not sent: %v", id, failed)
		}
		return 0, failed
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}
