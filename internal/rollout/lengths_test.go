package rollout

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/record"
)

// TestSummaryTellsTheLongestGroups covers a step with more prompt groups than a
// summary names: the long ones are worth knowing.
func TestSummaryTellsTheLongestGroups(t *testing.T) {
	var l lengths
	for number := range 2 * maxLengthGroups {
		l.add(fmt.Sprintf("g%03d", number), 100+number)
	}
	summary := l.summary()
	if len(summary) != maxLengthGroups+1 || summary[0].Group != "" || summary[0].Samples != 2*maxLengthGroups {
		t.Fatalf("%d entries, the first is %+v", len(summary), summary[0])
	}
	for i, entry := range summary[1:] {
		if want := 100 + 2*maxLengthGroups - 1 - i; entry.Tokens != want {
			t.Errorf("entry %d is of %d tokens, want %d", i, entry.Tokens, want)
		}
	}
}

// TestNextStepKnowsTheLengths covers a trainer that has not acknowledged its last
// step: whoever owns the next one knows how long the groups' samples were.
func TestNextStepKnowsTheLengths(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.run(time.Second)
	w.accept(w.nodes["n1"], body("one", 4, 10))
	for _, n := range w.sorted() {
		w.runUntil(20*time.Second, "the lengths are known", func() bool {
			known := n.machine.learned.forTrainer(trainerKey{event: "exam", trainer: "trainer"}, record.RolloutDemand{})
			return known.groups["g"].Value() > 0
		})
	}
}
