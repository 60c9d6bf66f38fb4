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

// noItems is the text of a job's empty list of items. It does not occur in strings, where quotes are escaped.
var noItems = []byte(`"Items":[]`)

var errNoItemList = errors.New("the job's text has no list of items")

// EncodeJob returns the records that accept a job. Its text, which may be large, is only held as records.
func EncodeJob(job *Job) ([][]byte, error) {
	envelope := *job
	envelope.Items = []Item{}
	text, err := json.Marshal(message{Job: &envelope})
	if err != nil {
		return nil, fmt.Errorf("encode batch message: %w", err)
	}
	before, after, found := bytes.Cut(text, noItems)
	if !found {
		return nil, errNoItemList
	}
	var fragments fragmenter
	fragments.add(before)
	fragments.add([]byte(`"Items":[`))
	for i := range job.Items {
		text, err := json.Marshal(&job.Items[i])
		if err != nil {
			return nil, fmt.Errorf("encode batch item: %w", err)
		}
		if i > 0 {
			fragments.add([]byte{','})
		}
		fragments.add(text)
	}
	fragments.add([]byte{']'})
	fragments.add(after)
	return fragments.end(), nil
}

// fragmenter cuts the text of a message into records.
type fragmenter struct {
	records [][]byte
	// last is the record that is being filled, with its kind.
	last []byte
}

// initialFragmentBytes is the first capacity of a record; most messages are small.
const initialFragmentBytes = 4 << 10

// add adds a part of the text.
func (f *fragmenter) add(text []byte) {
	for len(text) > 0 {
		if len(f.last) == fragmentSize+1 {
			f.records, f.last = append(f.records, f.last), nil
		}
		if f.last == nil {
			f.last = append(make([]byte, 0, min(initialFragmentBytes, fragmentSize)), fragmentMore)
		}
		size := min(len(text), fragmentSize+1-len(f.last))
		f.last = append(f.last, text[:size]...)
		text = text[size:]
	}
}

// end returns the records of the message.
func (f *fragmenter) end() [][]byte {
	f.last[0] = fragmentLast
	return append(f.records, f.last)
}

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
	var fragments fragmenter
	fragments.add(text)
	return fragments.end(), nil
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
