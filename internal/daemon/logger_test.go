package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"dalehook/internal/settings"
)

func TestLoggerWritesOneLinePerEntryWithoutStackTrace(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(settings.Log{Level: "info"}, &out)
	if err != nil {
		t.Fatal(err)
	}
	logger = logger.Named("node").With(zap.NamedError("cause", eris.New("first")))
	logger.Debug("node: Not wanted.")
	logger.Info("node: Registration failed.", zap.Error(eris.New("second")))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1:\n%s", len(lines), out.String())
	}
	if want := "\tINFO\tnode: Registration failed.\t" + `{"cause": "first", "error": "second"}`; !strings.HasSuffix(lines[0], want) {
		t.Errorf("got %q, want it to end in %q", lines[0], want)
	}
}

func TestNewLoggerRejectsUnknownLevel(t *testing.T) {
	if _, err := NewLogger(settings.Log{Level: "loud"}, &bytes.Buffer{}); err == nil {
		t.Error("NewLogger accepted an unknown level")
	}
}
