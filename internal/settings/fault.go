package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Origin says where a value was stated.
type Origin struct {
	// Source is the file's path, the environment variable or the flag.
	Source string
	// Line counts from 1; zero outside a file.
	Line int
}

// Fault is one thing that is wrong with the settings.
type Fault struct {
	Origin Origin
	// Key is the dotted key at fault ("limits.body", "peers[1]").
	Key     string
	Message string
}

// String writes the fault on one line, as "file:line: key: message".
func (f Fault) String() string {
	prefix := ""
	switch {
	case f.Origin.Line > 0:
		prefix = fmt.Sprintf("%s:%d: ", f.Origin.Source, f.Origin.Line)
	case f.Origin.Source != "":
		prefix = f.Origin.Source + ": "
	}
	if f.Key == "" {
		return prefix + f.Message
	}
	return prefix + f.Key + ": " + f.Message
}

// Faults is the error that Load returns when the settings are wrong. It holds
// everything that was found.
type Faults []Fault

// Error writes the faults, a line each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// has reports whether a fault of the key is known already.
func (f Faults) has(key string) bool {
	return slices.ContainsFunc(f, func(fault Fault) bool { return fault.Key == key })
}

// sorted orders the faults by source, line and key.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		if c := strings.Compare(a.Origin.Source, b.Origin.Source); c != 0 {
			return c
		}
		if a.Origin.Line != b.Origin.Line {
			return a.Origin.Line - b.Origin.Line
		}
		return strings.Compare(a.Key, b.Key)
	})
	return f
}
