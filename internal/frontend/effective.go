package frontend

import (
	"cmp"
	"encoding/json"

	"dalehook/internal/scaling"
	"dalehook/internal/serverlist"
)

// Effective returns the settings in force as indented JSON: every key in a fixed order, with
// defaults in place of values that are not set.
func (s *Settings) Effective() ([]byte, error) {
	settings := *s
	settings.Scaling.Headroom = cmp.Or(settings.Scaling.Headroom, scaling.DefaultSlotsPerItem)
	settings.LeaveBoundMs = cmp.Or(settings.LeaveBoundMs, int(serverlist.DefaultLeaveBound.Milliseconds()))
	settings.Clients.StallMs = int(settings.clientStall().Milliseconds())
	settings.Clients.MemoryMB = settings.clientMemoryMB()
	settings.Clients.BacklogMB = settings.backlogMB()
	settings.Clients.Connections = settings.maxConnections()
	settings.LogLevel = cmp.Or(settings.LogLevel, defaultLogLevel)
	if settings.Provider.Duties == nil {
		settings.Provider.Duties = []string{}
	}
	settings.Overload.TenantWeights = nonNil(settings.Overload.TenantWeights)
	settings.Scheduling.TenantWeights = nonNil(settings.Scheduling.TenantWeights)
	return json.MarshalIndent(settings, "", "  ")
}

func nonNil(weights map[string]float64) map[string]float64 {
	if weights == nil {
		return map[string]float64{}
	}
	return weights
}
