package duty

import "testing"

func TestATermCoversItsEpochWhileItActs(t *testing.T) {
	cases := []struct {
		term  Term
		epoch int64
		want  bool
	}{
		{Term{Epoch: 3, Acting: true}, 3, true},
		{Term{Epoch: 3}, 3, false},
		{Term{Epoch: 4, Acting: true}, 3, false},
	}
	for _, c := range cases {
		if got := c.term.Covers(c.epoch); got != c.want {
			t.Errorf("%+v covers %d: %v", c.term, c.epoch, got)
		}
	}
}
