package jobread

import "testing"

// Nodes of other builds send verdicts by number.
func TestVerdictsKeepTheirNumbers(t *testing.T) {
	for verdict, number := range map[Verdict]int{NotFollowed: 0, Behind: 1, Absent: 2, Found: 3} {
		if int(verdict) != number {
			t.Errorf("%s has number %d, not %d", verdict, verdict, number)
		}
	}
	if got := Verdict(99).String(); got != "verdict 99" {
		t.Errorf("a verdict of a later build: %q", got)
	}
}

// Nodes of other builds make these calls.
func TestCallsKeepTheirNames(t *testing.T) {
	if methodResults != "Jobs.Results" || methodBody != "Jobs.Body" {
		t.Errorf("calls %s and %s", methodResults, methodBody)
	}
}
