package routetable

// Caller is on whose behalf a request runs.
type Caller struct {
	// Tenant is empty where no key is asked for and none is known.
	Tenant string
	// Priority ranks the request, 0 being the most urgent.
	Priority int
}

// Admit says on whose behalf a request of a route runs whose caller bears a key. It is
// refused where the route asks for a key, and this one is not known.
func (t *Table) Admit(route *Route, key string) (caller Caller, admitted bool) {
	caller = Caller{Priority: route.Priority}
	if t.Tenants == nil {
		return caller, true
	}
	name, known := t.Tenants.Of(key)
	if !known {
		return caller, route.Public
	}
	caller.Tenant = name
	caller.Priority = t.PriorityOf(route, name)
	return caller, true
}

// PriorityOf returns the rank of a tenant's requests on a route: the tenant's own goes
// before the route's.
func (t *Table) PriorityOf(route *Route, tenantName string) int {
	if t.Tenants == nil {
		return route.Priority
	}
	if own, has := t.Tenants.Priority(tenantName); has {
		return own
	}
	return route.Priority
}

// AdmitToJobs says on whose behalf batch jobs of a host are read and ended by a caller that
// bears a key. Jobs of public routes alone belong to nobody.
func (t *Table) AdmitToJobs(host, key string) (tenantName string, admitted bool) {
	if t.Tenants == nil {
		return "", true
	}
	if name, known := t.Tenants.Of(key); known {
		return name, true
	}
	for _, route := range t.byHost[canonicalHost(host)] {
		if route.Kind == KindBatch && route.Public {
			return "", true
		}
	}
	return "", false
}
