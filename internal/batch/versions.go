package batch

import "slices"

// MergeVersions returns the sorted union of both lists, which it leaves as they are: texts that are kept for several jobs
// share them.
func MergeVersions(versions, more []int64) []int64 {
	for _, version := range more {
		at, found := slices.BinarySearch(versions, version)
		if !found {
			versions = slices.Insert(slices.Clip(versions), at, version)
		}
	}
	return versions
}
