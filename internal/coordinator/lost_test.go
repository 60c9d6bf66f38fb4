package coordinator

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"dalehook/internal/batch"
	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// smallCalls is a store that refuses calls beyond a size for good.
type smallCalls struct {
	*storetest.Memory
	most int
}

func (s smallCalls) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	if sizeOf(payloads) > s.most {
		return 0, fmt.Errorf("append: status 413: %w", store.ErrInvalid)
	}
	return s.Memory.Append(ctx, at, payloads)
}

// An item whose result the store refuses for good is listed all the same, as dead: whoever reads the job learns that
// there will be no text.
//
// Seen: none; by a review. The item was never listed, and its trainer waited for it until its job's end.
// Cause: records that are refused for good were logged and dropped.
func TestAnItemWhoseResultIsRefusedForGoodIsListed(t *testing.T) {
	log := smallCalls{Memory: storetest.NewMemory(), most: 1 << 10}
	job, err := batch.EncodeJob(&batch.Job{ID: "j", Items: []batch.Item{{ID: "large"}, {ID: "small"}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), jobs, job); err != nil {
		t.Fatal(err)
	}
	writer := newRecordWriter(t.Context(), log, zap.NewNop())
	for _, result := range []batch.Result{
		{JobID: "j", ItemID: "large", Text: strings.Repeat("text", 1<<10), Versions: []int64{3}},
		{JobID: "j", ItemID: "small", Text: "text", Versions: []int64{3}},
	} {
		encoded, err := batch.EncodeResult(&result)
		if err != nil {
			t.Fatal(err)
		}
		writer.add(jobs, encoded)
	}
	outcomes := make(map[string]batch.Result)
	eventually(t, "both are listed", func() bool {
		fold := batch.NewFold()
		for _, text := range records(t, log.Memory, jobs) {
			if _, err := fold.Apply([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		for _, result := range fold.Job("j").Results {
			outcomes[result.ItemID] = result
		}
		return len(outcomes) == 2
	})
	if large := outcomes["large"]; large.Outcome != batch.OutcomeDead || large.Text != "" || large.Versions != nil {
		t.Errorf("the large one: %s, %d bytes, versions %v", large.Outcome, len(large.Text), large.Versions)
	}
	if small := outcomes["small"]; small.Outcome != batch.OutcomeCompleted || small.Text != "text" {
		t.Errorf("the small one: %+v", small)
	}
}
