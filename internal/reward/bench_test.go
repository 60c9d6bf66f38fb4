package reward

import (
	"fmt"
	"testing"
	"time"

	"dalehook/internal/routetable"
)

// BenchmarkBurst scores a burst of 250 calls on 24 slots, with 350 routes on one host.
func BenchmarkBurst(b *testing.B) {
	routes := []routetable.Route{{
		Host: "h", Prefix: "/score/", MaxAttempts: 4, Targets: []routetable.Target{{Service: "app", Weight: 1}},
	}}
	for i := range 350 {
		routes = append(routes, routetable.Route{Host: "h", Prefix: fmt.Sprintf("/idle-%d/", i)})
	}
	table := routetable.NewTable(1, routes, nil, routetable.Limits{})
	now := time.Unix(1000, 0)
	fresh := func(int) bool { return true }
	for b.Loop() {
		queue := NewQueue()
		queue.HandleTable(table)
		queue.HandleSlots(map[string]int{"app": 24})
		for i := range 250 {
			queue.Add(now, Item{ItemID: fmt.Sprint(i)}, &Call{ID: fmt.Sprint("r", i), Host: "h", Path: "/score/1"}, 0, now.Add(time.Minute))
		}
		sends := queue.Next(now, fresh)
		for answered := 0; answered < len(sends); answered++ {
			queue.HandleAnswer(now, sends[answered].ID, Answer{Score: "s"})
			sends = append(sends, queue.Next(now, fresh)...)
		}
	}
}
