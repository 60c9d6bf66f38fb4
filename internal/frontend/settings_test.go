package frontend

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

const goodSettings = `{"node":"n","zone":"z","listen":{"requests":"127.0.0.1:1","readiness":"127.0.0.1:2","internal":"127.0.0.1:3"},
 "store":{"address":"127.0.0.1:4","partitions":12},"order_pause_ms":3000,"grace_seconds":8,"memory_mb":344}`

func TestSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Node != "n" || settings.Store.Partitions != 12 || settings.LogLevel != "info" {
		t.Errorf("settings %+v", settings)
	}
	cases := []struct{ name, text, want string }{
		{"no JSON", "{", "decode"},
		{"more text", goodSettings + "{}", "text follows"},
		{"unknown key", strings.Replace(goodSettings, `"zone"`, `"zones"`, 1), "zones"},
		{"no partitions", strings.Replace(goodSettings, `"partitions":12`, `"partitions":0`, 1), "store.partitions"},
		{"nothing", "{}", "node is missing"},
		{"no window", strings.Replace(goodSettings, `"order_pause_ms"`, `"provider":{"address":"127.0.0.1:5","duties":["usage"]},"order_pause_ms"`, 1), "usage.window_seconds"},
		{"negative pause", strings.Replace(goodSettings, "3000", "-1", 1), "order_pause_ms"},
	}
	for _, c := range cases {
		if _, err := ParseSettings([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

var (
	// section is a part of the template that stands where a field is given and true (#), or
	// where there is none or it is false (^).
	section = regexp.MustCompile(`\{\{([#^])([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	gap     = regexp.MustCompile(`\{\{([^}|]*)(\|json)?\}\}`)
)

// fill fills the template as the platform does. Values are those of the fields that do not
// have the one that stands for most; nil is a field that the deployment does not have.
func fill(template string, values map[string]any) string {
	value := func(field string) any {
		if known, special := values[field]; special {
			return known
		}
		return 7
	}
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if list, isList := value(parts[2]).([]string); isList && parts[1] == "#" {
			return repeat(parts[3], list)
		}
		given := value(parts[2]) != nil && value(parts[2]) != false
		if given == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		known := value(parts[1])
		switch {
		case known == nil && parts[2] != "":
			return "null"
		case known == nil:
			return ""
		}
		return fmt.Sprint(known)
	})
}

// repeat fills a section once for each entry of a list.
func repeat(text string, list []string) string {
	var filled strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		filled.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(text))
	}
	return filled.String()
}

// Every key that the template fills is a key of the settings, on deployments with and without
// what not all of them have.
func TestTheTemplateFillsTheSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/node.json.template")
	if err != nil {
		t.Fatal(err)
	}
	duties := []string{"usage", "scaling"}
	cases := []struct {
		name       string
		values     map[string]any
		usage      bool
		failClosed bool
	}{
		{"all fields", map[string]any{"cloudApi.duties": duties, "bounds.fencingEnforced": true, "bounds.failClosed": true}, true, true},
		{"false ones", map[string]any{"cloudApi.duties": duties, "bounds.fencingEnforced": false, "bounds.failClosed": false}, true, false},
		{"a few fields", map[string]any{
			"cloudApi.address": nil, "cloudApi.duties": nil, "bounds.fencingEnforced": true, "bounds.failClosed": nil,
			"bounds.revocationMs": nil, "bounds.usageWindowS": nil, "bounds.usageLatenessS": nil, "limits.cpuShare": nil,
		}, false, false},
	}
	for _, c := range cases {
		settings, err := ParseSettings([]byte(fill(string(text), c.values)))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if settings.reportsUsage() != c.usage || settings.Access.FailClosed != c.failClosed {
			t.Errorf("%s: %+v", c.name, settings)
		}
	}
}
