package routetable

// Caller identifies the tenant and priority of a request.
type Caller struct {
	// Tenant is empty for anonymous requests.
	Tenant string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Admit returns the caller of a request with an API key. The request is refused if the route
// requires a key and this one is unknown.
func (t *Table) Admit(route *Route, key string) (caller Caller, admitted bool) {
	caller = Caller{Priority: route.Priority}
	if t.Tenants == nil {
		return caller, true
	}
	name, known := t.Tenants.Lookup(key)
	if !known {
		return caller, route.Public
	}
	caller.Tenant = name
	caller.Priority = t.PriorityOf(route, name)
	return caller, true
}

// PriorityOf returns the priority of a tenant's requests on a route: the tenant's own priority
// overrides the route's.
func (t *Table) PriorityOf(route *Route, tenantName string) int {
	if t.Tenants == nil {
		return route.Priority
	}
	if own, found := t.Tenants.Priority(tenantName); found {
		return own
	}
	return route.Priority
}

// AdmitToJobs returns the tenant whose batch jobs on a host a caller with an API key may read and
// end. Without a known key, that is the empty tenant if the host has a public batch route; else the
// caller is refused.
func (t *Table) AdmitToJobs(host, key string) (tenantName string, admitted bool) {
	if t.Tenants == nil {
		return "", true
	}
	if name, known := t.Tenants.Lookup(key); known {
		return name, true
	}
	for _, route := range t.byHost[canonicalHost(host)] {
		if route.Kind == KindBatch && route.Public {
			return "", true
		}
	}
	return "", false
}
