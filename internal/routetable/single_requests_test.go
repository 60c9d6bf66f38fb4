package routetable

import "testing"

// Nodes that serve single requests must know a service before a route moves to it. Engine pools are
// excluded, unless a route directs single requests to them.
func TestServesSingleRequests(t *testing.T) {
	engines := func(name string) Service { return Service{Name: name, Models: []string{"m"}} }
	table := NewTable(1, []Route{
		{Host: "h", Prefix: "/jobs/", Kind: KindBatch, Targets: []Target{{Service: "engines", Weight: 1}}},
		{Host: "h", Prefix: "/ask/", Kind: KindStream, Targets: []Target{{Service: "portal", Weight: 1}, {Service: "chat", Weight: 1}}},
	}, []Service{engines("engines"), engines("chat"), {Name: "portal"}, {Name: "spare"}}, Limits{})
	for service, want := range map[string]bool{"engines": false, "chat": true, "portal": true, "spare": true} {
		if got := table.ServesSingleRequests(service); got != want {
			t.Errorf("%s: %v", service, got)
		}
	}
}
