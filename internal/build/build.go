// Package build returns the revision of the running program. During an upgrade, nodes of two builds
// run side by side.
package build

import "runtime/debug"

// Unknown is the revision of a program that was built outside of a checkout.
const Unknown = "unknown"

// revisionLength is the number of digits of an abbreviated revision.
const revisionLength = 12

// Revision returns the abbreviated revision that this program was built from, with a "+" if the
// checkout had uncommitted changes.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Unknown
	}
	return revisionFrom(info.Settings)
}

func revisionFrom(settings []debug.BuildSetting) string {
	revision, modified := Unknown, ""
	for _, setting := range settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionLength)]
		case "vcs.modified":
			if setting.Value == "true" {
				modified = "+"
			}
		}
	}
	return revision + modified
}
