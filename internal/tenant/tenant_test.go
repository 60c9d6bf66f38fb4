package tenant

import (
	"fmt"
	"strings"
	"testing"
)

func priority(value int) *int { return &value }

func TestKeysBelongToTheirTenants(t *testing.T) {
	set := NewSet([]Tenant{
		{Name: "a", Keys: []string{"key-1", "key-2"}, Priority: priority(0)},
		{Name: "b", Keys: []string{"key-3", "key-1"}},
		{Name: "without keys"},
	})
	cases := []struct {
		name, key, want string
		known           bool
	}{
		{"the first key", "key-1", "a", true},
		{"a second key", "key-2", "a", true},
		{"another tenant's key", "key-3", "b", true},
		{"a key that nobody has", "key-4", "", false},
		{"no key", "", "", false},
		{"a part of a key", "key-", "", false},
		{"a tenant's name", "a", "", false},
	}
	for _, c := range cases {
		if got, known := set.Of(c.key); got != c.want || known != c.known {
			t.Errorf("%s: %q, known %v", c.name, got, known)
		}
	}
	if set.Len() != 3 || set.Keys() != 3 {
		t.Errorf("%d tenants, %d keys", set.Len(), set.Keys())
	}
}

func TestATenantsPriorityIsItsOwnOrNone(t *testing.T) {
	set := NewSet([]Tenant{{Name: "urgent", Priority: priority(0)}, {Name: "plain"}})
	if got, own := set.Priority("urgent"); got != 0 || !own {
		t.Errorf("urgent: %d, %v", got, own)
	}
	for _, name := range []string{"plain", "nobody", ""} {
		if _, own := set.Priority(name); own {
			t.Errorf("%q has a priority of its own", name)
		}
	}
}

func TestKeysAreNotShown(t *testing.T) {
	set := NewSet([]Tenant{{Name: "a", Keys: []string{"secret-key"}}})
	if text := fmt.Sprintf("%+v %#v", set, *set); strings.Contains(text, "secret-key") {
		t.Error("the set shows a key")
	}
}

func BenchmarkOf(b *testing.B) {
	for _, keys := range []int{10, 1_000, 100_000} {
		var tenants []Tenant
		for i := range keys {
			tenants = append(tenants, Tenant{Name: fmt.Sprint("tenant-", i), Keys: []string{fmt.Sprintf("key-%020d", i)}})
		}
		set := NewSet(tenants)
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, known := set.Of(tenants[i%keys].Keys[0]); !known {
					b.Fatal("a key is not known")
				}
			}
		})
	}
}
