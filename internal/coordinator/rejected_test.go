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

// sizeLimitedLog permanently rejects appends above a size.
type sizeLimitedLog struct {
	*storetest.Memory
	maxBytes int
}

func (s sizeLimitedLog) Append(ctx context.Context, at store.Partition, payloads [][]byte) (int64, error) {
	if sizeInBytes(payloads) > s.maxBytes {
		return 0, fmt.Errorf("append: status 413: %w", store.ErrInvalid)
	}
	return s.Memory.Append(ctx, at, payloads)
}

// An item whose result the store permanently rejects is listed as dead, so that readers of the job learn that
// there will be no text. If the rejected records were only logged and dropped, the item would never be listed
// and its trainer would wait until the end of the job.
func TestItemWithPermanentlyRejectedResultIsListedAsDead(t *testing.T) {
	log := sizeLimitedLog{Memory: storetest.NewMemory(), maxBytes: 1 << 10}
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
	eventually(t, "both items listed", func() bool {
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
		t.Errorf("large item: %s, %d bytes, versions %v", large.Outcome, len(large.Text), large.Versions)
	}
	if small := outcomes["small"]; small.Outcome != batch.OutcomeCompleted || small.Text != "text" {
		t.Errorf("small item: %+v", small)
	}
}
