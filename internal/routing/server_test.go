package routing

import (
	"testing"
	"time"

	"dalehook/internal/cluster"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

func anyServer(Server) bool { return true }

func countChoices(chooser *ServerChooser, now time.Time, servers []Server, draws int) map[cluster.BackendID]int {
	counts := make(map[cluster.BackendID]int)
	for range draws {
		if server, ok := chooser.Choose(now, servers, anyServer); ok {
			counts[server.ID]++
		}
	}
	return counts
}

func TestServerChooserChoose(t *testing.T) {
	cases := []struct {
		name    string
		servers []Server
		never   cluster.BackendID
		mostly  cluster.BackendID
	}{
		{
			name:    "leaving server gets nothing",
			servers: []Server{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1", Usable: true, Load: 50}},
			never:   "a", mostly: "b",
		},
		{
			name:    "own zone while balanced",
			servers: []Server{{ID: "a", Zone: "z1", Usable: true, Load: 3}, {ID: "b", Zone: "z2", Usable: true, Load: 2}},
			never:   "b", mostly: "a",
		},
		{
			name:    "other zone when own one is overloaded",
			servers: []Server{{ID: "a", Zone: "z1", Usable: true, Load: 30}, {ID: "b", Zone: "z2", Usable: true, Load: 2}},
			never:   "a", mostly: "b",
		},
		{
			name: "least loaded of two",
			servers: []Server{
				{ID: "a", Zone: "z1", Usable: true, Load: 9},
				{ID: "b", Zone: "z1", Usable: true, Load: -1, InFlight: 1},
			},
			never: "a", mostly: "b",
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			chooser := NewServerChooser(ServerChooserOptions{Zone: "z1", Seed: 1})
			counts := countChoices(chooser, start, test.servers, 200)
			if counts[test.never] != 0 {
				t.Errorf("%s was chosen %d times, want never", test.never, counts[test.never])
			}
			if counts[test.mostly] < 150 {
				t.Errorf("%s was chosen %d of 200 times", test.mostly, counts[test.mostly])
			}
		})
	}
}

func TestServerChooserEjectsAndReturnsGradually(t *testing.T) {
	servers := []Server{{ID: "a", Zone: "z1", Usable: true}, {ID: "b", Zone: "z1", Usable: true}}
	chooser := NewServerChooser(ServerChooserOptions{Zone: "z1", Seed: 7})
	for range defaultFailuresToEject {
		chooser.Failed(start, "a")
	}
	shares := make([]int, 0, 3)
	for _, after := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
		shares = append(shares, countChoices(chooser, start.Add(after), servers, 400)["a"])
	}
	if shares[0] != 0 {
		t.Errorf("an ejected server was chosen %d times", shares[0])
	}
	if shares[1] == 0 || shares[1] >= shares[2] {
		t.Errorf("the share did not grow back: %v", shares)
	}
}

func TestServerChooserTakesEjectedWhenNothingElseFits(t *testing.T) {
	servers := []Server{{ID: "a", Usable: true}}
	chooser := NewServerChooser(ServerChooserOptions{Seed: 7})
	for range defaultFailuresToEject {
		chooser.Failed(start, "a")
	}
	if _, ok := chooser.Choose(start, servers, anyServer); !ok {
		t.Error("the only server was refused")
	}
}

func TestServerChooserIsDeterministic(t *testing.T) {
	servers := []Server{{ID: "a", Usable: true}, {ID: "b", Usable: true}, {ID: "c", Usable: true}}
	one := NewServerChooser(ServerChooserOptions{Seed: 3})
	two := NewServerChooser(ServerChooserOptions{Seed: 3})
	for range 100 {
		first, _ := one.Choose(start, servers, anyServer)
		second, _ := two.Choose(start, servers, anyServer)
		if first != second {
			t.Fatal("the same seed chose differently")
		}
	}
}
