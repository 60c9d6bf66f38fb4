// Package record defines the records of the platform's log and the folds that
// turn them into state. Conflicts are decided by position: of several records
// that build on the same revision or epoch the first on the log is valid and
// each later one is void, on every node alike.
package record

// ID names one append. A second record with the same id on a log is void, so an
// append whose answer was lost can be settled by reading.
type ID string

// Record is the envelope of everything that dalehook writes to a log. Body is
// one of the record types of this package, by value.
type Record struct {
	ID   ID
	Body any
}

// Entry is a record with its place on the log. Offsets start at 1.
type Entry struct {
	Offset uint64
	Record Record
}
