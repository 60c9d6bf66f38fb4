package roundtrip

import (
	"io"
	"net/http"
	"testing"

	"dalehook/internal/brokenresponse"
)

// Responses whose fields contradict each other, or the protocol, about where the body ends fail the request.
func TestUnclearFramingFailsTheRequest(t *testing.T) {
	for _, response := range []brokenresponse.Response{
		{Name: "identity", Fields: []string{"Transfer-Encoding: identity"}},
		{Name: "an encoding before chunks", Fields: []string{"Transfer-Encoding: gzip, chunked"}},
		{Name: "two encodings", Fields: []string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}},
		{Name: "two lengths", Fields: []string{"Content-Length: 2", "Content-Length: 6"}},
		{Name: "a list of lengths", Fields: []string{"Content-Length: 2, 6"}},
		{Name: "empty length", Fields: []string{"Content-Length:"}},
		{Name: "signed length", Fields: []string{"Content-Length: +6"}},
		{Name: "negative length", Fields: []string{"Content-Length: -6"}},
		{Name: "length that overflows", Fields: []string{"Content-Length: 18446744073709551622"}},
		{Name: "chunks of HTTP/1.0", StatusLine: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}},
		{Name: "length beyond the body", Fields: []string{"Content-Length: 7"}},
		{Name: "chunks that are none", Fields: []string{"Transfer-Encoding: chunked"}},
	} {
		t.Run(response.Name, func(t *testing.T) {
			address := brokenresponse.Serve(t, brokenresponse.Whole{IDHeader: testIDHeader, Body: "answer"}, response)
			got, failed := newTestTransport(t, Options{IDHeader: testIDHeader}).RoundTrip(t.Context(), Request{
				Method: http.MethodPost, Address: address, Path: "/", Headers: http.Header{testIDHeader: {"r"}}, Body: []byte("x"),
			})
			if failed != nil {
				if !failed.Sent {
					t.Errorf("counted as not sent: %v", failed)
				}
				return
			}
			defer got.Body.Close()
			if body, err := io.ReadAll(got.Body); err == nil {
				t.Errorf("taken with the body %q", body)
			}
		})
	}
}
