package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/machine"
)

// Entry is one entry of a log. Offsets start at 1.
type Entry struct {
	Offset  uint64          `json:"offset"`
	Payload json.RawMessage `json:"payload"`
}

// Entries is the body of GET /logs/{name}. End is the offset of the last entry
// on the log, zero for an empty log.
type Entries struct {
	Entries []Entry `json:"entries"`
	End     uint64  `json:"end"`
}

// Appended is the body that answers POST /logs/{name}.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// Append puts one JSON payload on a log. The outcome is AppendNotDone only when
// the log surely did not take the payload: no connection was made, or the log
// refused with 4xx or 503. The call is never repeated.
func (c *Client) Append(ctx context.Context, log string, payload []byte) (uint64, machine.AppendOutcome, error) {
	call := call{
		step:   "append to log " + log,
		method: http.MethodPost,
		url:    c.logURL(log),
		body:   payload,
	}
	got, err := c.do(ctx, call)
	if err != nil {
		return 0, outcomeOfError(err), err
	}
	if !isSuccess(got.status) {
		return 0, outcomeOfStatus(got.status), statusError(call, got)
	}
	var appended Appended
	if err := json.Unmarshal(got.body, &appended); err != nil || appended.Offset == 0 {
		return 0, machine.AppendUnknown, eris.Errorf("%s at %s: no offset in the answer", call.step, call.url)
	}
	return appended.Offset, machine.AppendDone, nil
}

// Read returns the entries of a log from an offset on, inclusive, and the offset
// of the last entry on the log. The log may hold its answer back for wait when
// there is nothing new, and may answer with a part of what there is.
func (c *Client) Read(ctx context.Context, log string, from uint64, wait time.Duration) ([]Entry, uint64, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	call := call{
		step:    "read log " + log,
		url:     c.logURL(log) + "?" + query.Encode(),
		timeout: c.options.Timeout + wait,
	}
	var answer Entries
	if err := c.getJSON(ctx, call, &answer); err != nil {
		return nil, 0, err
	}
	if err := checkEntries(answer.Entries, from); err != nil {
		return nil, 0, eris.Wrapf(err, "%s at %s", call.step, call.url)
	}
	return answer.Entries, answer.End, nil
}

// checkEntries makes sure that no entry is missing, repeated or out of order.
func checkEntries(entries []Entry, from uint64) error {
	expected := max(from, 1)
	for _, entry := range entries {
		if entry.Offset != expected {
			return eris.Errorf("entry has offset %d, expected %d", entry.Offset, expected)
		}
		expected++
	}
	return nil
}

func (c *Client) logURL(log string) string {
	return c.options.LogURL + "/logs/" + url.PathEscape(log)
}

// outcomeOfError says what is known of an append that got no whole answer.
func outcomeOfError(err error) machine.AppendOutcome {
	var failed *callError
	if errors.As(err, &failed) && !failed.connected {
		return machine.AppendNotDone
	}
	return machine.AppendUnknown
}

// outcomeOfStatus says what is known of an append that was answered with an
// error. A 5xx other than 503 may come from behind the log's own commit.
func outcomeOfStatus(status int) machine.AppendOutcome {
	isClientError := status >= 400 && status < 500
	if isClientError || status == http.StatusServiceUnavailable {
		return machine.AppendNotDone
	}
	return machine.AppendUnknown
}
