package node

import (
	"sync"

	"go.uber.org/zap"

	"dalehook/internal/machine"
	"dalehook/internal/platform"
	"dalehook/internal/record"
)

// logReads lets one read of a log run at a time. Reads that are asked for while
// one runs follow in order.
type logReads struct {
	mutex   sync.Mutex
	waiting map[string][]machine.ReadLog
}

// newLogReads returns a set without reads.
func newLogReads() *logReads {
	return &logReads{waiting: make(map[string][]machine.ReadLog)}
}

// begin reports whether a read may run now; otherwise it is kept for later.
func (r *logReads) begin(read machine.ReadLog) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting, busy := r.waiting[read.Log]
	if !busy {
		r.waiting[read.Log] = nil
		return true
	}
	r.waiting[read.Log] = append(waiting, read)
	return false
}

// next returns the read of a log that follows one that has ended; false when
// there is none.
func (r *logReads) next(log string) (machine.ReadLog, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting := r.waiting[log]
	if len(waiting) == 0 {
		delete(r.waiting, log)
		return machine.ReadLog{}, false
	}
	r.waiting[log] = waiting[1:]
	return waiting[0], true
}

// readLog reads a log in a goroutine of its own.
func (n *Node) readLog(read machine.ReadLog) {
	if !n.reads.begin(read) {
		return
	}
	n.group.Go(func() {
		for again := true; again; read, again = n.reads.next(read.Log) {
			n.inbox.put(n.read(read))
		}
	})
}

// read reads a log once.
func (n *Node) read(read machine.ReadLog) machine.LogEntries {
	result := machine.LogEntries{Log: read.Log, From: read.From}
	entries, end, err := n.options.Log.Read(n.work, read.Log, read.From, read.Wait)
	if err != nil {
		result.Err = err.Error()
		return result
	}
	result.End = end
	result.Entries = n.decode(read.Log, entries)
	return result
}

// decode decodes entries. One that is no record of dalehook keeps its place
// with an empty record, which every fold takes for void.
func (n *Node) decode(log string, entries []platform.Entry) []record.Entry {
	decoded := make([]record.Entry, len(entries))
	for i, entry := range entries {
		decoded[i].Offset = entry.Offset
		body, err := record.Decode(entry.Payload)
		if err != nil {
			n.metrics.undecodable.Inc()
			n.log.Warn("node: Log entry is no record.",
				zap.String("log", log), zap.Uint64("offset", entry.Offset), zap.Error(err))
			continue
		}
		decoded[i].Record = body
	}
	return decoded
}

// appendLog appends a record in a goroutine of its own. Appends to one log may
// overtake each other.
func (n *Node) appendLog(appended machine.AppendLog) {
	n.group.Go(func() { n.inbox.put(n.append(appended)) })
}

// append appends a record once.
func (n *Node) append(appended machine.AppendLog) machine.AppendResult {
	result := machine.AppendResult{Log: appended.Log, ID: appended.Record.ID}
	payload, err := record.Encode(appended.Record)
	if err != nil {
		n.log.Error("node: Record can't be encoded.", zap.String("log", appended.Log), zap.Error(err))
		result.Outcome = machine.AppendNotDone
		result.Err = err.Error()
		return result
	}
	result.Offset, result.Outcome, err = n.options.Log.Append(n.work, appended.Log, payload)
	if err != nil {
		result.Err = err.Error()
	}
	return result
}
