package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// fragmentSize is the maximum part of a message in one record, in bytes. The store accepts records
// of up to 256 KiB.
const fragmentSize = 240 << 10

// The first byte of a record says whether the message continues in the next record.
const (
	fragmentMore = 'm'
	fragmentLast = 'l'
)

// message is the content of one or more records; exactly one field is set.
type message struct {
	Job    *Job    `json:",omitempty"`
	Result *Result `json:",omitempty"`
	End    *End    `json:",omitempty"`
}

// EncodeJob returns the records that accept a job.
func EncodeJob(job *Job) ([][]byte, error) { return encode(message{Job: job}) }

// EncodeResult returns the records of a result.
func EncodeResult(result *Result) ([][]byte, error) { return encode(message{Result: result}) }

var errNoResult = errors.New("no result in batch records")

// DecodeResult returns the result encoded by EncodeResult.
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
		return nil, fmt.Errorf("encode batch message: %w", err)
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

var errEmptyRecord = errors.New("empty batch record")

// assembler joins the fragments of messages.
type assembler struct {
	pending []byte
	// marker is contained in the first fragment of each wanted message; nil if all are wanted.
	marker []byte
	// skipping is set while the next record continues an unwanted message.
	skipping bool
}

// skip reports whether a record belongs to an unwanted message.
func (a *assembler) skip(record []byte) bool {
	startsMessage := len(a.pending) == 0 && !a.skipping
	skipped := a.skipping || startsMessage && !bytes.Contains(record, a.marker)
	a.skipping = skipped && record[0] == fragmentMore
	return skipped
}

// add processes one record. It returns the message that the record completes, or nil.
func (a *assembler) add(record []byte) (*message, error) {
	if len(record) == 0 {
		return nil, errEmptyRecord
	}
	if a.skip(record) {
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
		return nil, fmt.Errorf("decode batch message: %w", err)
	}
	return decoded, nil
}
