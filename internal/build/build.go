// Package build tells which build of the program a process runs: nodes of two builds work side by
// side while machines are replaced.
package build

import "runtime/debug"

// Unknown is the revision of a program that was built outside of a checkout.
const Unknown = "unknown"

// revisionLength is the number of digits that tell revisions apart.
const revisionLength = 12

// Revision returns the revision of the sources that this program was built from, marked with "+" where
// they had been changed since.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Unknown
	}
	return revisionOf(info.Settings)
}

func revisionOf(settings []debug.BuildSetting) string {
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
