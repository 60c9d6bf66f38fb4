// Package platform models what the platform gives: the append-only log service,
// the rate-limited weight store and the lagging machine list.
package platform

import (
	"math/rand/v2"
	"time"

	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/sim/fault"
	"dalehook/internal/sim/kernel"
)

// LogOptions configure a Log.
type LogOptions struct {
	Kernel *kernel.Kernel
	Faults *fault.Set
	// AppendTime is the time of an append inside the service.
	AppendTime time.Duration
}

// Log is the log service: append and read from an offset, nothing else.
type Log struct {
	options LogOptions
	random  *rand.Rand
	logs    map[string]*stream
	appends int
}

type stored struct {
	offset uint64
	id     record.ID
	body   []byte
}

type stream struct {
	entries []stored
	waiting []*waiter
}

type waiter struct {
	from  uint64
	reply func(machine.LogEntries)
	done  bool
}

// NewLog returns an empty log service.
func NewLog(options LogOptions) *Log {
	return &Log{options: options, random: options.Kernel.Rand("log"), logs: make(map[string]*stream)}
}

// Times of the faults of the log service.
const (
	slowMost      = 3 * time.Second
	lostMost      = 2 * time.Second
	lateAppendMax = 4 * time.Second
)

// maxEntries bounds the answer to one read.
const maxEntries = 512

// Appends returns the number of records that were taken.
func (l *Log) Appends() int { return l.appends }

// Append appends a record. While the log is down half of the calls are refused
// and half are never answered; while answers get lost some appends
// take effect late, after their caller was told that the outcome is unknown.
func (l *Log) Append(name string, r record.Record, reply func(machine.AppendResult)) {
	result := machine.AppendResult{Log: name, ID: r.ID, Outcome: machine.AppendDone}
	body, err := record.Encode(r)
	if err != nil {
		result.Outcome, result.Err = machine.AppendNotDone, err.Error()
		reply(result)
		return
	}
	if l.down() {
		l.refuse(result, reply)
		return
	}
	lost := l.options.Faults.On(fault.AppendAnswerLost, fault.Platform) && l.random.IntN(2) == 0
	delay := l.serviceTime()
	if lost && l.random.IntN(2) == 0 {
		delay += time.Duration(l.random.Int64N(int64(lateAppendMax)))
	}
	l.options.Kernel.After(delay, func() {
		if l.down() {
			if !lost {
				l.refuse(result, reply)
			}
			return
		}
		result.Offset = l.take(name, r.ID, body)
		if !lost {
			reply(result)
		}
	})
	if lost {
		unknown := machine.AppendResult{Log: name, ID: r.ID, Outcome: machine.AppendUnknown, Err: "connection reset"}
		l.options.Kernel.After(time.Duration(l.random.Int64N(int64(lostMost))), func() { reply(unknown) })
	}
}

func (l *Log) refuse(result machine.AppendResult, reply func(machine.AppendResult)) {
	result.Outcome, result.Err = machine.AppendNotDone, "connection refused"
	if l.random.IntN(2) == 0 {
		reply(result)
	}
}

func (l *Log) down() bool { return l.options.Faults.On(fault.StoreDown, fault.Platform) }

func (l *Log) serviceTime() time.Duration {
	if l.options.Faults.On(fault.StoreSlow, fault.Platform) {
		return l.options.AppendTime + time.Duration(l.random.Int64N(int64(slowMost)))
	}
	return l.options.AppendTime
}

func (l *Log) stream(name string) *stream {
	s, ok := l.logs[name]
	if !ok {
		s = &stream{}
		l.logs[name] = s
	}
	return s
}

func (l *Log) take(name string, id record.ID, body []byte) uint64 {
	s := l.stream(name)
	offset := uint64(len(s.entries) + 1)
	s.entries = append(s.entries, stored{offset: offset, id: id, body: body})
	l.appends++
	l.options.Kernel.Record("append", name, string(id), offset)
	if l.options.Kernel.Tracing() {
		l.options.Kernel.Note("%s", body)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		l.answer(name, s, w)
	}
	return offset
}

// Read answers with the entries from an offset on; when there are none it waits
// for the given time.
func (l *Log) Read(name string, from uint64, wait time.Duration, reply func(machine.LogEntries)) {
	if l.down() {
		l.options.Kernel.After(time.Millisecond, func() {
			reply(machine.LogEntries{Log: name, From: from, Err: "connection refused"})
		})
		return
	}
	l.options.Kernel.After(l.serviceTime(), func() {
		s := l.stream(name)
		w := &waiter{from: max(from, 1), reply: reply}
		if w.from <= uint64(len(s.entries)) || wait <= 0 {
			l.answer(name, s, w)
			return
		}
		s.waiting = append(s.waiting, w)
		l.options.Kernel.After(wait, func() { l.answer(name, s, w) })
	})
}

func (l *Log) answer(name string, s *stream, w *waiter) {
	if w.done {
		return
	}
	w.done = true
	if l.down() {
		w.reply(machine.LogEntries{Log: name, From: w.from, Err: "connection reset"})
		return
	}
	w.reply(machine.LogEntries{Log: name, From: w.from, Entries: s.read(w.from), End: uint64(len(s.entries))})
}

// read decodes anew for each reader, so that no two nodes share memory.
func (s *stream) read(from uint64) []record.Entry {
	if from > uint64(len(s.entries)) {
		return nil
	}
	last := min(int(from)-1+maxEntries, len(s.entries))
	entries := make([]record.Entry, 0, last-int(from)+1)
	for _, e := range s.entries[from-1 : last] {
		decoded, err := record.Decode(e.body)
		if err != nil {
			panic("sim: a record on the log can't be decoded: " + err.Error())
		}
		entries = append(entries, record.Entry{Offset: e.offset, Record: decoded})
	}
	return entries
}

// Entries returns what stands on a log, for checks from the outside.
func (l *Log) Entries(name string) []record.Entry {
	s := l.stream(name)
	var entries []record.Entry
	for from := uint64(1); from <= uint64(len(s.entries)); from += maxEntries {
		entries = append(entries, s.read(from)...)
	}
	return entries
}
