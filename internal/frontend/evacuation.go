package frontend

import (
	"maps"

	"go.uber.org/zap"

	"dalehook/internal/directory"
)

// evacuatedZones follows which zones the operator has evacuated: their servers are sent nothing
// more until that is taken back, and what runs there may end. It is used by the goroutine that
// follows what operators put.
type evacuatedZones struct {
	directory *directory.Directory
	// changed is told when servers take work that took none, or none any more.
	changed func()
	logger  *zap.Logger
	// wanted is what the records say, applied what the directory goes by.
	wanted, applied map[string]bool
}

func (z *evacuatedZones) clear() { z.wanted = nil }

func (z *evacuatedZones) set(zone string, evacuated bool) {
	wanted := maps.Clone(z.wanted)
	if wanted == nil {
		wanted = make(map[string]bool)
	}
	delete(wanted, zone)
	if evacuated {
		wanted[zone] = true
	}
	z.wanted = wanted
}

// apply has the directory go by what the records say.
func (z *evacuatedZones) apply() {
	if maps.Equal(z.wanted, z.applied) {
		return
	}
	for zone := range z.wanted {
		if !z.applied[zone] {
			z.logger.Info("zone evacuated", zap.String("zone", zone))
		}
	}
	for zone := range z.applied {
		if !z.wanted[zone] {
			z.logger.Info("zone no longer evacuated", zap.String("zone", zone))
		}
	}
	z.applied = z.wanted
	z.directory.SetEvacuated(z.applied)
	z.changed()
}
