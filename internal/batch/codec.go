package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// fragmentSize is the largest part of a message that one record holds, in bytes.
// The store takes records of 256 KiB.
const fragmentSize = 240 << 10

// A record begins with one byte that says whether more fragments of the message
// follow in the next record.
const (
	fragmentMore = 'm'
	fragmentLast = 'l'
)

// message is what stands in the log; one field is set.
type message struct {
	Job    *Job    `json:",omitempty"`
	Result *Result `json:",omitempty"`
	End    *End    `json:",omitempty"`
}

// EncodeJob returns the records that accept a job.
func EncodeJob(job *Job) ([][]byte, error) { return encode(message{Job: job}) }

// EncodeResult returns the records that list a result.
func EncodeResult(result *Result) ([][]byte, error) { return encode(message{Result: result}) }

var errNoResult = errors.New("the records hold no result")

// DecodeResult returns the result that the records of EncodeResult list.
func DecodeResult(records [][]byte) (*Result, error) {
	var joined assembler
	for _, record := range records {
		decoded, err := joined.add(record)
		if err != nil {
			return nil, err
		}
		if decoded != nil && decoded.Result != nil {
			return decoded.Result, nil
		}
	}
	return nil, errNoResult
}

// EncodeEnd returns the records that end a job.
func EncodeEnd(end *End) ([][]byte, error) { return encode(message{End: end}) }

func encode(m message) ([][]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a batch record: %w", err)
	}
	var records [][]byte
	for {
		size := min(len(text), fragmentSize)
		kind := byte(fragmentLast)
		if size < len(text) {
			kind = fragmentMore
		}
		record := make([]byte, 0, size+1)
		record = append(record, kind)
		record = append(record, text[:size]...)
		records = append(records, record)
		text = text[size:]
		if len(text) == 0 {
			return records, nil
		}
	}
}

var errEmptyRecord = errors.New("batch record is empty")

// assembler joins the fragments of messages.
type assembler struct {
	pending []byte
	// marker stands in the first fragment of each message that is wanted; without one all are.
	marker []byte
	// skipping says that the last record began or went on with a message that is not wanted.
	skipping bool
}

// skips says whether a record belongs to a message that is not wanted.
func (a *assembler) skips(record []byte) bool {
	begins := len(a.pending) == 0 && !a.skipping
	skipped := a.skipping || begins && !bytes.Contains(record, a.marker)
	a.skipping = skipped && record[0] == fragmentMore
	return skipped
}

// add takes one record and returns the message that it completes, if any.
func (a *assembler) add(record []byte) (*message, error) {
	if len(record) == 0 {
		return nil, errEmptyRecord
	}
	if a.skips(record) {
		return nil, nil
	}
	if record[0] == fragmentMore {
		a.pending = append(a.pending, record[1:]...)
		return nil, nil
	}
	text := record[1:]
	if len(a.pending) > 0 {
		text = append(a.pending, text...)
		a.pending = nil
	}
	decoded := &message{}
	if err := json.Unmarshal(text, decoded); err != nil {
		return nil, fmt.Errorf("decode a batch record: %w", err)
	}
	return decoded, nil
}
