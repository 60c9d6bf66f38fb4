package rollout

import (
	"cmp"
	"slices"
	"time"

	textlengths "dalehook/internal/lengths"
	"dalehook/internal/record"
)

// lengths estimates how many tokens a sample will have, from the finished
// samples of its prompt group, of its step and of earlier steps.
type lengths struct {
	groups map[string]textlengths.Mean
	all    textlengths.Mean
	// mean and limit are the trainer's stated demand, zero for none.
	mean  int
	limit int
}

// maxLengthGroups bounds the prompt groups that one closing record names.
const maxLengthGroups = 64

// add learns from a finished sample.
func (l *lengths) add(group string, tokens int) {
	l.all = l.all.Add(tokens)
	if group == "" {
		return
	}
	if l.groups == nil {
		l.groups = map[string]textlengths.Mean{}
	}
	l.groups[group] = l.groups[group].Add(tokens)
}

// remaining estimates the tokens that a sample still needs when it has some. A
// sample that has outrun its estimate is expected to need half as much again.
func (l *lengths) remaining(sample record.Sample, tokens int) int {
	expected := l.expected(sample)
	if tokens >= expected {
		expected = tokens + tokens/2 + 1
	}
	if sample.MaxTokens > 0 {
		expected = min(expected, sample.MaxTokens)
	}
	return max(expected-tokens, 1)
}

// expected estimates the length of a sample: by its group, else by the share of
// the allowed length that samples took so far.
func (l *lengths) expected(sample record.Sample) int {
	if mean := l.groups[sample.Group].Value(); sample.Group != "" && mean > 0 {
		return mean
	}
	mean := l.all.Value()
	if mean == 0 {
		mean = l.mean
	}
	switch {
	case mean == 0:
		return max(sample.MaxTokens/2, 1)
	case l.limit > 0 && sample.MaxTokens > 0:
		return max(mean*sample.MaxTokens/l.limit, 1)
	default:
		return mean
	}
}

// summary returns what later owners are told of a step: the mean of all samples,
// and the groups with the longest ones, which are to start first.
func (l *lengths) summary() []record.GroupLength {
	if l.all.Samples == 0 {
		return nil
	}
	groups := make([]record.GroupLength, 0, len(l.groups))
	for _, group := range sortedKeys(l.groups) {
		mean := l.groups[group]
		groups = append(groups, record.GroupLength{Group: group, Samples: mean.Samples, Tokens: mean.Value()})
	}
	slices.SortStableFunc(groups, func(a, b record.GroupLength) int { return cmp.Compare(b.Tokens, a.Tokens) })
	groups = groups[:min(len(groups), maxLengthGroups)]
	return append([]record.GroupLength{{Samples: l.all.Samples, Tokens: l.all.Value()}}, groups...)
}

// trainerKey names a trainer of an event.
type trainerKey struct{ event, trainer string }

// trainerOf names the trainer of an open step.
func trainerOf(open record.StepOpened) trainerKey {
	return trainerKey{event: open.Event, trainer: open.Trainer}
}

// openedStep is what the control log says of an open step. The offset is zero for
// a step that came with a snapshot: it is older than all that have one.
type openedStep struct {
	trainer trainerKey
	offset  uint64
}

// learned keeps the lengths of the last trainers, by what closing records say.
type learned struct {
	trainers map[trainerKey]lengths
	order    []trainerKey
}

// maxLearnedTrainers bounds the trainers whose lengths are kept.
const maxLearnedTrainers = 64

// take replaces what is known of a trainer.
func (l *learned) take(key trainerKey, summary []record.GroupLength) {
	if len(summary) == 0 {
		return
	}
	if l.trainers == nil {
		l.trainers = map[trainerKey]lengths{}
	}
	if _, known := l.trainers[key]; !known {
		l.order = append(l.order, key)
	}
	if len(l.order) > maxLearnedTrainers {
		delete(l.trainers, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
	known := lengths{groups: map[string]textlengths.Mean{}}
	for _, entry := range summary {
		mean := textlengths.Mean{Samples: entry.Samples, Total: entry.Samples * entry.Tokens}
		if entry.Group == "" {
			known.all = mean
			continue
		}
		known.groups[entry.Group] = mean
	}
	l.trainers[key] = known
}

// forTrainer returns a copy of what is known of a trainer, with its demand.
func (l *learned) forTrainer(key trainerKey, demand record.RolloutDemand) lengths {
	known := l.trainers[key]
	start := lengths{groups: map[string]textlengths.Mean{}, all: known.all, mean: demand.MeanTokens, limit: demand.MaxTokens}
	for _, group := range sortedKeys(known.groups) {
		start.groups[group] = known.groups[group]
	}
	return start
}

// cadence is how often versions of a model come, by their trainer's own times.
type cadence struct {
	last  time.Time
	every time.Duration
}

// add takes an announcement; the newest interval counts for half.
func (c cadence) add(at time.Time) cadence {
	interval := at.Sub(c.last)
	switch {
	case at.IsZero() || c.last.IsZero():
	case interval <= 0:
		return c
	case c.every == 0:
		c.every = interval
	default:
		c.every = (c.every + interval) / 2
	}
	c.last = at
	return c
}
