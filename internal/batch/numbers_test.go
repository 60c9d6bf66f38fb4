package batch

import "testing"

// Results stand in the store with the numbers of their outcomes.
func TestOutcomesKeepTheirNumbers(t *testing.T) {
	for outcome, number := range map[Outcome]int{OutcomeCompleted: 0, OutcomeDead: 1} {
		if int(outcome) != number {
			t.Errorf("%s has number %d, not %d", outcome, outcome, number)
		}
	}
	if got := Outcome(99).String(); got != "outcome 99" {
		t.Errorf("an outcome of a later build: %q", got)
	}
}
