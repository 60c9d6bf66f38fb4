package routetable

import "testing"

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := NewTable(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "/xy/", ""},
	}
	for _, c := range cases {
		got := ""
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := Route{Targets: []Target{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := make(map[string]int)
	const draws = 1000
	for i := range draws {
		target, ok := route.Pick(float64(i) / draws)
		if !ok {
			t.Fatal("no target")
		}
		counts[target.Service]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["none"] != 0 {
		t.Errorf("counts %v", counts)
	}
	if _, ok := (&Route{Targets: []Target{{"a", 0}}}).Pick(0.5); ok {
		t.Error("a target of weight 0 was picked")
	}
}

func TestRepeatable(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindSafe}, true},
		{Route{Kind: KindUnsafe}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	}
	for _, c := range cases {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%v resumable %v: %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}
