// Package directory keeps the list of back ends: what each server tells of
// itself in the store, folded in the order of the store's records.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Incarnation names one life of a back end. One that starts again may keep its id, and holds and
// knows nothing of its life before.
type Incarnation struct {
	ID string
	// Born is when it started, in Unix milliseconds by its own clock; 0 where it does not tell.
	Born int64
}

// Compare orders incarnations by id, and those of one id by birth.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(strings.Compare(i.ID, other.ID), cmp.Compare(i.Born, other.Born))
}

// IsSameLife says whether two incarnations may be one. A birth that is not told says nothing.
func (i Incarnation) IsSameLife(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// Server is one incarnation of a back end.
type Server struct {
	ID string
	// Born is when this life began; see Incarnation.
	Born    int64
	Service string
	// Address is IP:PORT.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmAt is until when the server is slow since it started, by package clock; it is past or
	// zero for one that is warm.
	WarmAt time.Time
	// Spot servers may be taken away with little notice.
	Spot bool
	// Versions holds the loaded weight version of each model.
	Versions map[string]int64
	// Digest is that of the server's entry in the store, without what every
	// heartbeat changes; 0 when it is not known.
	Digest uint64
}

// Incarnation names the server's life.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Snapshot is the list at one moment. It is not changed once published.
type Snapshot struct {
	// all holds the servers of each service, ready those that take new work: neither do they
	// leave, nor is their zone evacuated. Both are ordered by id.
	all   map[string][]*Server
	ready map[string][]*Server
	count int
}

// Ready returns the servers of a service that take new work, ordered by id.
func (s *Snapshot) Ready(service string) []*Server { return s.ready[service] }

// Services calls visit for every service with its servers in the order of their ids.
func (s *Snapshot) Services(visit func(service string, servers []*Server)) {
	for _, service := range slices.Sorted(maps.Keys(s.all)) {
		visit(service, s.all[service])
	}
}

// All calls visit for every server, those of a service in the order of their ids.
func (s *Snapshot) All(visit func(*Server)) {
	for _, servers := range s.all {
		for _, server := range servers {
			visit(server)
		}
	}
}

// Count returns the number of servers listed.
func (s *Snapshot) Count() int { return s.count }

// Change is news of one server.
type Change struct {
	ID string
	// Server is nil where the server is gone.
	Server *Server
	// Before is the entry that was changed, set where changes were applied; nil where
	// the server was not listed.
	Before *Server
}

// Directory is the folded list. It may be used by several goroutines.
type Directory struct {
	mutex   sync.Mutex
	servers map[string]*Server
	// evacuated are the zones whose servers take no new work.
	evacuated map[string]bool
	current   *Snapshot
	readAt    time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: make(map[string]*Server), current: &Snapshot{}}
}

// NoteRead notes that the list was read at now.
func (d *Directory) NoteRead(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.readAt = now
}

// Age returns the time since the list was read.
func (d *Directory) Age(now time.Time) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Sub(d.readAt)
}

// Find returns the listed server with an id, or nil.
func (d *Directory) Find(id string) *Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.servers[id]
}

// Holds says whether a server's entry is listed with a digest.
func (d *Directory) Holds(id string, digest uint64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.servers[id]
	return known != nil && known.Digest == digest
}

// Replace sets the whole list.
func (d *Directory) Replace(servers []Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changed := make(map[string]bool)
	for _, known := range d.servers {
		changed[known.Service] = true
	}
	d.servers = make(map[string]*Server, len(servers))
	for i := range servers {
		d.servers[servers[i].ID] = &servers[i]
		changed[servers[i].Service] = true
	}
	d.publish(changed)
}

// Apply takes changes in order and returns those that changed the list.
func (d *Directory) Apply(changes []Change) []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var effective []Change
	services := make(map[string]bool)
	for _, change := range changes {
		before := d.servers[change.ID]
		change.Before = before
		if before == nil && change.Server == nil {
			continue
		}
		if before != nil {
			if change.Server != nil && equal(before, change.Server) && !TurnedSlow(before, change.Server) {
				d.servers[change.ID] = change.Server
				continue
			}
			services[before.Service] = true
		}
		if change.Server == nil {
			delete(d.servers, change.ID)
		} else {
			d.servers[change.ID] = change.Server
			services[change.Server.Service] = true
		}
		effective = append(effective, change)
	}
	if len(effective) > 0 {
		d.publish(services)
	}
	return effective
}

// SetEvacuated has the servers of zones take no new work until it is called anew without them.
func (d *Directory) SetEvacuated(zones map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.evacuated = zones
	services := make(map[string]bool)
	for _, known := range d.servers {
		services[known.Service] = true
	}
	d.publish(services)
}

// Snapshot returns the list as it stands.
func (d *Directory) Snapshot() *Snapshot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.current
}

// publish makes a snapshot; only the lists of the services that changed are new.
func (d *Directory) publish(changed map[string]bool) {
	snapshot := &Snapshot{all: make(map[string][]*Server), ready: make(map[string][]*Server), count: len(d.servers)}
	for service, servers := range d.current.all {
		if !changed[service] {
			snapshot.all[service], snapshot.ready[service] = servers, d.current.ready[service]
		}
	}
	for _, server := range d.servers {
		if changed[server.Service] {
			snapshot.all[server.Service] = append(snapshot.all[server.Service], server)
		}
	}
	for service := range changed {
		servers := snapshot.all[service]
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
		for _, server := range servers {
			if !server.Draining && !d.evacuated[server.Zone] {
				snapshot.ready[service] = append(snapshot.ready[service], server)
			}
		}
	}
	d.current = snapshot
}

// warmAtSlack is by how much the end of a server's warm-up may be told differently by two of its
// heartbeats: they come late by some milliseconds.
const warmAtSlack = 300 * time.Millisecond

// TurnedSlow says whether a server warms up for longer than was known.
func TurnedSlow(before, after *Server) bool { return after.WarmAt.Sub(before.WarmAt) > warmAtSlack }

// SameIgnoringVersions says whether two entries differ in nothing but the loaded
// weights.
func SameIgnoringVersions(a, b *Server) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining
}

func equal(a, b *Server) bool {
	if !SameIgnoringVersions(a, b) || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return true
}
