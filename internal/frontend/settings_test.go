package frontend

import (
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

// without are the parts of the template that stand where a deployment does not have a field:
// its name, and the text.
var without = regexp.MustCompile(`\{\{\^([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)

// fill fills the template as the platform does: with all fields, or without those that a
// deployment may lack.
func fill(template string, whole bool) string {
	lacking := make(map[string]bool)
	for _, match := range without.FindAllStringSubmatch(template, -1) {
		lacking[match[1]] = !whole
	}
	if whole {
		template = without.ReplaceAllString(template, "")
	} else {
		template = without.ReplaceAllString(template, "$2")
	}
	gap := regexp.MustCompile(`\{\{([^}|]*)(\|json)?\}\}`)
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		field := gap.FindStringSubmatch(text)
		switch {
		case lacking[field[1]]:
			return ""
		case field[2] != "":
			return `["usage","scaling"]`
		case strings.HasSuffix(field[1], "Enforced"), strings.HasSuffix(field[1], "Closed"):
			return "true"
		}
		return "7"
	})
}

// Every key that the template fills is a key of the settings, on deployments with and without
// what not all of them have.
func TestTheTemplateFillsTheSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/node.json.template")
	if err != nil {
		t.Fatal(err)
	}
	for _, whole := range []bool{true, false} {
		settings, err := ParseSettings([]byte(fill(string(text), whole)))
		if err != nil {
			t.Fatalf("whole %v: %v", whole, err)
		}
		if settings.reportsUsage() != whole {
			t.Errorf("whole %v: usage is reported: %v", whole, settings.reportsUsage())
		}
	}
}
