package routetable

import (
	"fmt"
	"testing"

	"dalehook/internal/tenant"
)

func accessTable(tenants *tenant.Set) *Table {
	table := NewTable(1, []Route{
		{Name: "closed", Host: "h", Prefix: "/closed/", Priority: 2},
		{Name: "open", Host: "h", Prefix: "/open/", Priority: 2, Public: true},
		{Name: "jobs", Host: "h", Prefix: "/jobs/", Kind: KindBatch},
		{Name: "open jobs", Host: "open", Prefix: "/jobs/", Kind: KindBatch, Public: true},
	}, nil, Limits{})
	table.Tenants = tenants
	return table
}

func twoTenants() *tenant.Set {
	urgent := 0
	return tenant.NewSet([]tenant.Tenant{
		{Name: "urgent", Keys: []string{"u"}, Priority: &urgent}, {Name: "plain", Keys: []string{"p"}},
	})
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		name, path, key string
		keyless         bool
		want            Caller
		admitted        bool
	}{
		{"known key", "/closed/1", "p", false, Caller{Tenant: "plain", Priority: 2}, true},
		{"tenant priority overrides the route's", "/closed/1", "u", false, Caller{Tenant: "urgent", Priority: 0}, true},
		{"unknown key", "/closed/1", "x", false, Caller{Priority: 2}, false},
		{"no key", "/closed/1", "", false, Caller{Priority: 2}, false},
		{"no key on a public route", "/open/1", "", false, Caller{Priority: 2}, true},
		{"unknown key on a public route", "/open/1", "x", false, Caller{Priority: 2}, true},
		{"known key on a public route", "/open/1", "p", false, Caller{Tenant: "plain", Priority: 2}, true},
		{"API keys disabled", "/closed/1", "x", true, Caller{Priority: 2}, true},
	}
	for _, c := range cases {
		tenants := twoTenants()
		if c.keyless {
			tenants = nil
		}
		table := accessTable(tenants)
		got, admitted := table.Admit(table.Match("h", c.path), c.key)
		if got != c.want || admitted != c.admitted {
			t.Errorf("%s: %+v, admitted %v", c.name, got, admitted)
		}
	}
}

func TestAdmitToJobs(t *testing.T) {
	cases := []struct {
		name, host, key, want string
		admitted              bool
	}{
		{"known key", "h", "p", "plain", true},
		{"unknown key", "h", "x", "", false},
		{"no key", "h:80", "", "", false},
		{"no key with a public batch route", "OPEN:80", "", "", true},
		{"known key with a public batch route", "open", "u", "urgent", true},
		{"host without routes", "nowhere", "", "", false},
	}
	table := accessTable(twoTenants())
	for _, c := range cases {
		if got, admitted := table.AdmitToJobs(c.host, c.key); got != c.want || admitted != c.admitted {
			t.Errorf("%s: %q, admitted %v", c.name, got, admitted)
		}
	}
	if got, admitted := accessTable(nil).AdmitToJobs("h", ""); got != "" || !admitted {
		t.Errorf("without tenants: %q, admitted %v", got, admitted)
	}
}

// BenchmarkAdmit admits a request of one of 60 routes: without tenants, and with one of 1,000 keys.
func BenchmarkAdmit(b *testing.B) {
	var tenants []tenant.Tenant
	for i := range 1000 {
		tenants = append(tenants, tenant.Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprintf("key-%020d", i)}})
	}
	for name, set := range map[string]*tenant.Set{"without tenants": nil, "1000 keys": tenant.NewSet(tenants)} {
		var routes []Route
		for i := range 60 {
			routes = append(routes, Route{Host: "h", Prefix: fmt.Sprintf("/r%d/", i)})
		}
		table := NewTable(1, routes, nil, Limits{})
		table.Tenants = set
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route := table.Match("h", "/r59/x")
				if _, admitted := table.Admit(route, tenants[7].Keys[0]); !admitted {
					b.Fatal("known key was refused")
				}
			}
		})
	}
}
