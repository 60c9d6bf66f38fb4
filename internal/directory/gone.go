package directory

import "time"

// goneTimeout bounds how long a listed server counts as gone. A node that follows a relayed list sees no
// heartbeats, and would not learn that a server is there after all. Entries of servers that are gone stay listed
// for a few heartbeats.
const goneTimeout = 5 * time.Second

// goneServer is a listed server whose address was seen to belong to another incarnation.
type goneServer struct {
	incarnation Incarnation
	address     string
	foundAt     time.Time
}

// MarkGone records that another incarnation answers at the address of a server: this one is gone, and gets no
// more work until a later entry of it is read. It returns false if the list does not show this incarnation at
// this address, or if that was known.
func (d *Directory) MarkGone(now time.Time, incarnation Incarnation, address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := d.servers[incarnation.ID]
	if listed == nil || !listed.Incarnation().MayBeSame(incarnation) || listed.Address != address || d.isGone(listed) {
		return false
	}
	d.gone[incarnation.ID] = goneServer{incarnation: listed.Incarnation(), address: address, foundAt: now}
	d.publish(map[string]bool{listed.Service: true})
	return true
}

// isGone reports whether a listed server was found to be gone. The caller holds the mutex.
func (d *Directory) isGone(listed *Server) bool {
	found, marked := d.gone[listed.ID]
	return marked && found.address == listed.Address && found.incarnation == listed.Incarnation()
}

// ExpireGone lists servers again that were found to be gone goneTimeout ago, and reports whether any is.
func (d *Directory) ExpireGone(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	services := make(map[string]bool)
	for id, found := range d.gone {
		if now.Sub(found.foundAt) < goneTimeout {
			continue
		}
		if listed := d.servers[id]; listed != nil && d.isGone(listed) {
			services[listed.Service] = true
		}
		delete(d.gone, id)
	}
	if len(services) == 0 {
		return false
	}
	d.publish(services)
	return true
}
