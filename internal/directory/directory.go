// Package directory keeps the list of back ends: what each server tells of
// itself in the store, folded in the order of the store's records.
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Server is one incarnation of a back end.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Versions holds the loaded weight version of each model.
	Versions map[string]int64
}

// Snapshot is the list at one moment. It is not changed once published.
type Snapshot struct {
	byID      map[string]*Server
	byService map[string][]*Server
}

// Server returns the server with an id, or nil.
func (s *Snapshot) Server(id string) *Server { return s.byID[id] }

// Ready returns the servers of a service that take new work, ordered by id.
func (s *Snapshot) Ready(service string) []*Server { return s.byService[service] }

// Count returns the number of servers listed.
func (s *Snapshot) Count() int { return len(s.byID) }

// Directory is the folded list. It may be used by several goroutines.
type Directory struct {
	mutex   sync.Mutex
	servers map[string]*Server
	current *Snapshot
	readAt  time.Time
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

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{servers: make(map[string]*Server)}
	d.publish()
	return d
}

// Replace sets the whole list.
func (d *Directory) Replace(servers []Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.servers = make(map[string]*Server, len(servers))
	for i := range servers {
		d.servers[servers[i].ID] = &servers[i]
	}
	d.publish()
}

// Put adds or changes one server and says whether the list changed.
func (d *Directory) Put(server Server) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.servers[server.ID]; known != nil && equal(known, &server) {
		return false
	}
	d.servers[server.ID] = &server
	d.publish()
	return true
}

// Remove deletes a server and says whether it was listed.
func (d *Directory) Remove(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.servers[id] == nil {
		return false
	}
	delete(d.servers, id)
	d.publish()
	return true
}

// Snapshot returns the list as it stands.
func (d *Directory) Snapshot() *Snapshot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.current
}

func (d *Directory) publish() {
	snapshot := &Snapshot{
		byID:      make(map[string]*Server, len(d.servers)),
		byService: make(map[string][]*Server),
	}
	for id, server := range d.servers {
		snapshot.byID[id] = server
		if !server.Draining {
			snapshot.byService[server.Service] = append(snapshot.byService[server.Service], server)
		}
	}
	for _, servers := range snapshot.byService {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	d.current = snapshot
}

func equal(a, b *Server) bool {
	if a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone ||
		a.Slots != b.Slots || a.Draining != b.Draining || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return true
}
