package batch

import "testing"

// The numeric values of outcomes are stored.
func TestOutcomesKeepTheirNumbers(t *testing.T) {
	for outcome, number := range map[Outcome]int{OutcomeCompleted: 0, OutcomeDead: 1} {
		if int(outcome) != number {
			t.Errorf("%s has value %d, want %d", outcome, outcome, number)
		}
	}
	if got := Outcome(99).String(); got != "outcome 99" {
		t.Errorf("outcome of a later build: %q", got)
	}
}
