package routetable

import "testing"

// A service that no route names yet is known before a route is moved to it; engines are known to
// those that run batch jobs alone, unless a route leads single requests there.
func TestServesSingle(t *testing.T) {
	engines := func(name string) Service { return Service{Name: name, Models: []string{"m"}} }
	table := NewTable(1, []Route{
		{Host: "h", Prefix: "/jobs/", Kind: KindBatch, Targets: []Target{{Service: "engines", Weight: 1}}},
		{Host: "h", Prefix: "/ask/", Kind: KindStream, Targets: []Target{{Service: "portal", Weight: 1}, {Service: "chat", Weight: 1}}},
	}, []Service{engines("engines"), engines("chat"), {Name: "portal"}, {Name: "spare"}}, Limits{})
	for service, want := range map[string]bool{"engines": false, "chat": true, "portal": true, "spare": true} {
		if got := table.ServesSingle(service); got != want {
			t.Errorf("%s: %v", service, got)
		}
	}
}
