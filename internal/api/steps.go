package api

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
)

// maxStepDeadline is the longest deadline of a step.
const maxStepDeadline = 30 * 24 * time.Hour

// postedStep is the body of POST /v1/steps.
type postedStep struct {
	Event   string          `json:"event"`
	Trainer string          `json:"trainer"`
	Step    string          `json:"step"`
	Samples []record.Sample `json:"samples"`
	// DeadlineMs is the time from now in milliseconds, nil for none.
	DeadlineMs *int64 `json:"deadline_ms"`
}

// stepAccepted is the body of 202.
type stepAccepted struct {
	Step     string `json:"step"`
	Accepted int    `json:"accepted"`
}

// samplesRead is the body of a read of samples.
type samplesRead struct {
	Samples []machine.SampleView `json:"samples"`
	Cursor  string               `json:"cursor"`
	Done    bool                 `json:"done"`
}

// postStep serves POST /v1/steps.
func (h *Handler) postStep(w http.ResponseWriter, r *http.Request, _ httprouter.Params) *machine.Failure {
	var posted postedStep
	if failure := decodeBody(w, r, h.options.Limits.StepBody, &posted); failure != nil {
		return failure
	}
	body, failure := posted.check(time.Now())
	if failure != nil {
		failure.Step = posted.Step
		return failure
	}
	return h.ask(w, r, body.Step, func(id machine.CallID) machine.Input {
		return machine.PostStep{Call: id, Body: body}
	})
}

// readSamples serves GET /v1/steps/:step/samples.
func (h *Handler) readSamples(w http.ResponseWriter, r *http.Request, params httprouter.Params) *machine.Failure {
	read, failure := h.parseRead(r, params.ByName("step"))
	if failure != nil {
		failure.Step = params.ByName("step")
		return failure
	}
	return h.ask(w, r, read.Step, func(id machine.CallID) machine.Input {
		read.Call = id
		return read
	})
}

// parseRead checks the parameters of a read.
func (h *Handler) parseRead(r *http.Request, step string) (machine.ReadSamples, *machine.Failure) {
	read := machine.ReadSamples{Step: step}
	if failure := checkID("step", step); failure != nil {
		return read, failure
	}
	query, failure := parseQuery(r)
	if failure != nil {
		return read, failure
	}
	if read.After, failure = single("after", query["after"]); failure != nil {
		return read, failure
	}
	wait, failure := naturalNumber("wait_ms", query)
	if failure != nil {
		return read, failure
	}
	longest := h.options.Limits.MaxWait
	read.Wait = time.Duration(min(wait, longest.Milliseconds())) * time.Millisecond
	version, failure := naturalNumber("version", query)
	read.Version = cluster.Version(version)
	return read, failure
}

// check checks a posted step and returns it as it goes into the step's log.
func (p postedStep) check(now time.Time) (record.StepBody, *machine.Failure) {
	body := record.StepBody{Event: p.Event, Trainer: p.Trainer, Step: p.Step, Samples: p.Samples}
	if failure := checkName("event", p.Event); failure != nil {
		return body, failure
	}
	if failure := checkName("trainer", p.Trainer); failure != nil {
		return body, failure
	}
	if failure := checkID("step", p.Step); failure != nil {
		return body, failure
	}
	if failure := checkSamples(p.Samples); failure != nil {
		return body, failure
	}
	if p.DeadlineMs != nil {
		left, failure := checkDeadline("deadline_ms", *p.DeadlineMs, maxStepDeadline)
		if failure != nil {
			return body, failure
		}
		body.Deadline = now.Add(left)
	}
	body.Digest = p.digest()
	return body, checkRecordSize(body)
}

// jsonGrowth is how many times longer a text can get when it is written as JSON.
const jsonGrowth = 6

// probeID stands for the id of the record in the trial encoding of a step.
const probeID = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// checkRecordSize refuses a step that is too large for one record of a log. Only
// a step that might be is encoded on trial.
func checkRecordSize(body record.StepBody) *machine.Failure {
	texts := 0
	for _, sample := range body.Samples {
		texts += len(sample.ID) + len(sample.Prompt) + len(sample.Group)
	}
	if texts*jsonGrowth < record.MaxRecordBytes/2 {
		return nil
	}
	_, err := record.Encode(record.Record{ID: probeID, Body: body})
	var over *record.TooLargeError
	if errors.As(err, &over) {
		return tooLarge(int64(over.Limit))
	}
	return nil
}

// checkSamples checks the samples of a step.
func checkSamples(samples []record.Sample) *machine.Failure {
	if len(samples) == 0 {
		return badRequest("samples", "samples is empty")
	}
	seen := make(map[string]int, len(samples))
	for i, sample := range samples {
		if failure := checkSample(sample); failure != nil {
			failure.Field = fmt.Sprintf("samples[%d].%s", i, failure.Field)
			return failure
		}
		if first, twice := seen[sample.ID]; twice {
			return badRequest(fmt.Sprintf("samples[%d].id", i),
				"id %q is also that of samples[%d]", sample.ID, first)
		}
		seen[sample.ID] = i
	}
	return nil
}

// checkSample checks one sample; the failure's field is relative to it.
func checkSample(sample record.Sample) *machine.Failure {
	if failure := checkName("id", sample.ID); failure != nil {
		return failure
	}
	if sample.Prompt == "" {
		return badRequest("prompt", "prompt is missing")
	}
	if sample.MaxTokens <= 0 {
		return badRequest("max_tokens", "max_tokens must be above zero")
	}
	return checkOptionalName("group", sample.Group)
}

// digest returns a hash over all that was posted, so that another body under a
// used step id is told from the same one again.
func (p postedStep) digest() string {
	digest := sha256.New()
	writeText(digest, p.Event)
	writeText(digest, p.Trainer)
	writeText(digest, p.Step)
	writeNumber(digest, int64(len(p.Samples)))
	for _, sample := range p.Samples {
		writeText(digest, sample.ID)
		writeText(digest, sample.Prompt)
		writeNumber(digest, int64(sample.MaxTokens))
		writeText(digest, sample.Group)
	}
	if p.DeadlineMs != nil {
		writeNumber(digest, *p.DeadlineMs)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// writeText adds a text with its length, so that two texts can't run together.
func writeText(digest hash.Hash, text string) {
	writeNumber(digest, int64(len(text)))
	digest.Write([]byte(text))
}

// writeNumber adds a number.
func writeNumber(digest hash.Hash, number int64) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(number))
	digest.Write(encoded[:])
}
