package frontend

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"dalehook/internal/gateway"
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

// withSettings returns the valid settings with more keys.
func withSettings(more string) string {
	return strings.Replace(validSettings, `"order_pause_ms"`, more+`,"order_pause_ms"`, 1)
}

// Guards against shares and weights out of their range that reach the gateway and the scheduler.
func TestOverloadSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(gateway.OverloadOptions{HedgeShare: 0.1, RetryShare: 0.1}, settings.overloadOptions()); diff != "" {
		t.Errorf("defaults: %s", diff)
	}
	settings, err = ParseSettings([]byte(withSettings(
		`"overload":{"off":true,"hedge_share":0,"retry_share":1,"tenant_weights":{"a":0.5,"b":100}},"scheduling":{"tenant_weights":{"c":2}}`)))
	if err != nil {
		t.Fatal(err)
	}
	want := gateway.OverloadOptions{Off: true, HedgeShare: gateway.NoBudget, RetryShare: 1, TenantWeights: map[string]float64{"a": 0.5, "b": 100}}
	if diff := cmp.Diff(want, settings.overloadOptions()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]float64{"c": 2}, settings.Scheduling.TenantWeights); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct{ text, want string }{
		{`"overload":{"hedge_share":-0.1}`, "overload.hedge_share must be between 0 and 1"},
		{`"overload":{"hedge_share":1.1}`, "overload.hedge_share must be between 0 and 1"},
		{`"overload":{"retry_share":2}`, "overload.retry_share must be between 0 and 1"},
		{`"overload":{"tenant_weights":{"a":1,"b":0}}`, `overload.tenant_weights must hold positive weights up to 100, not 0 for "b"`},
		{`"overload":{"tenant_weights":{"a":-1}}`, `overload.tenant_weights must hold positive weights up to 100, not -1 for "a"`},
		{`"scheduling":{"tenant_weights":{"a":101}}`, `scheduling.tenant_weights must hold positive weights up to 100, not 101 for "a"`},
		{`"scheduling":{"tenant_weights":{"a":"1"}}`, "scheduling.tenant_weights must be a number, not string"},
		{`"scheduling":{"tenant_weights":[]}`, "scheduling.tenant_weights must be an object, not array"},
		{`"leave_bound_ms":1.5`, "leave_bound_ms must be an integer, not number 1.5"},
		{`"log_level":"loud"`, "log_level must be"},
	} {
		if _, err := ParseSettings([]byte(withSettings(c.text))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// Guards against a check that stops at the first problem: an operator would have to correct and check a
// file once for each problem.
func TestAllProblemsOfSettingsAreReported(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"unknown keys, a wrong type and invalid values",
			`{"nod":"n","zone":"z","listen":{"requests":"127.0.0.1:1","readiness":"127.0.0.1:2","internl":"127.0.0.1:3"},
			 "store":{"address":"127.0.0.1:4","partitions":"twelve"},"overload":{"hedge_share":3},"hedge_share":0.2,"colour":"blue"}`,
			[]string{
				`invalid settings: unknown key "colour"`,
				`unknown key "hedge_share"; the nearest known key is "overload.hedge_share"`,
				`unknown key "listen.internl"; the nearest known key is "listen.internal"`,
				`unknown key "nod"; the nearest known key is "node"`,
				`store.partitions must be an integer, not string`,
				`node is missing`,
				`listen.internal is missing`,
				`overload.hedge_share must be between 0 and 1`,
			}},
		{"a section of a wrong type", strings.Replace(validSettings, `{"address":"127.0.0.1:4","partitions":12}`, "5", 1),
			[]string{"invalid settings: store must be an object, not number"}},
		{"a file of a wrong type", "[]", []string{"invalid settings: the file must be an object, not array"}},
		{"an unknown section", withSettings(`"scalling":{"off":true}`), []string{`invalid settings: unknown key "scalling"; the nearest known key is "scaling"`}},
		{"a known key beside its section", withSettings(`"Overload":{"retry-share":0.2}`), []string{`invalid settings: unknown key "overload.retry-share"; the nearest known key is "overload.retry_share"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettings([]byte(c.text))
			if err == nil {
				t.Fatal("the settings are accepted")
			}
			if diff := cmp.Diff(c.want, strings.Split(err.Error(), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against printed settings without the defaults of keys that the file does not set, and against
// printed settings that differ from those in force when they are read again.
func TestEffectiveSettings(t *testing.T) {
	for name, text := range map[string]string{
		"defaults": validSettings,
		"set": withSettings(`"provider":{"address":"127.0.0.1:5","duties":["usage"]},"usage":{"window_seconds":5,"lateness_seconds":2},
			"scaling":{"headroom":2},"leave_bound_ms":900,"log_level":"warn","processor_share":0.4,
			"overload":{"hedge_share":0,"retry_share":0.05,"tenant_weights":{"b":2,"a":0.5}},"scheduling":{"tenant_weights":{"c":3}}`),
	} {
		t.Run(name, func(t *testing.T) {
			settings, err := ParseSettings([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			effective, err := settings.Effective()
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, "effective_"+name, effective)
			again, err := ParseSettings(effective)
			if err != nil {
				t.Fatalf("the printed settings are refused: %v", err)
			}
			if second, err := again.Effective(); err != nil || !bytes.Equal(effective, second) {
				t.Errorf("the printed settings give other settings: %s, %v", second, err)
			}
		})
	}
}

// Guards against a bound of the memory held for callers that does not depend on the memory of the node:
// some nodes have a third of the memory of others.
func TestClientMemoryFollowsTheNodes(t *testing.T) {
	for _, c := range []struct{ node, clients, want int }{{0, 0, 0}, {184, 0, 46}, {184, 10, 10}, {0, 10, 10}} {
		settings := &Settings{MemoryMB: c.node}
		settings.Clients.MemoryMB = c.clients
		if got := settings.clientMemory().Limit(); got != int64(c.want)<<20 {
			t.Errorf("a node of %d MB, %d for clients: %d bytes", c.node, c.clients, got)
		}
	}
}
