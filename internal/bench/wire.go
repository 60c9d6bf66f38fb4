package bench

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/rotisserie/eris"
)

// frame is what a gob stream between two nodes carries, as in internal/peer.
type frame struct {
	Message any
}

// wire is one directed connection: an encoder at one end, a decoder at the other.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	usedAt  time.Time
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(&w.buffer)
	w.decoder = gob.NewDecoder(&w.buffer)
	return w
}

// encode writes a message and returns its bytes on the stream.
func (w *wire) encode(message any) (int, error) {
	before := w.buffer.Len()
	if err := w.encoder.Encode(frame{Message: message}); err != nil {
		return 0, eris.Wrapf(err, "encode %T", message)
	}
	return w.buffer.Len() - before, nil
}

// decode reads the next message.
func (w *wire) decode() (any, error) {
	var received frame
	if err := w.decoder.Decode(&received); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	return received.Message, nil
}
