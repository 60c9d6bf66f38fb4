package explain

import "testing"

// Guards against a refusal that is explained by a line about an overload of another node, of another
// service, or of another time, whose figures were not the inputs of the decision.
func TestRefusals(t *testing.T) {
	entries := readTestLog(t, "refusals.log")
	for name, id := range map[string]string{
		"refused_overloaded": "r1", "refused_too_late": "r2", "refused_retry_budget": "r3", "refused_without_overload_line": "r4",
		"refused_held": "r5", "refused_twice": "r6", "refused_earlier_build": "r7", "answered_late": "r8", "refused_after_rejection": "r9",
	} {
		t.Run(name, func(t *testing.T) { assertHistory(t, name, id, entries) })
	}
}
