package tenant

import (
	"fmt"
	"strings"
	"testing"
)

func priorityOf(value int) *int { return &value }

func TestLookup(t *testing.T) {
	set := NewSet([]Tenant{
		{Name: "a", Keys: []string{"key-1", "key-2"}, Priority: priorityOf(0)},
		{Name: "b", Keys: []string{"key-3", "key-1"}},
		{Name: "without keys"},
	})
	cases := []struct {
		name, key, want string
		known           bool
	}{
		{"first key", "key-1", "a", true},
		{"second key", "key-2", "a", true},
		{"key of another tenant", "key-3", "b", true},
		{"unknown key", "key-4", "", false},
		{"no key", "", "", false},
		{"prefix of a key", "key-", "", false},
		{"tenant name", "a", "", false},
	}
	for _, c := range cases {
		if got, known := set.Lookup(c.key); got != c.want || known != c.known {
			t.Errorf("%s: %q, known %v", c.name, got, known)
		}
	}
	if set.Len() != 3 || set.KeyCount() != 3 {
		t.Errorf("%d tenants, %d keys", set.Len(), set.KeyCount())
	}
}

func TestPriority(t *testing.T) {
	set := NewSet([]Tenant{{Name: "urgent", Priority: priorityOf(0)}, {Name: "plain"}})
	if got, own := set.Priority("urgent"); got != 0 || !own {
		t.Errorf("urgent: %d, %v", got, own)
	}
	for _, name := range []string{"plain", "nobody", ""} {
		if _, own := set.Priority(name); own {
			t.Errorf("%q has its own priority", name)
		}
	}
}

func TestKeysAreNotPrinted(t *testing.T) {
	set := NewSet([]Tenant{{Name: "a", Keys: []string{"secret-key"}}})
	if text := fmt.Sprintf("%+v %#v", set, *set); strings.Contains(text, "secret-key") {
		t.Error("the printed set contains a key")
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, keys := range []int{10, 1_000, 100_000} {
		var tenants []Tenant
		for i := range keys {
			tenants = append(tenants, Tenant{Name: fmt.Sprint("tenant-", i), Keys: []string{fmt.Sprintf("key-%020d", i)}})
		}
		set := NewSet(tenants)
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, known := set.Lookup(tenants[i%keys].Keys[0]); !known {
					b.Fatal("known key was not found")
				}
			}
		})
	}
}
