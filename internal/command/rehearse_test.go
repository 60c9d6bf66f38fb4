package command

import (
	"strings"
	"testing"

	"github.com/google/subcommands"
)

func TestRehearseRejectsInvalidArguments(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		status    subcommands.ExitStatus
		message   string
	}{
		{[]string{"rehearse", "-event", "testdata/no-such-event.yaml"}, subcommands.ExitUsageError, "read event file"},
		{[]string{"rehearse", "-event", "../../docs/operators/medellin-exam.yaml", "-policy", "guess"}, subcommands.ExitUsageError, `unknown policy "guess"`},
		{[]string{"rehearse", "-event", "../../docs/operators/medellin-exam.yaml", "-seeds", "0"}, subcommands.ExitUsageError, "needs a seed"},
	} {
		got := runCommandLine(t, c.arguments...)
		if got.status != c.status || !strings.Contains(got.errors, c.message) {
			t.Errorf("%v ended with %d: %s", c.arguments, got.status, got.errors)
		}
	}
}
