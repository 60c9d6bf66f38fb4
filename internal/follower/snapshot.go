package follower

import (
	"bytes"
	"encoding/gob"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

const (
	// pieceBytes is the size of a piece of a snapshot.
	pieceBytes = 16 << 10
	// maxPieces bounds a snapshot that is being received, to 64 MiB.
	maxPieces = 4096
	// servingLife is how long an encoded snapshot is kept after its last use.
	servingLife = 10 * time.Second
)

// serving is the encoded snapshot that this node hands out in pieces.
type serving struct {
	offset uint64
	data   []byte
	usedAt time.Time
}

// expire drops a snapshot that nobody asks for.
func (s *serving) expire(now time.Time) {
	if s.data != nil && now.Sub(s.usedAt) >= servingLife {
		*s = serving{}
	}
}

// download is a snapshot that this node receives.
type download struct {
	offset uint64
	count  int
	pieces [][]byte
}

// sendPiece sends one piece of the snapshot taken at an offset. When that one is
// gone, the first piece of a new one is sent instead.
func (m *Machine) sendPiece(to cluster.NodeID, offset uint64, number int) {
	if m.serving.data == nil || m.serving.offset != offset {
		if !m.encodeSnapshot() {
			return
		}
		number = 0
	}
	m.serving.usedAt = m.now
	count := (len(m.serving.data) + pieceBytes - 1) / pieceBytes
	if number < 0 || number >= count {
		return
	}
	end := min((number+1)*pieceBytes, len(m.serving.data))
	m.sendTo(to, piece{
		Offset: m.serving.offset,
		Number: number,
		Count:  count,
		Data:   m.serving.data[number*pieceBytes : end],
	})
}

// encodeSnapshot prepares the state in force for handing out.
func (m *Machine) encodeSnapshot() bool {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m.control.Snapshot()); err != nil {
		return false
	}
	m.serving = serving{offset: m.control.Offset(), data: buffer.Bytes()}
	return true
}

// handlePieceRequest serves the next piece.
func (m *Machine) handlePieceRequest(from cluster.NodeID, in pieceRequest) {
	m.sendPiece(from, in.Offset, in.Number)
}

// handlePiece keeps the next piece and asks for the one after it; the last one
// completes the snapshot. Only the peer that was pulled from is listened to.
func (m *Machine) handlePiece(from cluster.NodeID, in piece) {
	if from != m.pulling.from || in.Offset <= m.control.Offset() || in.Count < 1 || in.Count > maxPieces {
		return
	}
	if in.Number == 0 {
		m.download = download{offset: in.Offset, count: in.Count}
	}
	if in.Offset != m.download.offset || in.Number != len(m.download.pieces) || in.Count != m.download.count {
		return
	}
	m.pulling.sentAt = m.now
	m.download.pieces = append(m.download.pieces, in.Data)
	if len(m.download.pieces) < m.download.count {
		m.sendTo(from, pieceRequest{Offset: in.Offset, Number: len(m.download.pieces)})
		return
	}
	data := bytes.Join(m.download.pieces, nil)
	m.endPull()
	m.restore(data)
	if m.control.Offset() < m.pulling.target {
		m.pull(from)
	}
}

// restore replaces the fold by a later snapshot.
func (m *Machine) restore(data []byte) {
	var snapshot record.Snapshot
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&snapshot); err != nil {
		return
	}
	if snapshot.Offset <= m.control.Offset() {
		return
	}
	m.control = record.RestoreControl(snapshot)
	m.history.clear()
	if m.options.OnRestore != nil {
		m.options.OnRestore(m.now, m.control)
	}
	for _, neighbour := range m.options.Neighbours() {
		m.send(neighbour, m.offer())
	}
}
