package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dalehook/internal/platform"
)

const (
	// maxReadEntries and maxReadBytes bound one answer; the reader asks again.
	maxReadEntries = 1000
	maxReadBytes   = 8 << 20
	// maxReadWait bounds a long poll.
	maxReadWait = time.Minute
)

// memoryLog is one append-only log.
type memoryLog struct {
	entries []platform.Entry
	// changed is closed and replaced on each append.
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

// from returns entries from an offset on, as many as one answer holds.
func (l *memoryLog) from(offset uint64) []platform.Entry {
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

// log returns a log by name; a name that was never used is an empty log. The
// caller holds the lock.
func (p *Platform) log(name string) *memoryLog {
	log, ok := p.logs[name]
	if !ok {
		log = &memoryLog{changed: make(chan struct{})}
		p.logs[name] = log
	}
	return log
}

func (p *Platform) postLog(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.enterStore(r)
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
	if p.faults.take(FaultAppendAnswerLost) {
		abort()
	}
	writeJSON(w, http.StatusOK, platform.Appended{Offset: offset})
}

func (p *Platform) getLog(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.enterStore(r)
	from := queryUint(r, "from")
	wait := min(time.Duration(queryUint(r, "wait_ms"))*time.Millisecond, maxReadWait)
	deadline := time.Now().Add(wait)
	for {
		_, faulted := p.faults.remaining(FaultStoreDown)
		answer, changed := p.read(params.ByName("name"), from)
		left := time.Until(deadline)
		if len(answer.Entries) > 0 || left <= 0 {
			p.enterStore(r)
			writeJSON(w, http.StatusOK, answer)
			return
		}
		if !p.waitForEntry(r, left, changed, faulted) {
			abort()
		}
	}
}

func (p *Platform) read(name string, from uint64) (platform.Entries, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.log(name)
	return platform.Entries{Entries: log.from(from), End: log.end()}, log.changed
}

// waitForEntry returns false when the read is to end without an answer.
func (p *Platform) waitForEntry(r *http.Request, left time.Duration, changed, faulted <-chan struct{}) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-p.done:
		return false
	case <-faulted:
		return !p.faults.active(FaultStoreDown)
	case <-changed:
		return true
	case <-timer.C:
		return true
	}
}

// enterStore applies the faults store_slow and store_down to a call of the log
// or of the weight store.
func (p *Platform) enterStore(r *http.Request) {
	if delay := p.faults.milliseconds(FaultStoreSlow); delay > 0 && !sleep(r.Context(), delay, p.done) {
		abort()
	}
	if p.faults.active(FaultStoreDown) {
		abort()
	}
}
