package bytebudget

import (
	"errors"
	"io"
)

// Pieces are the parts of a body, in order.
type Pieces [][]byte

// Size returns the number of bytes of all pieces.
func (p Pieces) Size() int64 {
	size := int64(0)
	for _, piece := range p {
		size += int64(len(piece))
	}
	return size
}

// WriteTo implements io.WriterTo.
func (p Pieces) WriteTo(w io.Writer) (written int64, err error) {
	for _, piece := range p {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Sizes of the pieces of a body of unknown size, in bytes. Each is twice as large as the one before.
const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// ReadPieces reads until the source ends, limit bytes are read, or the reservation cannot grow as GrowIfIdle does. ended
// says that the source ended before limit bytes were read. The size is the expected number of bytes, or below 0 if it is
// unknown. No byte is copied.
func (r *Reservation) ReadPieces(source io.Reader, size, limit int64) (pieces Pieces, ended bool, err error) {
	next := min(firstPieceBytes, limit)
	if size >= 0 {
		next = min(size+1, limit) // the extra byte lets the end be read without another piece
	}
	for left := limit; next > 0 && r.GrowIfIdle(next); next = min(2*next, maxPieceBytes, left) {
		piece, err := fill(source, make([]byte, next))
		pieces, left = append(pieces, piece), left-int64(len(piece))
		if errors.Is(err, io.EOF) {
			return pieces, left > 0, nil
		}
		if err != nil {
			return pieces, false, err
		}
	}
	return pieces, false, nil
}

// fill reads until the buffer is full or the source fails, and returns what was read.
func fill(source io.Reader, buffer []byte) ([]byte, error) {
	read := 0
	for read < len(buffer) {
		n, err := source.Read(buffer[read:])
		read += n
		if err != nil {
			return buffer[:read], err
		}
	}
	return buffer, nil
}
