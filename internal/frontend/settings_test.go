package frontend

import (
	"strings"
	"testing"
)

const validSettings = `{"node":"n","zone":"z","listen":{"requests":"127.0.0.1:1","readiness":"127.0.0.1:2","internal":"127.0.0.1:3"},
 "store":{"address":"127.0.0.1:4","partitions":12},"order_pause_ms":3000,"grace_seconds":8,"memory_mb":344}`

func TestSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Node != "n" || settings.Store.Partitions != 12 || settings.LogLevel != "info" {
		t.Errorf("settings %+v", settings)
	}
	cases := []struct{ name, text, want string }{
		{"no JSON", "{", "decode"},
		{"more text", validSettings + "{}", "text follows"},
		{"unknown key", strings.Replace(validSettings, `"zone"`, `"zones"`, 1), "zones"},
		{"no partitions", strings.Replace(validSettings, `"partitions":12`, `"partitions":0`, 1), "store.partitions"},
		{"nothing", "{}", "node is missing"},
		{"no window", strings.Replace(validSettings, `"order_pause_ms"`, `"provider":{"address":"127.0.0.1:5","duties":["usage"]},"order_pause_ms"`, 1), "usage.window_seconds"},
		{"negative stall time", strings.Replace(validSettings, `"order_pause_ms"`, `"clients":{"stall_ms":-1},"order_pause_ms"`, 1), "clients.stall_ms"},
		{"negative memory", strings.Replace(validSettings, `"order_pause_ms"`, `"clients":{"memory_mb":-1},"order_pause_ms"`, 1), "clients.memory_mb"},
		{"negative pause", strings.Replace(validSettings, "3000", "-1", 1), "order_pause_ms"},
	}
	for _, c := range cases {
		if _, err := ParseSettings([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against a bound of the clients' memory that does not follow the node's: weak nodes have a third of the others'.
func TestClientMemoryFollowsTheNodes(t *testing.T) {
	for _, c := range []struct{ node, clients, want int }{{0, 0, 0}, {184, 0, 46}, {184, 10, 10}, {0, 10, 10}} {
		settings := &Settings{MemoryMB: c.node}
		settings.Clients.MemoryMB = c.clients
		if got := settings.clientMemory().Limit(); got != int64(c.want)<<20 {
			t.Errorf("a node of %d MB, %d for clients: %d bytes", c.node, c.clients, got)
		}
	}
}
