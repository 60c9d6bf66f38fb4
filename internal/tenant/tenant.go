// Package tenant answers on whose behalf a request runs: callers prove themselves by API
// keys, and each key belongs to one tenant.
package tenant

import "crypto/sha256"

// Tenant is one customer of the service, as the configuration has it.
type Tenant struct {
	Name string
	// Priority takes the place of the route's, 0 being the most urgent; nil leaves the
	// route's in force.
	Priority *int
	// Keys are the API keys whose holders act for the tenant.
	Keys []string
}

// digest stands for a key. What is kept of keys can neither be shown by mistake, nor does
// the time of a look-up tell how much of a key was right.
type digest [sha256.Size]byte

// Set holds the tenants of one version of the configuration. It is not changed once built.
type Set struct {
	byKey  map[digest]string
	byName map[string]Tenant
}

// NewSet returns the set of some tenants. A key that two tenants have belongs to the first.
func NewSet(tenants []Tenant) *Set {
	set := &Set{byKey: make(map[digest]string), byName: make(map[string]Tenant, len(tenants))}
	for _, member := range tenants {
		for _, key := range member.Keys {
			hashed := digest(sha256.Sum256([]byte(key)))
			if _, taken := set.byKey[hashed]; !taken {
				set.byKey[hashed] = member.Name
			}
		}
		member.Keys = nil
		set.byName[member.Name] = member
	}
	return set
}

// Of returns the name of the tenant that a key belongs to.
func (s *Set) Of(key string) (name string, known bool) {
	if key == "" {
		return "", false
	}
	name, known = s.byKey[digest(sha256.Sum256([]byte(key)))]
	return name, known
}

// Priority returns a tenant's own priority, if it has one.
func (s *Set) Priority(name string) (priority int, own bool) {
	member := s.byName[name]
	if member.Priority == nil {
		return 0, false
	}
	return *member.Priority, true
}

// Len returns the number of tenants.
func (s *Set) Len() int { return len(s.byName) }

// Keys returns the number of keys.
func (s *Set) Keys() int { return len(s.byKey) }
