package frontend

import (
	"maps"

	"go.uber.org/zap"

	"dalehook/internal/directory"
)

// evacuatedZones tracks the zones that the operator has evacuated. Servers of such a zone get no
// new work until the evacuation is cancelled; running work may finish. Only the goroutine that
// follows the operator topic uses it.
type evacuatedZones struct {
	directory *directory.Directory
	// onChange is called when the set of evacuated zones has changed in the directory.
	onChange func()
	logger   *zap.Logger
	// desired is the set according to the operator's records, applied the one that the directory
	// uses.
	desired, applied map[string]bool
}

func (z *evacuatedZones) clear() { z.desired = nil }

func (z *evacuatedZones) set(zone string, evacuated bool) {
	desired := maps.Clone(z.desired)
	if desired == nil {
		desired = make(map[string]bool)
	}
	delete(desired, zone)
	if evacuated {
		desired[zone] = true
	}
	z.desired = desired
}

// apply passes the desired set to the directory if it differs from the applied one.
func (z *evacuatedZones) apply() {
	if maps.Equal(z.desired, z.applied) {
		return
	}
	for zone := range z.desired {
		if !z.applied[zone] {
			z.logger.Info("zone evacuated", zap.String("zone", zone))
		}
	}
	for zone := range z.applied {
		if !z.desired[zone] {
			z.logger.Info("zone no longer evacuated", zap.String("zone", zone))
		}
	}
	z.applied = z.desired
	z.directory.SetEvacuated(z.applied)
	z.onChange()
}
