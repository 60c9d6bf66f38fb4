// Package tenant maps API keys to tenants: each key belongs to one tenant.
package tenant

import "crypto/sha256"

// Tenant is one customer of the service, as configured.
type Tenant struct {
	Name string
	// Priority overrides the route's priority; 0 is the most urgent, nil keeps the route's.
	Priority *int
	// Keys are the API keys of the tenant.
	Keys []string
}

// keyDigest is the SHA-256 digest of a key. Storing digests keeps keys out of logs, and the
// duration of a lookup does not reveal how much of a key was right.
type keyDigest [sha256.Size]byte

// Set holds the tenants of one version of the configuration. It is immutable once built.
type Set struct {
	byKey  map[keyDigest]string
	byName map[string]Tenant
}

// NewSet returns a set of tenants. A key of two tenants belongs to the first.
func NewSet(tenants []Tenant) *Set {
	set := &Set{byKey: make(map[keyDigest]string), byName: make(map[string]Tenant, len(tenants))}
	for _, tenant := range tenants {
		for _, key := range tenant.Keys {
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if _, taken := set.byKey[digest]; !taken {
				set.byKey[digest] = tenant.Name
			}
		}
		tenant.Keys = nil
		set.byName[tenant.Name] = tenant
	}
	return set
}

// Lookup returns the name of the tenant that a key belongs to.
func (s *Set) Lookup(key string) (name string, known bool) {
	if key == "" {
		return "", false
	}
	name, known = s.byKey[keyDigest(sha256.Sum256([]byte(key)))]
	return name, known
}

// Priority returns a tenant's own priority, if it has one.
func (s *Set) Priority(name string) (priority int, own bool) {
	tenant := s.byName[name]
	if tenant.Priority == nil {
		return 0, false
	}
	return *tenant.Priority, true
}

// Len returns the number of tenants.
func (s *Set) Len() int { return len(s.byName) }

// KeyCount returns the number of keys.
func (s *Set) KeyCount() int { return len(s.byKey) }
