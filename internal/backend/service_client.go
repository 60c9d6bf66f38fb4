package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/roundtrip"
)

// The headers between dalehook and service servers.
const (
	// HeaderDeadline carries the time that is left, in milliseconds.
	HeaderDeadline = "Dalehook-Deadline-Ms"
	// HeaderLoad carries, on an answer, the number of requests that the server
	// runs or holds waiting.
	HeaderLoad = "Dalehook-Load"
	// HeaderLeaving is "true" on the answers of a server that is leaving.
	HeaderLeaving = "Dalehook-Leaving"
	// HeaderNotRun is "true" on a 503 when the request did not run.
	HeaderNotRun = "Dalehook-Not-Run"
)

// relayBufferSize is the size in bytes of the pooled buffers. An answer of a
// stated length up to this size is read whole before any of it is passed on.
const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferSize]byte) }}

var (
	errNoStatedEnd = errors.New("the answer has neither a length nor chunks, so its end can't be told from a cut")
	errTooLarge    = errors.New("the answer is larger than the buffer limit")
)

// withoutOnRequest lists caller's headers that are not passed to the server.
var withoutOnRequest = map[string]bool{
	"Expect":         true,
	"Content-Length": true,
	"Host":           true,
	HeaderDeadline:   true,
	HeaderRequestID:  true,
}

// withoutOnAnswer lists server's headers that are not passed to the caller.
var withoutOnAnswer = map[string]bool{
	HeaderLoad:      true,
	HeaderLeaving:   true,
	HeaderNotRun:    true,
	HeaderRequestID: true,
}

// ServiceRequest is one attempt of a caller's request.
type ServiceRequest struct {
	Call    machine.CallID
	Attempt int
	Backend cluster.BackendID
	// Address is host:port of the service server.
	Address string
	Method  string
	// Path is the path with its query, as it goes to the server.
	Path    string
	Headers http.Header
	Body    []byte
	// Deadline ends the attempt; zero means none.
	Deadline time.Time
	// Relay, when set, receives the answer as it comes; otherwise the answer is
	// buffered in the result.
	Relay http.ResponseWriter
}

// ServiceClient speaks to service servers. It is safe for concurrent use.
type ServiceClient struct {
	once        *roundtrip.Transport
	bufferLimit int64
}

// NewServiceClient returns a client. It opens no connection yet.
func NewServiceClient(options Options) *ServiceClient {
	options = options.withDefaults()
	return &ServiceClient{
		once:        options.transport(),
		bufferLimit: options.BufferLimit,
	}
}

// Close closes idle connections.
func (c *ServiceClient) Close() { c.once.Close() }

// Send sends one request to one server, once. When the outcome is SendCut and
// Relayed is set, the caller holds a part of an answer: the handler must abort
// the caller's connection with panic(http.ErrAbortHandler).
func (c *ServiceClient) Send(ctx context.Context, request ServiceRequest) machine.ServiceResult {
	started := time.Now()
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	result := machine.ServiceResult{
		Call:    request.Call,
		Attempt: request.Attempt,
		Backend: request.Backend,
		Load:    -1,
	}
	err := c.exchange(ctx, request, &result)
	if err != nil {
		peer := string(request.Backend) + " (" + request.Address + ")"
		result.Err = eris.Wrapf(err, "send service request to %s", peer).Error()
	}
	result.Took = time.Since(started)
	return result
}

// exchange sends the request and takes the answer. It sets the result's outcome
// in each case; the error explains an outcome other than SendAnswered.
func (c *ServiceClient) exchange(ctx context.Context, request ServiceRequest, result *machine.ServiceResult) error {
	if err := ctx.Err(); err != nil {
		result.Outcome = machine.SendNotSent
		return err
	}
	response, failed := c.once.RoundTrip(ctx, roundtrip.Request{
		Method:  request.Method,
		Address: request.Address,
		Path:    request.Path,
		Headers: requestHeaders(request),
		Body:    request.Body,
	})
	if failed != nil {
		result.Outcome = machine.SendNotSent
		if failed.Sent {
			result.Outcome = machine.SendUnknown
		}
		return failed
	}
	defer response.Body.Close()
	readServerState(response.Header, result)
	if isNotRun(response) {
		if err := roundtrip.ReadUnused(response.Body); err != nil {
			result.Outcome = machine.SendCut
			return err
		}
		result.Outcome = machine.SendRefused
		return eris.Errorf("the server refused with status %d", response.StatusCode)
	}
	return c.takeAnswer(response, request, result)
}

// takeAnswer relays or buffers an answer.
func (c *ServiceClient) takeAnswer(response *http.Response, request ServiceRequest, result *machine.ServiceResult) error {
	err := checkFraming(response)
	switch {
	case err != nil:
	case request.Relay != nil:
		result.Relayed, err = relay(request.Relay, response)
	default:
		result.Response, err = c.buffer(response)
	}
	if err != nil {
		result.Outcome = machine.SendCut
		return err
	}
	result.Outcome = machine.SendAnswered
	return nil
}

// maxAddedHeaders is the largest number of headers that requestHeaders adds to those
// of the caller.
const maxAddedHeaders = 3

// requestHeaders returns the headers that go to the server.
func requestHeaders(request ServiceRequest) http.Header {
	headers := make(http.Header, len(request.Headers)+maxAddedHeaders)
	roundtrip.CopyEndToEnd(headers, request.Headers, withoutOnRequest)
	headers.Set(HeaderRequestID, newRequestID())
	if _, ok := headers["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		headers["User-Agent"] = []string{""}
	}
	if !request.Deadline.IsZero() {
		left := max(time.Until(request.Deadline).Milliseconds(), 1)
		headers[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	}
	return headers
}

// readServerState takes the server's load and leaving from an answer.
func readServerState(headers http.Header, result *machine.ServiceResult) {
	load, err := strconv.Atoi(headers.Get(HeaderLoad))
	if err == nil && load >= 0 {
		result.Load = load
	}
	result.Leaving = isTrue(headers.Get(HeaderLeaving))
}

func isTrue(value string) bool { return strings.EqualFold(value, "true") }

func isNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && isTrue(response.Header.Get(HeaderNotRun))
}

// checkFraming refuses answers whose end can't be told from a cut.
func checkFraming(response *http.Response) error {
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	if response.ContentLength < 0 && !chunked && response.Body != http.NoBody {
		return errNoStatedEnd
	}
	return nil
}

// buffer reads a whole answer.
func (c *ServiceClient) buffer(response *http.Response) (*machine.Response, error) {
	body, err := c.readBody(response)
	if err != nil {
		return nil, err
	}
	kept := make(http.Header, len(response.Header))
	roundtrip.CopyEndToEnd(kept, response.Header, withoutOnAnswer)
	return &machine.Response{
		Status:  response.StatusCode,
		Headers: headerLines(kept),
		Body:    body,
	}, nil
}

func (c *ServiceClient) readBody(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	if response.Body == http.NoBody {
		return nil, nil
	}
	if length > c.bufferLimit {
		return nil, errTooLarge
	}
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.bufferLimit+1))
	if err == nil && int64(len(body)) > c.bufferLimit {
		err = errTooLarge
	}
	return body, err
}

// headerLines lists headers sorted by name, so that a recorded answer is the
// same on each replica.
func headerLines(headers http.Header) []machine.Header {
	lines := make([]machine.Header, 0, len(headers))
	for name, values := range headers {
		for _, value := range values {
			lines = append(lines, machine.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(lines, func(a, b machine.Header) int { return strings.Compare(a.Name, b.Name) })
	return lines
}

// relay passes an answer on as it comes. It reports whether anything was passed
// on, also when it failed.
func relay(target http.ResponseWriter, response *http.Response) (relayed bool, err error) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	first, done, err := readFirst(response, buffer[:])
	if err != nil {
		return false, err
	}
	roundtrip.CopyEndToEnd(target.Header(), response.Header, withoutOnAnswer)
	target.WriteHeader(response.StatusCode)
	if err := writeAll(target, first); err != nil {
		return true, err
	}
	if done {
		return true, nil
	}
	return true, relayRest(target, response, buffer[:])
}

// readFirst reads the part of an answer that is passed on first: all of a short
// answer of a stated length, else the first piece. Done means that it was all.
func readFirst(response *http.Response, buffer []byte) (first []byte, done bool, err error) {
	length := response.ContentLength
	if length >= 0 && length <= int64(len(buffer)) && response.Body != http.NoBody {
		n, err := io.ReadFull(response.Body, buffer[:length])
		return buffer[:n], true, err
	}
	n, err := response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		return buffer[:n], true, nil
	}
	return buffer[:n], false, err
}

// relayRest passes on the rest of an answer, and each piece at once when the
// answer has no stated length.
func relayRest(target http.ResponseWriter, response *http.Response, buffer []byte) error {
	streaming := response.ContentLength < 0
	controller := http.NewResponseController(target)
	for {
		if streaming {
			if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return eris.Wrap(err, "flush to the caller")
			}
		}
		n, readErr := response.Body.Read(buffer)
		if err := writeAll(target, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func writeAll(target http.ResponseWriter, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if _, err := target.Write(piece); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	return nil
}
