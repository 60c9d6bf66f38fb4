package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testSettings = `{"node":"n","zone":"z","listen":{"requests":"127.0.0.1:1","readiness":"127.0.0.1:2","internal":"127.0.0.1:3"},
 "store":{"address":"127.0.0.1:4","partitions":12}}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against output of "check" that is not JSON: programs read it.
func TestCheckPrintsEffectiveSettings(t *testing.T) {
	var output bytes.Buffer
	if err := writeEffectiveSettings(&output, writeSettings(t, testSettings)); err != nil {
		t.Fatal(err)
	}
	var printed struct {
		Overload struct {
			RetryShare float64 `json:"retry_share"`
		} `json:"overload"`
	}
	if err := json.Unmarshal(output.Bytes(), &printed); err != nil || printed.Overload.RetryShare != 0.1 {
		t.Errorf("printed %s, %v", output.String(), err)
	}
}

// Guards against invalid settings that are printed as if they were in force, and against an error that
// names only one of several problems.
func TestCheckOfInvalidSettings(t *testing.T) {
	var output bytes.Buffer
	err := writeEffectiveSettings(&output, writeSettings(t, strings.Replace(testSettings, `"zone"`, `"overload":{"retry_share":-1},"zones"`, 1)))
	if err == nil || !strings.Contains(err.Error(), `"zone"`) || !strings.Contains(err.Error(), "overload.retry_share") {
		t.Errorf("error %v", err)
	}
	if output.Len() > 0 {
		t.Errorf("printed %s", output.String())
	}
}
