package jobread

import "testing"

// Verdicts are sent by number between nodes of different builds.
func TestVerdictsKeepTheirNumbers(t *testing.T) {
	for verdict, number := range map[Verdict]int{NotFollowed: 0, Behind: 1, Absent: 2, Found: 3} {
		if int(verdict) != number {
			t.Errorf("%s has number %d, want %d", verdict, verdict, number)
		}
	}
	if got := Verdict(99).String(); got != "verdict 99" {
		t.Errorf("verdict of a later build: %q", got)
	}
}

// Nodes of other builds call these methods by name.
func TestCallsKeepTheirNames(t *testing.T) {
	if methodResults != "Jobs.Results" || methodBody != "Jobs.Body" {
		t.Errorf("methods %s and %s", methodResults, methodBody)
	}
}
