package batch

import (
	"encoding/json"
	"fmt"
)

// Progress is what is saved of an item that runs: a checkpoint with its text so far, or
// what its run made since the last progress. It lets a successor go on where its
// predecessor's run was, instead of from nothing.
type Progress struct {
	ItemID string
	// Tenant is that of the job that the progress was made for.
	Tenant string `json:",omitempty"`
	// Run names the run, unlike any other.
	Run string
	// Checkpoint marks a progress that holds the text from its start on, whichever runs
	// made it. What was saved before counts no more.
	Checkpoint bool `json:",omitempty"`
	// From is the id of the last event before this progress; empty for checkpoints.
	From string `json:",omitempty"`
	// LastID is the id of the last event.
	LastID string
	// Text is the data of the events, joined by line feeds.
	Text string
	// Versions are the weight versions that made the events, ascending.
	Versions []int64
	// Whole says that the item's text ends here.
	Whole bool `json:",omitempty"`
}

// EncodeProgress returns the record of a progress.
func EncodeProgress(progress *Progress) ([]byte, error) {
	record, err := json.Marshal(progress)
	if err != nil {
		return nil, fmt.Errorf("encode the progress of item %s: %w", progress.ItemID, err)
	}
	return record, nil
}

// Partial is the text of an item as far as progress tells it.
type Partial struct {
	Tenant   string
	Run      string
	LastID   string
	Text     []string
	Versions []int64
	// Whole says that the text is all that the item has.
	Whole bool
}

// ProgressFold joins the progress of items. What is no checkpoint counts only where it
// follows on what came before within its run. So the texts of two runs are never mixed.
type ProgressFold struct {
	partials map[string]*Partial
}

// NewProgressFold returns the fold of no records.
func NewProgressFold() *ProgressFold { return &ProgressFold{partials: make(map[string]*Partial)} }

// Partials returns what is known, by item.
func (f *ProgressFold) Partials() map[string]*Partial { return f.partials }

// Apply takes the next record.
func (f *ProgressFold) Apply(record []byte) error {
	var progress Progress
	if err := json.Unmarshal(record, &progress); err != nil {
		return fmt.Errorf("decode a progress: %w", err)
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
	partial.Whole = progress.Whole
	return nil
}
