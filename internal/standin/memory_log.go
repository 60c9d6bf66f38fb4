package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/platform"
)

const (
	// maxReadEntries and maxReadBytes bound one response; readers continue with
	// another read.
	maxReadEntries = 1000
	maxReadBytes   = 8 << 20
	// maxReadWait bounds a long poll.
	maxReadWait = time.Minute
)

// memoryLog is an in-memory append-only log.
type memoryLog struct {
	entries []platform.Entry
	// changed is closed and replaced on every append.
	changed chan struct{}
}

func (l *memoryLog) end() uint64 { return uint64(len(l.entries)) }

func (l *memoryLog) append(payload json.RawMessage) uint64 {
	offset := l.end() + 1
	l.entries = append(l.entries, platform.Entry{Offset: offset, Payload: payload})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// entriesFrom returns entries from an offset on, limited to one response.
func (l *memoryLog) entriesFrom(offset uint64) []platform.Entry {
	offset = max(offset, 1)
	if offset > l.end() {
		return []platform.Entry{}
	}
	found := l.entries[offset-1:]
	size := 0
	for i, entry := range found {
		size += len(entry.Payload)
		if i == maxReadEntries || (i > 0 && size > maxReadBytes) {
			return found[:i]
		}
	}
	return found
}

// log returns a log by name and creates it if needed. The caller must hold p.mu.
func (p *Platform) log(name string) *memoryLog {
	log, ok := p.logs[name]
	if !ok {
		log = &memoryLog{changed: make(chan struct{})}
		p.logs[name] = log
	}
	return log
}

func (p *Platform) postLog(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.applyStoreFaults(r)
	payload, ok := readBody(w, r)
	if !ok {
		return
	}
	if !json.Valid(payload) {
		badRequest("the body is not JSON").write(w)
		return
	}
	p.mu.Lock()
	offset := p.log(params.ByName("name")).append(payload)
	p.mu.Unlock()
	if p.faults.consume(FaultAppendAnswerLost) {
		abort()
	}
	writeJSON(w, http.StatusOK, platform.Appended{Offset: offset})
}

func (p *Platform) getLog(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.applyStoreFaults(r)
	from := queryUint(r, "from")
	wait := min(time.Duration(queryUint(r, "wait_ms"))*time.Millisecond, maxReadWait)
	deadline := time.Now().Add(wait)
	for {
		_, faultsChanged := p.faults.timeLeft(FaultStoreDown)
		result, changed := p.read(params.ByName("name"), from)
		left := time.Until(deadline)
		if len(result.Entries) > 0 || left <= 0 {
			p.applyStoreFaults(r)
			writeJSON(w, http.StatusOK, result)
			return
		}
		if !p.waitForEntry(r, left, changed, faultsChanged) {
			abort()
		}
	}
}

func (p *Platform) read(name string, from uint64) (platform.Entries, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.log(name)
	return platform.Entries{Entries: log.entriesFrom(from), End: log.end()}, log.changed
}

// waitForEntry waits for an append or the end of the long poll. It returns false
// if the read must be aborted without a response.
func (p *Platform) waitForEntry(r *http.Request, left time.Duration, changed, faultsChanged <-chan struct{}) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-p.done:
		return false
	case <-faultsChanged:
		return !p.faults.active(FaultStoreDown)
	case <-changed:
		return true
	case <-timer.C:
		return true
	}
}

// applyStoreFaults applies FaultStoreSlow and FaultStoreDown to a call to the log
// or the weight store.
func (p *Platform) applyStoreFaults(r *http.Request) {
	if delay := p.faults.milliseconds(FaultStoreSlow); delay > 0 && !sleep(r.Context(), delay, p.done) {
		abort()
	}
	if p.faults.active(FaultStoreDown) {
		abort()
	}
}
