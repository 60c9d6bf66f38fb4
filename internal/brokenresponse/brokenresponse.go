// Package brokenresponse has servers, for tests, whose responses are no whole responses in the protocol.
package brokenresponse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dalehook/internal/conntest"
)

// UploadBytes is the size of a request body that is still being written when a server that does not read it has
// responded: more than the buffers of a connection hold.
const UploadBytes = 9 << 20

const (
	// receiveBufferBytes is the size of the receive buffer of a server that resets an upload.
	receiveBufferBytes = 4 << 10
	// endPause is how long a server waits between the last byte of a response and the end of the connection, so that the
	// client has read that byte.
	endPause = 15 * time.Millisecond
	// maxAcknowledgementWait bounds the wait for a peer that has gone.
	maxAcknowledgementWait = 5 * time.Second
)

// Ending is what a server does after the last byte of a response.
type Ending int

const (
	// Close reads the whole request before the response, and closes the connection after it.
	Close Ending = iota
	// ResetUpload reads the head of the request alone, and resets the connection after the response.
	ResetUpload
	// ResetUploadAtOnce is ResetUpload without a pause before the reset.
	ResetUploadAtOnce
	// CloseUpload reads the head of the request alone, and closes the connection after the response. The system resets a
	// connection that is closed before all bytes were read.
	CloseUpload
	// ResetAfterUpload reads the whole request, and resets the connection after the response.
	ResetAfterUpload
	// EndUpload reads the head of the request alone, ends its stream after the response, and leaves the connection open.
	EndUpload
	// EndAndResetUpload reads the head of the request alone, ends its stream after the response, and resets the connection
	// once the peer has received that.
	EndAndResetUpload
)

// Whole is a whole response that a reader takes for a success.
type Whole struct {
	// IDHeader is the field that names the request; empty if responses name none.
	IDHeader string
	// Fields are the other fields that the reader requires, without line ends.
	Fields []string
	Body   string
}

// Response is a response that differs from a whole one.
type Response struct {
	Name string
	// StatusLine is "HTTP/1.1 200 OK" if it is empty.
	StatusLine string
	// Fields are sent after those of the whole response, without line ends. If none states the length of the body, it ends
	// with the connection.
	Fields []string
	// Trailer are the fields after the body, without line ends. If there are any, the body is sent as one chunk.
	Trailer []string
	// Part is the number of bytes of the body that are sent; 0 stands for all.
	Part   int
	Ending Ending
}

// Serve sends a response to each request, each on a connection of its own, until the test ends. It returns the address.
func Serve(t testing.TB, whole Whole, response Response) (address string) {
	t.Helper()
	return conntest.Serve(t, func(conn net.Conn) { response.serve(t.Context(), conn.(*net.TCPConn), whole) })
}

// ServeFirst starts servers that send a response to the first request with each ID, whichever of them gets it, and the whole
// response to the next ones. It returns their addresses.
func ServeFirst(t testing.TB, whole Whole, response Response, servers int) (addresses []string) {
	t.Helper()
	var seen sync.Map
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(whole.IDHeader)
		text := response.text(whole, id)
		if _, repeated := seen.LoadOrStore(id, true); repeated {
			text = Response{}.text(whole, id)
		}
		_, _ = io.WriteString(conn, text)
	}
	for range servers {
		addresses = append(addresses, conntest.Serve(t, serve))
	}
	return addresses
}

func (r Response) serve(ctx context.Context, conn *net.TCPConn, whole Whole) {
	defer conn.Close()
	switch r.Ending {
	case ResetUpload, ResetUploadAtOnce, CloseUpload:
		_ = conn.SetReadBuffer(receiveBufferBytes)
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.Ending == Close || r.Ending == ResetAfterUpload {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, r.text(whole, request.Header.Get(whole.IDHeader)))
	r.end(ctx, conn)
}

// end prepares the connection to be closed.
func (r Response) end(ctx context.Context, conn *net.TCPConn) {
	switch r.Ending {
	case Close:
	case CloseUpload:
		time.Sleep(endPause)
	case ResetUploadAtOnce:
		_ = conn.SetLinger(0)
	case ResetUpload, ResetAfterUpload:
		time.Sleep(endPause)
		_ = conn.SetLinger(0)
	case EndUpload:
		_ = conn.CloseWrite()
		<-ctx.Done()
	case EndAndResetUpload:
		time.Sleep(endPause)
		_ = conn.CloseWrite()
		awaitAcknowledgement(conn)
		_ = conn.SetLinger(0)
	}
}

// awaitAcknowledgement waits until the peer has received all bytes, and the end of the stream if it was sent.
func awaitAcknowledgement(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	outstanding := 1
	for start := time.Now(); outstanding > 0 && time.Since(start) < maxAcknowledgementWait; time.Sleep(time.Millisecond) {
		err := raw.Control(func(descriptor uintptr) {
			outstanding, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		})
		if err != nil {
			return
		}
	}
}

// text returns the bytes of the response to a request with an ID.
func (r Response) text(whole Whole, id string) string {
	var text strings.Builder
	line := func(line string) { text.WriteString(line + "\r\n") }
	if r.StatusLine == "" {
		line("HTTP/1.1 200 OK")
	} else {
		line(r.StatusLine)
	}
	if whole.IDHeader != "" {
		line(fmt.Sprintf("%s: %s", whole.IDHeader, id))
	}
	for _, field := range whole.Fields {
		line(field)
	}
	for _, field := range r.Fields {
		line(field)
	}
	body := whole.Body
	if r.Part > 0 {
		body = body[:r.Part]
	}
	if r.Trailer != nil {
		line("Transfer-Encoding: chunked")
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(body), body, strings.Join(r.Trailer, "\r\n"))
	}
	line("")
	text.WriteString(body)
	return text.String()
}
