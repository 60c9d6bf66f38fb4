package crashwatch

import (
	"context"
	"fmt"
	"testing"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
)

// BenchmarkManyServersCrash measures a node's work when 100 engines with 16 requests each crash at
// once and the requests are rerun elsewhere: 1,600 broken connections, 100 ends, 1,600 responses.
func BenchmarkManyServersCrash(b *testing.B) {
	const servers, runs = 100, 16
	for b.Loop() {
		list := directory.NewDirectory()
		tracker := NewTracker(Options{
			Directory: list, Probe: func(context.Context, string) ProbeResult { return ProbeRefused },
		})
		each := func(visit func(server directory.Server, fingerprint quarantine.Fingerprint)) {
			for number := range servers {
				server := directory.Server{ID: fmt.Sprint("i", number), Born: 1, Service: "s", Address: fmt.Sprint("a", number)}
				for run := range runs {
					visit(server, fingerprintNamed(fmt.Sprint(number, " ", run)))
				}
			}
		}
		for number := range servers {
			put := directory.Server{ID: fmt.Sprint("i", number), Born: 1, Service: "s", Address: fmt.Sprint("a", number)}
			list.Apply([]directory.Change{{ID: put.ID, Server: &put}})
		}
		each(func(server directory.Server, fingerprint quarantine.Fingerprint) {
			tracker.RecordBreak(fingerprint, server, InFlightRequest{Progressed: true})
		})
		for _, disconnected := range tracker.takeUnprobed() {
			tracker.finishProbes(disconnected, true)
		}
		each(func(_ directory.Server, fingerprint quarantine.Fingerprint) {
			tracker.RecordResponse(fingerprint, directory.Incarnation{ID: "other"}, clock.Now())
		})
	}
}
