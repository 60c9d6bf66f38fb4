package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// readTestLog returns the entries of a log in testdata.
func readTestLog(t *testing.T, name string) []Entry {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries, err := Read(name, file)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// assertHistory compares the history of an ID with a golden file.
func assertHistory(t *testing.T, golden, id string, entries []Entry) {
	t.Helper()
	var text bytes.Buffer
	if err := Explain(id, entries).Write(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, golden, text.Bytes())
}
