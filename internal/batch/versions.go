package batch

import "slices"

// MergeVersions returns the sorted union of both lists. It may modify the first list.
func MergeVersions(versions, more []int64) []int64 {
	for _, version := range more {
		at, found := slices.BinarySearch(versions, version)
		if !found {
			versions = slices.Insert(versions, at, version)
		}
	}
	return versions
}
