package batch

import "slices"

// MergeVersions returns the versions of both lists, ascending, each once. It may
// reuse the first list.
func MergeVersions(versions, more []int64) []int64 {
	for _, version := range more {
		at, known := slices.BinarySearch(versions, version)
		if !known {
			versions = slices.Insert(versions, at, version)
		}
	}
	return versions
}
