package crashwatch

import (
	"context"
	"fmt"
	"testing"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
)

// BenchmarkManyServersCrash is what a node does when 100 engines with 16 runs each end at once, and
// the runs go on elsewhere: 1,600 breaks, 100 ends, 1,600 answers. The driver of a scheduler takes all that
// is known whenever it has changed.
func BenchmarkManyServersCrash(b *testing.B) {
	const servers, runs = 100, 16
	for b.Loop() {
		list := directory.NewDirectory()
		var tracker *Tracker
		tracker = NewTracker(Options{
			Directory: list, Probe: func(context.Context, string) Reach { return ReachRefused },
			Changed: func() { tracker.Suspicions() },
		})
		each := func(visit func(server directory.Server, fingerprint quarantine.Fingerprint)) {
			for number := range servers {
				server := directory.Server{ID: fmt.Sprint("i", number), Born: 1, Service: "s", Address: fmt.Sprint("a", number)}
				for run := range runs {
					visit(server, named(fmt.Sprint(number, " ", run)))
				}
			}
		}
		for number := range servers {
			put := directory.Server{ID: fmt.Sprint("i", number), Born: 1, Service: "s", Address: fmt.Sprint("a", number)}
			list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
		}
		each(func(server directory.Server, fingerprint quarantine.Fingerprint) {
			tracker.Broke(fingerprint, server, UnderWay{Progressed: true, HereOnly: true})
		})
		for _, broken := range tracker.unprobed() {
			tracker.settle(broken, true)
		}
		each(func(_ directory.Server, fingerprint quarantine.Fingerprint) {
			tracker.Answered(fingerprint, directory.Incarnation{ID: "other"}, clock.Now())
		})
	}
}
