package traffic

import (
	"fmt"
	"slices"
	"sync"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/record"
	"dalehook/internal/standin"
)

// Ledger compares the samples that trainers received with those they posted and
// with the announced versions. It uses no data reported by nodes about
// themselves. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// newest is the newest version whose announcement the log has acknowledged.
	newest cluster.Version
	steps  map[string]*stepCounts
	// stepNames holds the names of steps in the order in which they were posted.
	stepNames []string
}

// stepCounts holds the counts of one step.
type stepCounts struct {
	stalenessBound int64
	samples        map[string]record.Sample
	// received counts, by sample id, how often the trainer received the sample.
	received map[string]int
	stale    int
	// errors holds one line for each invalid sample received.
	errors []string
}

// SampleCounts are sums over all steps.
type SampleCounts struct {
	Steps int
	// Samples counts posted samples, Delivered those received at least once, and
	// Lost those never received.
	Samples, Delivered, Lost int
	// Duplicated counts repeated deliveries, Stale deliveries that exceeded the
	// staleness bound.
	Duplicated, Stale int
	// Errors holds one line for each invalid sample received.
	Errors []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{steps: map[string]*stepCounts{}} }

// RecordAnnouncement records a version after the log has acknowledged its
// announcement.
func (l *Ledger) RecordAnnouncement(version cluster.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, version)
}

// NewestVersion returns the newest version announced so far.
func (l *Ledger) NewestVersion() cluster.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// RecordStep records a step that a node has accepted, with its staleness bound.
func (l *Ledger) RecordStep(step client.Step, bound int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := &stepCounts{stalenessBound: bound, samples: map[string]record.Sample{}, received: map[string]int{}}
	for _, sample := range step.Samples {
		counts.samples[sample.ID] = sample
		counts.received[sample.ID] = 0
	}
	l.steps[step.ID] = counts
	l.stepNames = append(l.stepNames, step.ID)
}

// RecordReceived records samples that the trainer received. newest is the newest
// version that was announced before the trainer started the read.
func (l *Ledger) RecordReceived(step string, newest cluster.Version, samples []machine.SampleView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.steps[step]
	for _, sample := range samples {
		posted, known := counts.samples[sample.ID]
		if !known {
			counts.errors = append(counts.errors, fmt.Sprintf("step %s: sample %s was never posted", step, sample.ID))
			continue
		}
		if problem := checkSample(posted, sample); problem != "" {
			counts.errors = append(counts.errors, fmt.Sprintf("step %s: sample %s: %s", step, sample.ID, problem))
			continue
		}
		counts.received[sample.ID]++
		oldest := record.Result{Segments: sample.Versions}.Oldest()
		if int64(newest-oldest) > counts.stalenessBound {
			counts.stale++
		}
	}
}

// checkSample returns a description of an invalid sample, or "" if it is valid:
// its text must be the whole completion of the prompt, and its version segments
// must cover the completion's tokens without gap or overlap.
func checkSample(posted record.Sample, sample machine.SampleView) string {
	if sample.Error != nil {
		return "ended with " + sample.Error.Code + ": " + sample.Error.Message
	}
	tokens := standin.CompletionLength(posted.Prompt, posted.MaxTokens)
	if sample.Text != standin.CompletionText(posted.Prompt, 0, tokens) {
		return "its text is not the whole answer to its prompt"
	}
	next := 0
	for _, segment := range sample.Versions {
		if segment.FromToken != next || segment.ToToken <= segment.FromToken || segment.Version <= 0 {
			return fmt.Sprintf("broken version segments %v", sample.Versions)
		}
		next = segment.ToToken
	}
	if next != tokens {
		return fmt.Sprintf("version segments %v do not cover its %d tokens", sample.Versions, tokens)
	}
	return ""
}

// Counts returns the totals over all steps.
func (l *Ledger) Counts() SampleCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := SampleCounts{Steps: len(l.steps)}
	for _, name := range l.stepNames {
		step := l.steps[name]
		total.Stale += step.stale
		total.Errors = append(total.Errors, step.errors...)
		for _, count := range step.received {
			total.Samples++
			switch {
			case count == 0:
				total.Lost++
			case count > 1:
				total.Duplicated += count - 1
			}
			if count > 0 {
				total.Delivered++
			}
		}
	}
	slices.Sort(total.Errors)
	return total
}
