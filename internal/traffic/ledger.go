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

// Ledger counts what trainers truly received against what they posted and what
// was announced. It asks no node. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// newest is the newest version whose announcement the log has acknowledged.
	newest cluster.Version
	steps  map[string]*stepLedger
	// order holds the names of steps as they were posted.
	order []string
}

// stepLedger counts the samples of one step.
type stepLedger struct {
	bound   int64
	samples map[string]record.Sample
	// received counts, by sample id, how often the trainer took the sample.
	received map[string]int
	stale    int
	// faults says what was wrong with received samples, a line each.
	faults []string
}

// SampleCounts are sums over all steps.
type SampleCounts struct {
	Steps int
	// Samples were posted, Delivered of them were taken at least once, and Lost
	// never.
	Samples, Delivered, Lost int
	// Duplicated counts what was taken again, Stale what was over its bound.
	Duplicated, Stale int
	// Faults says what was wrong with received samples, a line each.
	Faults []string
}

// NewLedger returns a ledger without steps.
func NewLedger() *Ledger { return &Ledger{steps: map[string]*stepLedger{}} }

// Announced notes a version after the log has acknowledged its announcement.
func (l *Ledger) Announced(version cluster.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, version)
}

// Newest returns the newest version that was announced so far.
func (l *Ledger) Newest() cluster.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// Posted notes a step that a node has accepted, with its staleness bound.
func (l *Ledger) Posted(step client.Step, bound int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := &stepLedger{bound: bound, samples: map[string]record.Sample{}, received: map[string]int{}}
	for _, sample := range step.Samples {
		count.samples[sample.ID] = sample
		count.received[sample.ID] = 0
	}
	l.steps[step.Step] = count
	l.order = append(l.order, step.Step)
}

// Took notes samples that the trainer has taken. Newest is the newest version
// that was announced before the trainer began to read.
func (l *Ledger) Took(step string, newest cluster.Version, samples []machine.SampleView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.steps[step]
	for _, sample := range samples {
		posted, known := count.samples[sample.ID]
		if !known {
			count.faults = append(count.faults, fmt.Sprintf("step %s: sample %s was never posted", step, sample.ID))
			continue
		}
		if fault := checkSample(posted, sample); fault != "" {
			count.faults = append(count.faults, fmt.Sprintf("step %s: sample %s: %s", step, sample.ID, fault))
			continue
		}
		count.received[sample.ID]++
		oldest := record.Result{Segments: sample.Versions}.Oldest()
		if int64(newest-oldest) > count.bound {
			count.stale++
		}
	}
}

// checkSample returns what is wrong with a received sample: its text must be the
// whole answer to the prompt, and its version segments must cover the answer's
// tokens without gap or overlap.
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

// Counts sums up all steps.
func (l *Ledger) Counts() SampleCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := SampleCounts{Steps: len(l.steps)}
	for _, name := range l.order {
		step := l.steps[name]
		sum.Stale += step.stale
		sum.Faults = append(sum.Faults, step.faults...)
		for _, times := range step.received {
			sum.Samples++
			switch {
			case times == 0:
				sum.Lost++
			case times > 1:
				sum.Duplicated += times - 1
			}
			if times > 0 {
				sum.Delivered++
			}
		}
	}
	slices.Sort(sum.Faults)
	return sum
}
