package command

import (
	"testing"

	"github.com/google/subcommands"
	"github.com/sebdah/goldie/v2"
)

func TestBenchHelpText(t *testing.T) {
	got := run(t, "help", "bench")
	goldie.New(t).Assert(t, "help-bench", []byte(got.output))
}

func TestBenchRefusesWrongUse(t *testing.T) {
	for _, arguments := range [][]string{
		{"bench"}, {"bench", "data"}, {"bench", "control", "-sizes", "3"}, {"bench", "control", "-sizes", "20,x"},
		{"bench", "control", "-servers", "1"}, {"bench", "control", "more"},
	} {
		if got := run(t, arguments...); got.status != subcommands.ExitUsageError {
			t.Errorf("%v ended with %d, want %d", arguments, got.status, subcommands.ExitUsageError)
		}
	}
}
