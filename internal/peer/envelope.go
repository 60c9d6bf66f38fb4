package peer

import (
	"bufio"
	"io"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"dalehook/internal/cluster"
)

// protocolVersion is the version of what travels on a connection. A node
// closes a connection whose hello names another one.
const protocolVersion = 1

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// errFrameTooLarge means that a message was larger than the limit.
var errFrameTooLarge = eris.New("peer: message over the frame limit")

// hello is the first message on a connection. The identity of the sender holds
// for the whole connection, so it is not repeated in each envelope.
type hello struct {
	Version         int
	From            cluster.NodeID
	FromIncarnation cluster.Incarnation
	// To is the node that the sender means, empty for whoever listens.
	To cluster.NodeID
}

// envelope carries one message.
type envelope struct {
	Message any
}

// frameReader feeds a gob decoder and bounds what one Decode may read. It
// implements io.ByteReader, so that the decoder adds no buffer of its own.
type frameReader struct {
	buffered *bufio.Reader
	limit    int
	left     int
	bytes    prometheus.Counter
}

// newFrameReader returns a reader whose first message may begin.
func newFrameReader(source io.Reader, limit int, bytes prometheus.Counter) *frameReader {
	return &frameReader{
		buffered: bufio.NewReaderSize(source, readBufferSize),
		limit:    limit,
		left:     limit,
		bytes:    bytes,
	}
}

// begin allows the next message its full size and counts the last one.
func (r *frameReader) begin() {
	r.bytes.Add(float64(r.limit - r.left))
	r.left = r.limit
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errFrameTooLarge
	}
	if len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.buffered.Read(p)
	r.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *frameReader) ReadByte() (byte, error) {
	if r.left == 0 {
		return 0, errFrameTooLarge
	}
	b, err := r.buffered.ReadByte()
	if err == nil {
		r.left--
	}
	return b, err
}
