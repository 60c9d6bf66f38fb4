package duty

import "testing"

func TestActiveTermPermitsItsEpoch(t *testing.T) {
	cases := []struct {
		term  Term
		epoch int64
		want  bool
	}{
		{Term{Epoch: 3, Active: true}, 3, true},
		{Term{Epoch: 3}, 3, false},
		{Term{Epoch: 4, Active: true}, 3, false},
	}
	for _, c := range cases {
		if got := c.term.Permits(c.epoch); got != c.want {
			t.Errorf("%+v permits epoch %d: %v", c.term, c.epoch, got)
		}
	}
}
