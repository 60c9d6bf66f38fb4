// Package directory holds the list of back ends: the state that each server reports to the store,
// folded in the order of the store's records.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Incarnation identifies one run of a back end. A back end that restarts may keep its id, but has
// none of its earlier state.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds by the server's own clock; 0 if not reported.
	Born int64
}

// Compare orders incarnations by id, then by birth.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(strings.Compare(i.ID, other.ID), cmp.Compare(i.Born, other.Born))
}

// MayBeSame reports whether two incarnations may be the same. A birth that is not reported matches
// any other.
func (i Incarnation) MayBeSame(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// Server is one incarnation of a back end.
type Server struct {
	ID string
	// Born is the start time of this incarnation; see Incarnation.
	Born    int64
	Service string
	// Address is IP:PORT.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmAt is the end of the server's warm-up, by package clock; past or zero for a warm server.
	WarmAt time.Time
	// Spot servers may be reclaimed at short notice.
	Spot bool
	// Versions holds the loaded weight version of each model.
	Versions map[string]int64
	// Digest is the digest of the server's entry in the store, without the fields that each
	// heartbeat changes; 0 if unknown.
	Digest uint64
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Snapshot is the list at one point in time. It is immutable once published.
type Snapshot struct {
	// all holds the servers of each service; ready holds those that accept new work, that is,
	// neither draining, nor found to be gone, nor in an evacuated zone. Both are ordered by id.
	all   map[string][]*Server
	ready map[string][]*Server
	count int
}

// Ready returns the servers of a service that accept new work, ordered by id.
func (s *Snapshot) Ready(service string) []*Server { return s.ready[service] }

// Services calls visit for every service, with its servers ordered by id.
func (s *Snapshot) Services(visit func(service string, servers []*Server)) {
	for _, service := range slices.Sorted(maps.Keys(s.all)) {
		visit(service, s.all[service])
	}
}

// All calls visit for every server; those of one service are ordered by id.
func (s *Snapshot) All(visit func(*Server)) {
	for _, servers := range s.all {
		for _, server := range servers {
			visit(server)
		}
	}
}

// Count returns the number of listed servers.
func (s *Snapshot) Count() int { return s.count }

// Change is an update of one server's entry.
type Change struct {
	ID string
	// Server is nil if the server was removed.
	Server *Server
	// Before is the previous entry, set by Apply; nil if the server was not listed.
	Before *Server
}

// Directory is the current list. It is safe for concurrent use.
type Directory struct {
	mutex   sync.Mutex
	servers map[string]*Server
	// gone holds the listed servers that were found to be gone, by id.
	gone map[string]goneServer
	// evacuated are the zones whose servers get no new work.
	evacuated map[string]bool
	current   *Snapshot
	readAt    time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: make(map[string]*Server), gone: make(map[string]goneServer), current: &Snapshot{}}
}

// MarkRead records that the list was read at now.
func (d *Directory) MarkRead(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.readAt = now
}

// Age returns the time since the list was last read.
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

// HasDigest reports whether a server is listed with the given digest, so that an entry with this digest changes
// nothing. It is false for a server that was found to be gone: its next entry shows that it is there.
func (d *Directory) HasDigest(id string, digest uint64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	server := d.servers[id]
	return server != nil && server.Digest == digest && !d.isGone(server)
}

// Replace replaces the whole list.
func (d *Directory) Replace(servers []Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changed := make(map[string]bool)
	for _, server := range d.servers {
		changed[server.Service] = true
	}
	d.servers = make(map[string]*Server, len(servers))
	for i := range servers {
		d.servers[servers[i].ID] = &servers[i]
		changed[servers[i].Service] = true
	}
	d.publish(changed)
}

// Apply applies changes in order and returns those that changed the list.
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
			if change.Server != nil && !d.isGone(before) && equal(before, change.Server) && !WarmUpExtended(before, change.Server) {
				d.servers[change.ID] = change.Server
				continue
			}
			services[before.Service] = true
		}
		delete(d.gone, change.ID)
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

// SetEvacuated sets the zones whose servers get no new work.
func (d *Directory) SetEvacuated(zones map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.evacuated = zones
	services := make(map[string]bool)
	for _, server := range d.servers {
		services[server.Service] = true
	}
	d.publish(services)
}

// Snapshot returns the current list.
func (d *Directory) Snapshot() *Snapshot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.current
}

// publish publishes a new snapshot, which shares the lists of unchanged services with the last one.
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
			if !server.Draining && !d.evacuated[server.Zone] && !d.isGone(server) {
				snapshot.ready[service] = append(snapshot.ready[service], server)
			}
		}
	}
	d.current = snapshot
}

// warmAtTolerance is how much the reported end of a warm-up may vary between two heartbeats of a
// server, which are delayed by some milliseconds.
const warmAtTolerance = 300 * time.Millisecond

// WarmUpExtended reports whether the end of a server's warm-up is later than reported before.
func WarmUpExtended(before, after *Server) bool {
	return after.WarmAt.Sub(before.WarmAt) > warmAtTolerance
}

// EqualIgnoringVersions reports whether two entries are equal apart from the loaded weight versions.
// WarmAt, Spot and Digest are not compared either.
func EqualIgnoringVersions(a, b *Server) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining
}

func equal(a, b *Server) bool {
	if !EqualIgnoringVersions(a, b) || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return true
}
