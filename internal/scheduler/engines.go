package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dalehook/internal/directory"
	"dalehook/internal/slowstart"
)

// HandleServers takes the list of ready servers.
func (m *Machine) HandleServers(now time.Time, servers []*directory.Server) {
	m.sets.list(servers)
	m.useEngines()
	m.rewards.HandleSlots(m.slotsByService())
	m.schedule(now)
}

// useEngines takes the engines of the working sets into use, and drops those that are gone.
func (m *Machine) useEngines() {
	for _, known := range m.engines {
		known.listed = false
	}
	used := func(id string) bool { return m.engines[id] != nil }
	for _, server := range m.sets.choose(used, m.modelsOf) {
		m.learn(server)
	}
	for id, known := range m.engines {
		if !known.listed && len(known.attempts) == 0 && !known.loading {
			delete(m.engines, id)
			m.ordered = nil
		}
	}
	m.divide()
}

// slotsByService returns the slots of the servers that are listed.
func (m *Machine) slotsByService() map[string]int {
	slots := make(map[string]int)
	for service, servers := range m.sets.listed {
		for _, server := range servers {
			slots[service] += server.Slots
		}
	}
	return slots
}

func (m *Machine) learn(server *directory.Server) {
	known := m.engines[server.ID]
	if known != nil && known.server.Born != server.Born && !known.server.incarnation().MayBeSame(server.Incarnation()) {
		m.bury(known)
		known = nil
	}
	if known == nil {
		known = &engine{
			server:   Server{ID: server.ID, Born: server.Born, Address: server.Address, Service: server.Service},
			versions: make(map[string]int64),
			attempts: make(map[AttemptID]*attempt),
		}
		m.engines[server.ID] = known
		m.ordered = nil
	}
	known.listed = true
	known.server.Born = server.Born
	known.service = server.Service
	known.slots = server.Slots
	known.warmAt = server.WarmAt
	known.warmUpRate = m.table.WarmUpRate(server.Service)
	for model, version := range server.Versions {
		// The list lags behind what orders and answers have told.
		known.versions[model] = max(known.versions[model], version)
	}
}

// isSaturated says whether an engine was started as many items within the last second as it may
// be: one that has just started bears few, and falls over where all its slots are filled at once
// again and again.
func (e *engine) isSaturated(now time.Time) bool {
	return e.starts.Full(now, slowstart.Most(e.warmUpRate, e.slots, now.Before(e.warmAt)))
}

// bury forgets an engine that has started again: its runs and loads ended with the life before.
func (m *Machine) bury(known *engine) {
	for _, id := range slices.Sorted(maps.Keys(known.attempts)) {
		m.cancel(known.attempts[id])
	}
	if known.loading {
		m.loading[known.service]--
	}
	delete(m.engines, known.server.ID)
}

// sortedEngines returns the engines in the order of their ids. The list is made anew
// only when engines come or go.
func (m *Machine) sortedEngines() []*engine {
	if m.ordered == nil {
		m.ordered = slices.SortedFunc(maps.Values(m.engines), func(a, b *engine) int { return cmp.Compare(a.server.ID, b.server.ID) })
	}
	return m.ordered
}
