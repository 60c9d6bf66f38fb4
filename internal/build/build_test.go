package build

import (
	"runtime/debug"
	"testing"
)

func TestRevisionFrom(t *testing.T) {
	cases := []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"outside of a checkout", nil, Unknown},
		{"a commit", []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "false"}}, "0123456789ab"},
		{"uncommitted changes", []debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "0123456789abcdef"}}, "0123456789ab+"},
	}
	for _, c := range cases {
		if got := revisionFrom(c.settings); got != c.want {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}
