package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
	// broken counts the notes about a broken rule.
	broken int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) at(moment time.Time) string {
	return fmt.Sprintf("%8.3f", moment.Sub(r.started).Seconds())
}

func (r *recorder) note(format string, values ...any) {
	r.noteAt(time.Now(), format, values...)
}

func (r *recorder) noteAt(moment time.Time, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%s  %s\n", r.at(moment), fmt.Sprintf(format, values...))
}

// breaks notes that a rule was broken, in the record and on standard output.
func (r *recorder) breaks(rule, format string, values ...any) {
	text := "BROKEN " + rule + ": " + fmt.Sprintf(format, values...)
	r.note("%s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken++
	if r.broken <= maxPrinted {
		fmt.Println(text)
	}
}

// maxPrinted bounds the broken rules that are printed; the record has all of them.
const maxPrinted = 5

func (r *recorder) brokenCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.broken
}
