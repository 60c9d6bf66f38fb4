package batch

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a version that one job's text adds and another job's result names: both texts began with the same saved
// versions, which had room for one more.
func TestMergedVersionsAreNotShared(t *testing.T) {
	saved := append(make([]int64, 0, 4), 1, 3)
	first := MergeVersions(saved, []int64{4})
	second := MergeVersions(saved, []int64{2, 3})
	if diff := cmp.Diff([][]int64{{1, 3}, {1, 3, 4}, {1, 2, 3}}, [][]int64{saved, first, second}); diff != "" {
		t.Error(diff)
	}
}
