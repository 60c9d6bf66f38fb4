package batch

import (
	"encoding/json"
	"fmt"
)

// Progress is a saved part of a running item's text: a checkpoint with the text so far, or the
// text generated since the last progress. It lets a successor resume the item instead of starting
// over.
type Progress struct {
	ItemID string
	// Tenant is the tenant of the job.
	Tenant string `json:",omitempty"`
	// Run is the unique name of the run.
	Run string
	// Checkpoint marks a progress that holds the text from its start, whichever runs generated it.
	// It replaces all earlier progress.
	Checkpoint bool `json:",omitempty"`
	// From is the ID of the last event before this progress; empty for checkpoints.
	From string `json:",omitempty"`
	// LastID is the ID of the last event.
	LastID string
	// Text is the data of the events, joined by line feeds.
	Text string
	// Versions are the weight versions that generated the events, in ascending order.
	Versions []int64
	// Whole is set if the item's text is complete.
	Whole bool `json:",omitempty"`
}

// EncodeProgress returns the record of a progress.
func EncodeProgress(progress *Progress) ([]byte, error) {
	record, err := json.Marshal(progress)
	if err != nil {
		return nil, fmt.Errorf("encode progress of item %s: %w", progress.ItemID, err)
	}
	return record, nil
}

// Partial is the recovered text of an item.
type Partial struct {
	Tenant   string
	Run      string
	LastID   string
	Text     []string
	Versions []int64
	// Complete is set if the text is complete.
	Complete bool
}

// ProgressFold joins the progress records of items. A record that is not a checkpoint only counts
// if it continues the text of the same run, so that the texts of two runs are never mixed.
type ProgressFold struct {
	partials map[string]*Partial
}

// NewProgressFold returns an empty ProgressFold.
func NewProgressFold() *ProgressFold { return &ProgressFold{partials: make(map[string]*Partial)} }

// Partials returns the recovered texts, by item.
func (f *ProgressFold) Partials() map[string]*Partial { return f.partials }

// Apply processes the next record.
func (f *ProgressFold) Apply(record []byte) error {
	var progress Progress
	if err := json.Unmarshal(record, &progress); err != nil {
		return fmt.Errorf("decode progress record: %w", err)
	}
	if progress.Checkpoint {
		f.partials[progress.ItemID] = &Partial{Tenant: progress.Tenant, Run: progress.Run}
	}
	partial := f.partials[progress.ItemID]
	if partial == nil || partial.LastID != progress.From || partial.Run != progress.Run {
		return nil
	}
	partial.LastID = progress.LastID
	partial.Text = append(partial.Text, progress.Text)
	partial.Versions = MergeVersions(partial.Versions, progress.Versions)
	partial.Complete = progress.Whole
	return nil
}
