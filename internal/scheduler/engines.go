package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/slowstart"
)

// HandleServers processes the list of ready servers.
func (m *Machine) HandleServers(now time.Time, servers []*directory.Server) {
	m.workingSets.setListed(servers)
	m.updateWorkingSet()
	m.rewards.HandleSlots(m.slotsByService())
	m.schedule(now)
}

// updateWorkingSet adds the engines of the working sets, and removes engines that are no longer
// listed and idle.
func (m *Machine) updateWorkingSet() {
	for _, eng := range m.engines {
		eng.listed = false
	}
	used := func(id string) bool { return m.engines[id] != nil }
	for _, server := range m.workingSets.choose(used, m.serviceModels) {
		m.updateEngine(server)
	}
	for id, eng := range m.engines {
		if !eng.listed && len(eng.attempts) == 0 && !eng.loading {
			delete(m.engines, id)
			m.sortedEngineCache = nil
		}
	}
	m.assignModels()
}

// slotsByService returns the total slots of the listed servers of each service.
func (m *Machine) slotsByService() map[string]int {
	slots := make(map[string]int)
	for service, servers := range m.workingSets.listed {
		for _, server := range servers {
			slots[service] += server.Slots
		}
	}
	return slots
}

func (m *Machine) updateEngine(server *directory.Server) {
	eng := m.engines[server.ID]
	if eng != nil && eng.server.Born != server.Born && !eng.server.incarnation().MayBeSame(server.Incarnation()) {
		m.discardEngine(eng)
		eng = nil
	}
	if eng == nil {
		eng = &engine{
			server:   Server{ID: server.ID, Born: server.Born, Address: server.Address, Service: server.Service},
			versions: make(map[string]int64),
			attempts: make(map[AttemptID]*attempt),
		}
		m.engines[server.ID] = eng
		m.sortedEngineCache = nil
	}
	eng.listed = true
	eng.server.Born = server.Born
	eng.service = server.Service
	eng.slots = server.Slots
	eng.warmAt = server.WarmAt
	m.applyService(eng)
	for model, version := range server.Versions {
		// The list may be older than load results and events.
		eng.versions[model] = max(eng.versions[model], version)
	}
}

// applyService sets what the configuration says about an engine's service.
func (m *Machine) applyService(eng *engine) {
	eng.warmUpRate = m.table.WarmUpRate(eng.service)
	eng.memoryTokens, eng.tokensPerEvent = m.table.Memory(eng.service)
	eng.slowdown = m.slowdownOf(eng.service)
}

// atWarmUpLimit reports whether an engine was sent its maximum number of items within the last
// second. An engine that has just started sustains a low rate, and fails when all its slots are
// refilled repeatedly.
func (e *engine) atWarmUpLimit(now time.Time) bool {
	return e.recentStarts.Full(now, slowstart.Limit(e.warmUpRate, e.slots, now.Before(e.warmAt)))
}

// discardEngine drops an engine whose incarnation is gone: its runs and loads ended with it.
func (m *Machine) discardEngine(eng *engine) {
	for _, id := range slices.Sorted(maps.Keys(eng.attempts)) {
		m.cancel(eng.attempts[id])
	}
	if eng.loading {
		m.activeLoads[eng.service]--
	}
	delete(m.engines, eng.server.ID)
}

// HandleGone processes that an incarnation of an engine is gone, so that nothing runs on it any more. It must be
// followed by HandleServers, with a list that does not show the incarnation.
func (m *Machine) HandleGone(gone directory.Incarnation) {
	eng := m.engines[gone.ID]
	if eng == nil || !eng.server.incarnation().MayBeSame(gone) {
		return
	}
	m.discardEngine(eng)
	m.sortedEngineCache = nil
}

// sortedEngines returns the engines ordered by ID. The slice is cached until engines are added or
// removed.
func (m *Machine) sortedEngines() []*engine {
	if m.sortedEngineCache == nil {
		m.sortedEngineCache = slices.SortedFunc(maps.Values(m.engines), func(a, b *engine) int { return cmp.Compare(a.server.ID, b.server.ID) })
	}
	return m.sortedEngineCache
}
