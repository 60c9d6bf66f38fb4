package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Origin is the source of a value.
type Origin struct {
	// Source is a file path, an environment variable or a flag.
	Source string
	// Line is the 1-based line in the file; zero if the source isn't a file.
	Line int
}

// FieldError is one validation error in the settings.
type FieldError struct {
	Origin Origin
	// Key is the dotted key of the invalid value ("limits.body", "peers[1]").
	Key     string
	Message string
}

// String formats the error on one line, as "file:line: key: message".
func (e FieldError) String() string {
	prefix := ""
	switch {
	case e.Origin.Line > 0:
		prefix = fmt.Sprintf("%s:%d: ", e.Origin.Source, e.Origin.Line)
	case e.Origin.Source != "":
		prefix = e.Origin.Source + ": "
	}
	if e.Key == "" {
		return prefix + e.Message
	}
	return prefix + e.Key + ": " + e.Message
}

// FieldErrors is the error that Load returns for invalid settings. It holds
// all validation errors.
type FieldErrors []FieldError

// Error formats one validation error per line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// hasKey reports whether an error was already recorded for the key.
func (e FieldErrors) hasKey(key string) bool {
	return slices.ContainsFunc(e, func(fieldError FieldError) bool { return fieldError.Key == key })
}

// sorted sorts the errors in place by source, line and key.
func (e FieldErrors) sorted() FieldErrors {
	slices.SortStableFunc(e, func(a, b FieldError) int {
		if c := strings.Compare(a.Origin.Source, b.Origin.Source); c != 0 {
			return c
		}
		if a.Origin.Line != b.Origin.Line {
			return a.Origin.Line - b.Origin.Line
		}
		return strings.Compare(a.Key, b.Key)
	})
	return e
}
