package machine

import (
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

// AppendLog appends one record. The driver does not repeat it.
type AppendLog struct {
	Log    string
	Record record.Record
}

func (AppendLog) output() {}

// AppendOutcome says what is known of an append after its call ended.
type AppendOutcome int

const (
	// AppendDone means that the record stands on the log at Offset.
	AppendDone AppendOutcome = iota + 1
	// AppendNotDone means that the log surely did not take the record: the
	// connection could not be opened, or the log refused.
	AppendNotDone
	// AppendUnknown means that the record may or may not stand on the log.
	AppendUnknown
)

// AppendResult answers AppendLog.
type AppendResult struct {
	Log     string
	ID      record.ID
	Outcome AppendOutcome
	Offset  uint64
	Err     string
}

func (AppendResult) input() {}

// ReadLog asks for the entries of a log from an offset on. The driver runs at
// most one read of a log at a time; the machine asks again after LogEntries.
type ReadLog struct {
	Log  string
	From uint64
	// Wait is how long the log may hold the answer back when there is nothing new.
	Wait time.Duration
}

func (ReadLog) output() {}

// LogEntries answers ReadLog. When Err is not empty the log could not be read.
// End is the offset of the last record on the log when the answer was made.
type LogEntries struct {
	Log     string
	From    uint64
	Entries []record.Entry
	End     uint64
	Err     string
}

func (LogEntries) input() {}

// ReadMachines asks for the platform's lagging machine list.
type ReadMachines struct{}

func (ReadMachines) output() {}

// MachineList answers ReadMachines.
type MachineList struct {
	Machines []cluster.Machine
	Err      string
}

func (MachineList) input() {}
